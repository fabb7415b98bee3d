"""Ownership of shards: fold of the control stream and the keeper of leases."""

from gypsumring.ownership.fold import ControlFold, Member, OwnerView
from gypsumring.ownership.keeper import KeeperHost, OwnershipKeeper, PeerSeen

__all__ = [
    "ControlFold",
    "KeeperHost",
    "Member",
    "OwnerView",
    "OwnershipKeeper",
    "PeerSeen",
]
