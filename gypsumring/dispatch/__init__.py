"""Scheduling decisions: order of ready steps, placement, and policy queries."""

from gypsumring.dispatch.advisers import AdviserPool
from gypsumring.dispatch.asking import (
    AllowedShares,
    choose_call_size,
    choose_new,
    split_calls,
)
from gypsumring.dispatch.backlog import Backlog
from gypsumring.dispatch.placing import Placement, place_step
from gypsumring.dispatch.reserving import Reservation, reserve_executors

__all__ = [
    "AdviserPool",
    "AllowedShares",
    "Backlog",
    "Placement",
    "Reservation",
    "choose_call_size",
    "choose_new",
    "place_step",
    "reserve_executors",
    "split_calls",
]
