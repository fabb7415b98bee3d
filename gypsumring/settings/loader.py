"""Load settings files."""

from pathlib import Path
from typing import TypeVar

import msgspec

from gypsumring.settings.exceptions import SettingsError
from gypsumring.utils.decoding import DECODE_ERRORS

__all__ = ["MAX_SETTINGS_BYTES", "load_settings"]

MAX_SETTINGS_BYTES = 1024 * 1024

SettingsType = TypeVar("SettingsType")


def load_settings(path: str | Path, settings_type: type[SettingsType]) -> SettingsType:
    """Load and validate a JSON settings file.

    Raise SettingsError, whose text contains the file and the path of the invalid field.
    """
    try:
        with open(path, "rb") as file:
            content = file.read(MAX_SETTINGS_BYTES + 1)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    if len(content) > MAX_SETTINGS_BYTES:
        raise SettingsError(f"{path}: larger than {MAX_SETTINGS_BYTES} bytes")
    try:
        return msgspec.json.decode(content, type=settings_type)
    except msgspec.ValidationError as error:
        raise SettingsError(f"{path}: {error}") from error
    except DECODE_ERRORS as error:
        raise SettingsError(f"{path}: invalid JSON: {error}") from error
