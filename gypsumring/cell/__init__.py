"""Cell: the jobs and executors that are owned by one node at a time."""

from gypsumring.cell.exceptions import CellError, OwnershipLost
from gypsumring.cell.journal import Journal
from gypsumring.cell.owner import CellOwner

__all__ = ["CellError", "CellOwner", "Journal", "OwnershipLost"]
