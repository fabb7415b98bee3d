"""Errors that are raised while settings are loaded."""

from gypsumring.exceptions import GypsumringError

__all__ = ["SettingsError"]


class SettingsError(GypsumringError):
    """Raised when a settings file is missing, too large or invalid."""
