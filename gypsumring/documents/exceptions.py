"""Errors of the documents layer."""

from gypsumring.exceptions import GypsumringError

__all__ = ["DocumentError", "NotAccepted", "VersionConflict"]


class DocumentError(GypsumringError):
    """Raised when a document is invalid; the text names the path of the field."""


class VersionConflict(GypsumringError):
    """Raised when a publication is not based on the version in force."""

    def __init__(
        self, name: str, based_on: int, version: int, owner: str, published_by: str
    ):
        super().__init__(
            f"document {name!r} is at version {version} of team {owner!r}, published "
            f"by {published_by!r}; the change is based on version {based_on}"
        )
        self.name = name
        self.based_on = based_on
        self.version = version
        self.owner = owner
        self.published_by = published_by


class NotAccepted(GypsumringError):
    """Raised when the log did not confirm a publication in time.

    ``may_take_effect`` is False when the publication surely has no effect, and True
    when the append was sent and its record may still appear.
    """

    def __init__(self, name: str, may_take_effect: bool):
        outcome = (
            "the log did not confirm it in time; it may still take effect"
            if may_take_effect
            else "the log is unavailable; it surely has no effect"
        )
        super().__init__(f"document {name!r} was not accepted: {outcome}")
        self.name = name
        self.may_take_effect = may_take_effect
