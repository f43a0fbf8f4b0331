"""Settings: one class per binary, read from flags, then the environment, then defaults."""

from bluebellrun.conf._commands import EXIT_BAD_SETTING, settings_command
from bluebellrun.conf._models import (
    AddressSetting,
    CallerTlsSettings,
    ControlSettings,
    HttpSettings,
    LinkSettings,
    ProcessSettings,
    StoreSettings,
)

__all__ = [
    "EXIT_BAD_SETTING",
    "AddressSetting",
    "CallerTlsSettings",
    "ControlSettings",
    "HttpSettings",
    "LinkSettings",
    "ProcessSettings",
    "StoreSettings",
    "settings_command",
]
