"""Follow the store and apply its contents: configuration, upstreams, own records."""

from collections.abc import Callable, Iterable
from dataclasses import replace
from random import Random

from bluebellrun.core import Clock
from bluebellrun.deployment import Bounds, Deployment
from bluebellrun.gateway._cold_upstreams import ColdUpstreams
from bluebellrun.gateway._directory import LAPSE_GRACE_S, UpstreamDirectory
from bluebellrun.gateway._evacuation_follower import EvacuationFollower
from bluebellrun.gateway._models import Upstream
from bluebellrun.gateway._store_changes import (
    ConfigurationWritten,
    DomainEvacuated,
    EvacuationWithdrawn,
    RecordWritten,
    StoreChange,
    StoreReader,
    Unreadable,
    UpstreamRemoved,
    UpstreamWritten,
)
from bluebellrun.store import (
    CHECK_INTERVAL_S,
    KeyValue,
    KeyValueStore,
    PrefixFollower,
    Snapshot,
    StorePosition,
    WatchEvent,
    WatchTiming,
)
from bluebellrun.telemetry import get_logger

# Fraction of the time to apply a change that is spent on batching changes: each call to the store
# has a cost, and registrations come in bursts of dozens.
BATCH_FRACTION = 0.1
# A store answers within this time after the wait of a watch, also when it is slow.
ANSWER_S = 0.6
# Reserve for the calls that read what a lost answer told of.
READ_AGAIN_S = 0.5
# Prevents a watch from polling without a pause under bounds tighter than any installation's.
MIN_WATCH_WAIT_S = 1.0
# The check interval varies at random between this fraction of it and as much above it.
MIN_CHECK_FRACTION = 0.75
# A store that comes back is read again within this time.
MAX_PAUSE_S = 0.4
# Removals read this soon after the store was unreachable may be lapsed registrations.
OUTAGE_GRACE_S = 1.0

_log = get_logger("store-view")


def watch_check_s(timing: WatchTiming) -> float:
    """Return how long a watch may be silent before it is compared with the store.

    Its calls end sooner, whatever the random variation of the interval.
    """
    return timing.call_s / MIN_CHECK_FRACTION


def watch_timing(bounds: Bounds) -> WatchTiming:
    """Return how to watch the store, so that changes are in force in time.

    ``apply_s`` counts from the change, not from when it is read. If the answer that tells of it is
    lost, or its connection has gone silent, the change has to be in force ``calm_s`` later, and an
    evacuation ``evacuation_s`` later: by then the call was given up and the change was read again.
    """
    wait_s = min(bounds.calm_s, bounds.evacuation_s) - ANSWER_S - READ_AGAIN_S
    return WatchTiming(
        max(MIN_WATCH_WAIT_S, wait_s), BATCH_FRACTION * bounds.apply_s, answer_s=ANSWER_S
    )


class StoreView:
    """This process's copy of the store; times in seconds of ``clock``."""

    def __init__(
        self,
        store: KeyValueStore,
        reader: StoreReader,
        directory: UpstreamDirectory,
        put_in_force: Callable[[Deployment], bool],
        clock: Clock,
        random: Random,
        check_interval_s: float = CHECK_INTERVAL_S,
        cold: ColdUpstreams | None = None,
    ) -> None:
        self._reader = reader
        self._directory = directory
        self._put_in_force = put_in_force
        self._clock = clock
        self._records: dict[str, RecordWritten] = {}
        self._shared: dict[str, KeyValue] = {}
        self._era = 0
        self._copied = StorePosition()
        self._cold = cold or ColdUpstreams()
        self._evacuations = EvacuationFollower(directory, self._cold)
        self._has_upstreams = False
        self._was_restored = False
        self._follower = PrefixFollower(
            store,
            reader.prefix,
            self._apply_snapshot,
            self._apply_events,
            clock,
            random,
            max_pause_s=MAX_PAUSE_S,
            check_interval_s=check_interval_s,
        )

    @property
    def confirmed_at(self) -> float | None:
        """Return when the store last confirmed that nothing was missed, or none."""
        return self._follower.confirmed_at

    def record(self, key: str) -> RecordWritten | None:
        """Return one of the project's own records, or none."""
        return self._records.get(key)

    def records_below(self, prefix: str) -> list[RecordWritten]:
        """Return the project's own records below a prefix."""
        return [item for key, item in self._records.items() if key.startswith(prefix)]

    @property
    def shared(self) -> list[KeyValue]:
        """Return the keys that other entries may copy, as they were last read."""
        return list(self._shared.values())

    @property
    def knows_evacuations(self) -> bool:
        """Return whether this entry knows the evacuations at its position."""
        return self._evacuations.is_complete(self._follower.position)

    def expire_evacuations(self) -> None:
        """Withdraw evacuations that a restored store lacks for long."""
        self._evacuations.expire(self._clock.now(), self.revision)

    def silence_s(self) -> float:
        """Return the seconds since the last store contact; infinite before the first."""
        confirmed_at = self._follower.confirmed_at
        return float("inf") if confirmed_at is None else self._clock.now() - confirmed_at

    def outage_age_s(self) -> float:
        """Return the seconds since the store's last outage for this process.

        Zero while it lasts, and infinite if there was none.
        """
        if self._follower.failing_since is not None or self._follower.confirmed_at is None:
            return 0.0
        ended_at = self._follower.recovered_at
        return float("inf") if ended_at is None else self._clock.now() - ended_at

    def is_cut_off(self, seconds: float) -> bool:
        """Return whether the store has failed this process for so long."""
        broken_at = self._follower.failing_since
        return broken_at is not None and self._clock.now() - broken_at >= seconds

    @property
    def position(self) -> StorePosition:
        """Return the point in the store's history up to which this entry knows it."""
        return max(self._follower.position, self._copied)

    @property
    def revision(self) -> int:
        """Return the revision of ``position``."""
        return self.position.revision

    def apply_peer_snapshot(
        self, copy: Snapshot, outage_age_s: float = 0.0, has_evacuations: bool = True
    ) -> bool:
        """Apply another entry's copy of the store while this one does not hear from the store.

        A copy older than this entry's own is ignored: it would restore upstreams that have left
        and keys that were withdrawn. Upstreams that are not in it have left, unless the store's
        last outage for the other entry ended only ``outage_age_s`` ago: their registrations may
        have lapsed. Copies of older builds have no evacuations; those known then stay in force.
        Return whether the copy was applied.
        """
        now = self._clock.now()
        known = self.position
        position = self._position_of(copy)
        applied = position >= known
        if applied:
            self._copied = position
            restored = self._enter_era(known.era, position.era)
            ended_at = now - outage_age_s if outage_age_s < LAPSE_GRACE_S else None
            self._evacuations.record_copy(position, has_evacuations)
            ended_at = now if restored else ended_at
            self._replace_all(copy.items, now, ended_at, restored, has_evacuations)
        _log.info(
            "store copy of another entry applied" if applied else "older store copy ignored",
            keys=len(copy.items),
            revision=copy.revision,
            era=copy.era,
            known_revision=known.revision,
            known_era=known.era,
            outage_age_s=outage_age_s,
            silent_s=round(self.silence_s(), 3),
        )
        return applied

    def _position_of(self, copy: Snapshot) -> StorePosition:
        """Return the position of another entry's copy.

        Older builds name no era. Their copies count by revision until this entry has seen a
        restore, and are older than anything after it.
        """
        if copy.era or self._was_restored:
            return copy.position
        return StorePosition(self.position.era, copy.revision)

    def _enter_era(self, before: int, era: int) -> bool:
        """Return whether the store was restored since this entry last knew it."""
        restored = 0 < before < era
        self._was_restored |= restored
        return restored

    async def run(self) -> None:
        """Follow until cancelled."""
        await self._follower.run()

    async def _apply_snapshot(self, snapshot: Snapshot) -> None:
        """Apply a snapshot of the store."""
        now = self._clock.now()
        self._records.clear()
        self._era = snapshot.era
        restored = self._enter_era(self.position.era, snapshot.era)
        ended_at = now if restored else self._outage_ended_at(now)
        upstreams = self._replace_all(snapshot.items, now, ended_at, restored)
        _log.info(
            "store read",
            revision=snapshot.revision,
            era=snapshot.era,
            restored=restored,
            upstreams=upstreams,
        )

    def _replace_all(
        self,
        items: Iterable[KeyValue],
        now: float,
        outage_ended_at: float | None,
        restored: bool = False,
        has_evacuations: bool = True,
    ) -> int:
        """Replace all keys; return how many upstreams are registered."""
        upstreams: dict[str, Upstream] = {}
        revisions: dict[str, int] = {}
        evacuations: dict[str, int] = {}
        kept = {} if has_evacuations else self._shared_evacuations()
        self._shared.clear()
        self._shared.update(kept)
        for pair in items:
            item = self._read(pair.key, pair.value, pair.mod_revision)
            if self._reader.is_shared(pair.key):
                self._shared[pair.key] = pair
            if isinstance(item, UpstreamWritten):
                upstreams[item.upstream.instance] = item.upstream
                revisions[item.upstream.instance] = item.revision
            elif isinstance(item, DomainEvacuated):
                evacuations[item.domain] = item.revision
            elif item is not None:
                self._apply(item, now)
        self._directory.replace_all(upstreams, now, outage_ended_at, restored)
        for name, upstream in upstreams.items():
            is_first = not self._has_upstreams
            self._cold.record_registration(upstream, revisions[name], now, is_first)
        self._has_upstreams = True
        if has_evacuations:
            self._evacuations.replace_all(evacuations, now, restored, self.revision)
        return len(upstreams)

    def _shared_evacuations(self) -> dict[str, KeyValue]:
        """Return the shared keys of the evacuations in force."""
        return {
            key: pair
            for key, pair in self._shared.items()
            if isinstance(self._read(key, pair.value, pair.mod_revision), DomainEvacuated)
        }

    async def _apply_events(self, events: list[WatchEvent]) -> None:
        """Apply changes in order."""
        now = self._clock.now()
        for event in events:
            self._share(event)
            item = self._read(event.key, event.value, event.mod_revision)
            if item is not None:
                self._apply(item, now)

    def _read(self, key: str, value: bytes | None, revision: int) -> StoreChange | None:
        """Read a key; one that the reader fails at must not end the following of all others."""
        try:
            return self._reader.read(key, value, revision)
        except Exception as error:
            _log.exception("key not read", key=key, error=type(error).__name__)
            return Unreadable(key, f"{type(error).__name__}: {error}")

    def _share(self, event: WatchEvent) -> None:
        """Update the keys shared with entries that cannot reach the store."""
        if event.value is None:
            self._shared.pop(event.key, None)
        elif self._reader.is_shared(event.key):
            self._shared[event.key] = KeyValue(event.key, event.value, event.mod_revision)

    def _apply(self, change: StoreChange, now: float) -> None:
        """Apply one change."""
        match change:
            case ConfigurationWritten(deployment):
                in_force = self._put_in_force(deployment)
                _log.info("configuration read", version=deployment.version, in_force=in_force)
            case UpstreamWritten(upstream, revision):
                self._directory.put(upstream)
                self._cold.record_registration(upstream, revision, now)
                _log.info(
                    "upstream registered",
                    upstream=upstream.instance,
                    service=upstream.service,
                    leaving=upstream.leaving,
                )
            case UpstreamRemoved(instance):
                ended_at = self._outage_ended_at(now)
                self._directory.remove(instance, ended_at)
                _log.info("upstream removed", upstream=instance, may_be_lapsed=ended_at is not None)
            case DomainEvacuated() | EvacuationWithdrawn():
                self._evacuations.apply(change, self._era, now)
            case RecordWritten(key, value):
                if value is None:
                    self._records.pop(key, None)
                else:
                    self._records[key] = replace(change, era=self._era)
            case Unreadable(key, reason, instance):
                if instance is not None:
                    self._directory.remove(instance)
                _log.warning("key ignored", key=key, reason=reason)

    def _outage_ended_at(self, now: float) -> float | None:
        """Return when the outage ended in which a registration removed now may have lapsed.

        None if there was no outage recently: the upstream has left.
        """
        if self._follower.failing_since is not None:
            return now
        ended_at = self._follower.recovered_at
        return ended_at if ended_at is not None and now - ended_at < OUTAGE_GRACE_S else None
