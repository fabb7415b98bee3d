"""Settings of the programs, which are loaded from JSON files."""

from gypsumring.settings.exceptions import SettingsError
from gypsumring.settings.loader import MAX_SETTINGS_BYTES, load_settings
from gypsumring.settings.model import (
    CellSettings,
    CommandSettings,
    GatewaySettings,
    LogOutputSettings,
    PlatformSettings,
    SchedulerSettings,
    TeamSettings,
    TimingSettings,
)

__all__ = [
    "CellSettings",
    "CommandSettings",
    "GatewaySettings",
    "LogOutputSettings",
    "MAX_SETTINGS_BYTES",
    "PlatformSettings",
    "SchedulerSettings",
    "SettingsError",
    "TeamSettings",
    "TimingSettings",
    "load_settings",
]
