"""Scheduling decisions: order of ready steps, placement, and policy queries."""

from gypsumring.dispatch.asking import (
    AllowedShares,
    choose_call_size,
    choose_unqueried,
    may_complete_gang,
    split_calls,
)
from gypsumring.dispatch.backlog import Backlog
from gypsumring.dispatch.placing import Placement, place_step
from gypsumring.dispatch.policy_proxies import PolicyProxyPool
from gypsumring.dispatch.reserving import Reservation, reserve_executors

__all__ = [
    "AllowedShares",
    "Backlog",
    "Placement",
    "PolicyProxyPool",
    "Reservation",
    "choose_call_size",
    "choose_unqueried",
    "may_complete_gang",
    "place_step",
    "reserve_executors",
    "split_calls",
]
