"""Decide which ready steps start next, where, and which executors to ask about."""

from gypsumring.dispatch.advisers import AdviserPool
from gypsumring.dispatch.ordering import order_steps
from gypsumring.dispatch.placing import Placement, place_step
from gypsumring.dispatch.reserving import Reservation, reserve_executors

__all__ = [
    "AdviserPool",
    "Placement",
    "Reservation",
    "order_steps",
    "place_step",
    "reserve_executors",
]
