"""Errors of pipelines."""

from gypsumring.exceptions import GypsumringError

__all__ = ["PipelineError"]


class PipelineError(GypsumringError):
    """Raised when a pipeline is invalid; the text names the field."""
