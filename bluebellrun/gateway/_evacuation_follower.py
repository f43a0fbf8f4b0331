"""Apply evacuations as the store, and other entries' copies of it, name them."""

from collections.abc import Mapping

from bluebellrun.gateway._cold_upstreams import ColdUpstreams
from bluebellrun.gateway._directory import UpstreamDirectory
from bluebellrun.gateway._store_changes import DomainEvacuated, EvacuationWithdrawn
from bluebellrun.store import StorePosition
from bluebellrun.telemetry import get_logger

_log = get_logger("evacuation")


class EvacuationFollower:
    """Keeps the evacuations of a directory; times in seconds.

    Copies of other entries may be further than this entry's own watch, whose changes up to the
    copy are old news then. Copies of older builds have no evacuations.
    """

    def __init__(self, directory: UpstreamDirectory, cold: ColdUpstreams | None = None) -> None:
        self._directory = directory
        self._cold = cold or ColdUpstreams()
        self._copied = StorePosition()
        self._copied_without = StorePosition()

    def is_complete(self, followed: StorePosition) -> bool:
        """Return whether the evacuations are known, up to where this entry knows the store.

        ``followed`` is the position up to which it read the store itself.
        """
        return self._copied_without <= followed

    def record_copy(self, position: StorePosition, has_evacuations: bool) -> None:
        """Record the position of another entry's copy that is applied."""
        if has_evacuations:
            self._copied, self._copied_without = position, StorePosition()
        else:
            self._copied_without = position

    def apply(self, change: DomainEvacuated | EvacuationWithdrawn, era: int, now: float) -> None:
        """Apply a change that this entry's watch reports in an era of the store."""
        if StorePosition(era, change.revision) <= self._copied:
            return
        match change:
            case DomainEvacuated(domain, revision):
                if self._directory.evacuate(domain, revision):
                    self._log("evacuation in force", domain, revision)
            case EvacuationWithdrawn(domain, revision):
                if self._directory.withdraw_evacuation(domain):
                    self._end(domain, revision, now)

    def replace_all(
        self, revisions: Mapping[str, int], now: float, restored: bool, revision: int
    ) -> None:
        """Replace all evacuations by those of a copy of the store at a revision."""
        begun, ended = self._directory.replace_evacuations(revisions, now, restored)
        for domain in begun:
            self._log("evacuation in force", domain, revisions[domain])
        for domain in ended:
            self._end(domain, revision, now)

    def expire(self, now: float, revision: int) -> None:
        """Withdraw the evacuations that a restored store lacks for long."""
        for domain in self._directory.expire_evacuations(now):
            self._end(domain, revision, now)

    def _end(self, domain: str, revision: int, now: float) -> None:
        """Record that an evacuation has ended: the domain's upstreams may have restarted."""
        self._cold.record_evacuation_end(self._directory.in_domain(domain), now)
        self._log("evacuation withdrawn", domain, revision)

    def _log(self, event: str, domain: str, revision: int) -> None:
        """Log a change of a failure domain's evacuation."""
        upstreams = len(self._directory.in_domain(domain))
        _log.info(event, failure_domain=domain, revision=revision, upstreams=upstreams)
