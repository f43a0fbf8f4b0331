"""The users' platform: its names and messages, translated to and from the product's types."""

import os
from pathlib import Path

from bluebellrun.platform._catalogue import OWN_PREFIX, PlatformCatalogue
from bluebellrun.platform._engine import EngineCalls
from bluebellrun.platform._messages import PlatformWire
from bluebellrun.platform._names import READY_PATH, SETTINGS_FILE_VARIABLE
from bluebellrun.platform._relay import EngineRelay
from bluebellrun.platform._settings import SettingsError, read_settings
from bluebellrun.platform._store import PlatformStore

__all__ = [
    "OWN_PREFIX",
    "READY_PATH",
    "EngineCalls",
    "EngineRelay",
    "PlatformCatalogue",
    "PlatformStore",
    "PlatformWire",
    "SettingsError",
    "read_settings",
    "settings_path",
]


def settings_path() -> Path:
    """Return the path of this process's settings file; raise ``SettingsError`` without one."""
    path = os.environ.get(SETTINGS_FILE_VARIABLE)
    if not path:
        raise SettingsError(f"{SETTINGS_FILE_VARIABLE} is not set; set it to the settings file")
    return Path(path)
