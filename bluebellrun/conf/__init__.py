"""Settings: one class per binary, read from flags, then the environment, then defaults."""

from bluebellrun.conf._commands import settings_command
from bluebellrun.conf._models import (
    AddressSetting,
    ControlSettings,
    HttpSettings,
    LinkSettings,
    ProcessSettings,
    StoreSettings,
)

__all__ = [
    "AddressSetting",
    "ControlSettings",
    "HttpSettings",
    "LinkSettings",
    "ProcessSettings",
    "StoreSettings",
    "settings_command",
]
