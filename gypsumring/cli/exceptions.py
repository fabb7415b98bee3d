"""Errors of the command line and their exit codes."""

from gypsumring.exceptions import GypsumringError

__all__ = [
    "BadInput",
    "CommandError",
    "Conflict",
    "GatewayUnavailable",
    "OutcomeUnknown",
    "Refused",
]


class CommandError(GypsumringError):
    """Base class of errors that end a command with an exit code."""

    exit_code = 1


class GatewayUnavailable(CommandError):
    """Raised when no gateway answered; nothing was changed."""

    exit_code = 1


class BadInput(CommandError):
    """Raised when a file or argument is invalid; nothing was changed."""

    exit_code = 2


class Conflict(CommandError):
    """Raised when another operator has published a newer version."""

    exit_code = 3


class Refused(CommandError):
    """Raised when the gateway refused the request; nothing was changed."""

    exit_code = 4


class OutcomeUnknown(CommandError):
    """Raised when the change may or may not have taken effect."""

    exit_code = 5
