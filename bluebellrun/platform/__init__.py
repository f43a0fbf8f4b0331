"""Adapters for the users' platform: convert its names and messages to and from internal types.

Submodules are imported on first use, so each program loads only the adapters it needs.
"""

import os
from pathlib import Path
from typing import TYPE_CHECKING

from bluebellrun.core import load_at_first_use
from bluebellrun.platform._names import OWN_PREFIX, READY_PATH, SETTINGS_FILE_VARIABLE
from bluebellrun.platform._settings import SettingsError, read_settings

if TYPE_CHECKING:
    from bluebellrun.platform._catalogue import PlatformCatalogue
    from bluebellrun.platform._configuration import ConfigurationError
    from bluebellrun.platform._configuration_view import (
        read_configuration_in_force,
        view_configuration,
    )
    from bluebellrun.platform._engine import EngineClient
    from bluebellrun.platform._messages import PlatformWire
    from bluebellrun.platform._relay import EngineRelay
    from bluebellrun.platform._store import PlatformStore

_LOADED_AT_FIRST_USE = {
    "ConfigurationError": "_configuration",
    "EngineClient": "_engine",
    "EngineRelay": "_relay",
    "PlatformCatalogue": "_catalogue",
    "PlatformStore": "_store",
    "PlatformWire": "_messages",
    "read_configuration_in_force": "_configuration_view",
    "view_configuration": "_configuration_view",
}

__all__ = [
    "OWN_PREFIX",
    "READY_PATH",
    "ConfigurationError",
    "EngineClient",
    "EngineRelay",
    "PlatformCatalogue",
    "PlatformStore",
    "PlatformWire",
    "SettingsError",
    "read_configuration_in_force",
    "read_settings",
    "settings_path",
    "view_configuration",
]

__getattr__ = load_at_first_use(__name__, _LOADED_AT_FIRST_USE)


def settings_path() -> Path:
    """Return the path of this process's settings file; raise ``SettingsError`` without one."""
    path = os.environ.get(SETTINGS_FILE_VARIABLE)
    if not path:
        raise SettingsError(f"{SETTINGS_FILE_VARIABLE} is not set; set it to the settings file")
    return Path(path)
