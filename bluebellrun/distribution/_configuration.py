"""Builds the configuration in force from the documents of a process."""

from collections.abc import Awaitable, Callable, Mapping

from pydantic import ValidationError

from bluebellrun.core import Clock, InvariantError, invariants
from bluebellrun.declarations import KINDS, Configuration, Document, build_configuration
from bluebellrun.distribution._documents import DocumentName
from bluebellrun.telemetry import get_logger

Listener = Callable[[Configuration], Awaitable[None]]

_log = get_logger("distribution")


class ConfigurationFollower:
    """Keep one process's configuration up to date; its version never decreases.

    A document that this process cannot read, such as one of a later release, keeps its previous
    form and is logged; all others of its version come into force.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._current: Configuration | None = None
        self._changed_at = 0.0
        self._source = ""
        self._data: dict[DocumentName, bytes] = {}
        self._documents: dict[DocumentName, Document] = {}
        self._listeners: list[Listener] = []

    @property
    def current(self) -> Configuration | None:
        """Return the configuration in force, or none before the first."""
        return self._current

    @property
    def version(self) -> int:
        """Return the version in force; 0 before the first."""
        return 0 if self._current is None else self._current.version

    @property
    def age_s(self) -> float:
        """Return how long the configuration has been in force, in seconds."""
        return self._clock.now() - self._changed_at

    @property
    def source(self) -> str:
        """Return the origin of the configuration: ``store`` or a process's name."""
        return self._source

    def add_listener(self, listener: Listener) -> None:
        """Call a function with each new configuration."""
        self._listeners.append(listener)

    async def put_in_force(
        self, version: int, items: Mapping[DocumentName, bytes], source: str
    ) -> None:
        """Put documents of a newer version in force and notify the listeners."""
        rose = invariants.check(version > self.version, "version in force rises", version=version)
        if not rose:
            return
        self._decode_changed(items)
        self._current = build_configuration(version, self._documents.values())
        self._changed_at = self._clock.now()
        self._source = source
        _log.info("configuration in force", version=version, documents=len(items), source=source)
        for listener in self._listeners:
            await self._notify(listener, self._current)

    async def _notify(self, listener: Listener, configuration: Configuration) -> None:
        """Call a listener; its failure does not block other listeners or later versions."""
        try:
            await listener(configuration)
        except InvariantError:
            raise
        except Exception:
            _log.exception("listener failed", version=configuration.version)

    def _decode_changed(self, items: Mapping[DocumentName, bytes]) -> None:
        """Decode changed documents and discard removed ones."""
        for key in [key for key in self._documents if key not in items]:
            del self._documents[key]
        for key, data in items.items():
            if self._data.get(key) != data:
                self._decode_document(key, data)
        self._data = dict(items)

    def _decode_document(self, key: DocumentName, data: bytes) -> None:
        """Decode one document; keep the previous one if it is invalid."""
        model = KINDS.get(key.kind)
        if model is None:
            _log.error("document of unknown kind ignored", kind=key.kind, name=key.name)
            return
        try:
            self._documents[key] = model.model_validate_json(data)
        except ValidationError as error:
            _log.error("invalid document rejected", kind=key.kind, name=key.name, error=str(error))
