"""One cell: the jobs and executors that one node owns at a time."""

from gypsumring.cell.exceptions import CellError, Deposed
from gypsumring.cell.journal import Journal
from gypsumring.cell.owner import CellOwner

__all__ = ["CellError", "CellOwner", "Deposed", "Journal"]
