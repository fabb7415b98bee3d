"""Placement of tasks on workers, and the manager of one rack's tasks."""

from gypsumring.placement.engine import PlacementEngine
from gypsumring.placement.exceptions import NoFit
from gypsumring.placement.policies import (
    BestFitScan,
    FirstFit,
    LeastLoaded,
    Pack,
    Policy,
    RandomFit,
    Spread,
    Weighted,
    choose_policy,
)
from gypsumring.placement.rack import RackManager
from gypsumring.placement.rooms import Demand, HeldTask, Preemption, WorkerRoom
from gypsumring.placement.usage import UsageLearner

__all__ = [
    "BestFitScan",
    "Demand",
    "FirstFit",
    "HeldTask",
    "LeastLoaded",
    "NoFit",
    "Pack",
    "PlacementEngine",
    "Policy",
    "Preemption",
    "RackManager",
    "RandomFit",
    "Spread",
    "UsageLearner",
    "Weighted",
    "WorkerRoom",
    "choose_policy",
]
