"""Exceptions raised for invalid pipelines and unreadable records."""

from gypsumring.exceptions import GypsumringError

__all__ = ["PipelineError"]


class PipelineError(GypsumringError):
    """Raised for an invalid pipeline, naming the field, or an unreadable record."""
