"""A cluster scheduler for services, batch work and all-or-nothing jobs."""

from gypsumring.exceptions import GypsumringError

__all__ = ["GypsumringError"]

__version__ = "0.1.0"
