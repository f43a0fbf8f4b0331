"""The users' platform: its names and messages, translated to and from the product's types.

Each program loads only the translations it uses.
"""

import importlib
import os
from pathlib import Path
from typing import TYPE_CHECKING, Any

from bluebellrun.platform._names import OWN_PREFIX, READY_PATH, SETTINGS_FILE_VARIABLE
from bluebellrun.platform._settings import SettingsError, read_settings

if TYPE_CHECKING:
    from bluebellrun.platform._catalogue import PlatformCatalogue
    from bluebellrun.platform._engine import EngineCalls
    from bluebellrun.platform._messages import PlatformWire
    from bluebellrun.platform._relay import EngineRelay
    from bluebellrun.platform._store import PlatformStore

_LOADED_AT_FIRST_USE = {
    "EngineCalls": "_engine",
    "EngineRelay": "_relay",
    "PlatformCatalogue": "_catalogue",
    "PlatformStore": "_store",
    "PlatformWire": "_messages",
}

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


def __getattr__(name: str) -> Any:
    """Load a translation at its first use."""
    module = _LOADED_AT_FIRST_USE.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(f"{__name__}.{module}"), name)


def settings_path() -> Path:
    """Return the path of this process's settings file; raise ``SettingsError`` without one."""
    path = os.environ.get(SETTINGS_FILE_VARIABLE)
    if not path:
        raise SettingsError(f"{SETTINGS_FILE_VARIABLE} is not set; set it to the settings file")
    return Path(path)
