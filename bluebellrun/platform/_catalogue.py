"""Decode the keys of the platform's store into the gateway's types."""

from bluebellrun.gateway import (
    ConfigurationWritten,
    DomainEvacuated,
    EvacuationWithdrawn,
    RecordWritten,
    StoreChange,
    Unreadable,
    UpstreamRemoved,
    UpstreamWritten,
)
from bluebellrun.platform._configuration import ConfigurationError, read_configuration
from bluebellrun.platform._names import (
    CONFIGURATION_KEY,
    EVACUATION_KEY_PREFIX,
    OWN_PREFIX,
    UPSTREAM_KEY_PREFIX,
)
from bluebellrun.platform._registrations import RegistrationError, read_registration


class PlatformCatalogue:
    """The key layout of the platform's store."""

    @property
    def prefix(self) -> str:
        """Return the common prefix of all keys, so that one watch covers them all."""
        return ""

    def is_shared(self, key: str) -> bool:
        """Return whether a key is the same for all entries, so that entries may share its value."""
        prefixes = (UPSTREAM_KEY_PREFIX, EVACUATION_KEY_PREFIX)
        return key == CONFIGURATION_KEY or key.startswith(prefixes)

    def read(self, key: str, value: bytes | None, revision: int) -> StoreChange | None:
        """Decode a written key, or its deletion if ``value`` is ``None``."""
        if key == CONFIGURATION_KEY:
            return self._configuration(key, value, revision)
        if key.startswith(UPSTREAM_KEY_PREFIX):
            return self._upstream(key, value, revision)
        if key.startswith(EVACUATION_KEY_PREFIX):
            return self._evacuation(key, value, revision)
        if key.startswith(OWN_PREFIX):
            return RecordWritten(key, value, revision)
        return None

    def _configuration(self, key: str, value: bytes | None, revision: int) -> StoreChange:
        """Decode a change of the operator's configuration."""
        if value is None:
            return Unreadable(key, "the configuration was deleted; the last one stays in force")
        try:
            return ConfigurationWritten(read_configuration(value, revision))
        except ConfigurationError as error:
            return Unreadable(key, str(error))

    def _evacuation(self, key: str, value: bytes | None, revision: int) -> StoreChange:
        """Decode an evacuation or its withdrawal; its value has no meaning."""
        domain = key.removeprefix(EVACUATION_KEY_PREFIX)
        if not domain:
            return Unreadable(key, "it names no failure domain")
        if value is None:
            return EvacuationWithdrawn(domain, revision)
        return DomainEvacuated(domain, revision)

    def _upstream(self, key: str, value: bytes | None, revision: int) -> StoreChange:
        """Decode a change of an upstream's registration."""
        instance = key.removeprefix(UPSTREAM_KEY_PREFIX)
        if value is None:
            return UpstreamRemoved(instance)
        try:
            return UpstreamWritten(read_registration(key, value), revision)
        except RegistrationError as error:
            return Unreadable(key, str(error), instance)
