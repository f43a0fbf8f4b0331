"""Follow the store and keep what it says in force: configuration, upstreams, own records."""

from collections.abc import Callable, Iterable
from random import Random

from bluebellrun.core import Clock
from bluebellrun.deployment import Bounds, Deployment
from bluebellrun.gateway._directory import UpstreamDirectory
from bluebellrun.gateway._models import Upstream
from bluebellrun.gateway._store_changes import (
    ConfigurationWritten,
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
    WatchEvent,
    WatchTiming,
)
from bluebellrun.telemetry import get_logger

# Part of the time for a change to be in force that is left to gathering changes: each call to the
# store is paid for, and registrations come in bursts of dozens.
GATHER_PART = 0.1
# Left of the time in which a silent connection to the store has to be found, for the next call.
FIND_SILENCE_MARGIN_S = 0.5
# Tighter bounds than any installation's would have a watch ask without a pause.
LEAST_WATCH_WAIT_S = 1.0
# The interval of checks is spread between this part of it and as much more.
SHORTEST_PART_OF_CHECK = 0.75
# A store that comes back is read again within this time.
LONGEST_PAUSE_S = 0.4
# Removals that reach this process this soon after it could not reach the store may be lapses.
TROUBLE_LASTS_S = 1.0

_log = get_logger("store-view")


def watch_check_s(timing: WatchTiming, call_s: float) -> float:
    """Return how long a watch may say nothing before it is compared with the store.

    Its calls end sooner, however the interval is spread.
    """
    return (timing.wait_s + call_s) / SHORTEST_PART_OF_CHECK


def watch_timing(bounds: Bounds, call_s: float) -> WatchTiming:
    """Return how to watch the store, so that changes are in force in time.

    A connection may go silent without a word: a waiting call ends ``call_s`` seconds after its
    wait, and a change has to be in force when calm and the time to apply it are over.
    """
    found_s = bounds.calm_s + bounds.apply_s - call_s - FIND_SILENCE_MARGIN_S
    return WatchTiming(max(LEAST_WATCH_WAIT_S, found_s), GATHER_PART * bounds.apply_s)


class StoreView:
    """What this process knows from the store; times in seconds of ``clock``."""

    def __init__(
        self,
        store: KeyValueStore,
        reader: StoreReader,
        directory: UpstreamDirectory,
        put_in_force: Callable[[Deployment], bool],
        clock: Clock,
        random: Random,
        check_interval_s: float = CHECK_INTERVAL_S,
    ) -> None:
        self._reader = reader
        self._directory = directory
        self._put_in_force = put_in_force
        self._clock = clock
        self._records: dict[str, RecordWritten] = {}
        self._shared: dict[str, KeyValue] = {}
        self._told_revision = 0
        self._follower = PrefixFollower(
            store,
            reader.prefix,
            self._take_snapshot,
            self._take_events,
            clock,
            random,
            longest_pause_s=LONGEST_PAUSE_S,
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
        """Return the keys that another entry may be told, as they were last read."""
        return list(self._shared.values())

    def silence_s(self) -> float:
        """Return the seconds since the store was heard; infinite before the first time."""
        confirmed_at = self._follower.confirmed_at
        return float("inf") if confirmed_at is None else self._clock.now() - confirmed_at

    def is_cut_off(self, seconds: float) -> bool:
        """Return whether the store has failed this process for so long."""
        broken_at = self._follower.broken_at
        return broken_at is not None and self._clock.now() - broken_at >= seconds

    @property
    def revision(self) -> int:
        """Return the revision of the store up to which this entry knows it."""
        return max(self._follower.revision, self._told_revision)

    def apply_peer_snapshot(self, told: Snapshot) -> bool:
        """Take what another entry read from the store while this one cannot ask it.

        Older news than this entry's own are left: an upstream that has left, or a key that was
        withdrawn, would be in use again. Return whether they were taken.
        """
        now = self._clock.now()
        taken = told.revision >= self.revision
        if taken:
            self._told_revision = told.revision
            self._take_whole(told.items, now, store_outage=True)
        _log.info(
            "store read by another entry" if taken else "older news of the store left",
            keys=len(told.items),
            revision=told.revision,
            known_revision=self.revision,
            silent_s=round(self.silence_s(), 3),
        )
        return taken

    async def run(self) -> None:
        """Follow until cancelled."""
        await self._follower.run()

    async def _take_snapshot(self, snapshot: Snapshot) -> None:
        """Take all keys at once."""
        now = self._clock.now()
        self._records.clear()
        upstreams = self._take_whole(snapshot.items, now, self._in_trouble(now))
        _log.info("store read", revision=snapshot.revision, upstreams=upstreams)

    def _take_whole(self, items: Iterable[KeyValue], now: float, store_outage: bool) -> int:
        """Take all keys at once; return how many upstreams are registered."""
        upstreams: dict[str, Upstream] = {}
        self._shared.clear()
        for pair in items:
            item = self._reader.read(pair.key, pair.value, pair.mod_revision)
            if self._reader.is_shared(pair.key):
                self._shared[pair.key] = pair
            if isinstance(item, UpstreamWritten):
                upstreams[item.upstream.instance] = item.upstream
            elif item is not None:
                self._take(item, now)
        self._directory.replace_all(upstreams, now, store_outage)
        return len(upstreams)

    async def _take_events(self, events: list[WatchEvent]) -> None:
        """Take changes in order."""
        now = self._clock.now()
        for event in events:
            self._share(event)
            item = self._reader.read(event.key, event.value, event.mod_revision)
            if item is not None:
                self._take(item, now)

    def _share(self, event: WatchEvent) -> None:
        """Keep a change for entries that cannot ask the store."""
        if event.value is None:
            self._shared.pop(event.key, None)
        elif self._reader.is_shared(event.key):
            self._shared[event.key] = KeyValue(event.key, event.value, event.mod_revision)

    def _take(self, news: StoreChange, now: float) -> None:
        """Take one change."""
        match news:
            case ConfigurationWritten(deployment):
                in_force = self._put_in_force(deployment)
                _log.info("configuration read", version=deployment.version, in_force=in_force)
            case UpstreamWritten(upstream):
                self._directory.put(upstream)
                _log.info(
                    "upstream registered",
                    upstream=upstream.instance,
                    service=upstream.service,
                    leaving=upstream.leaving,
                )
            case UpstreamRemoved(instance):
                trouble = self._in_trouble(now)
                self._directory.remove(instance, now, trouble)
                _log.info("upstream removed", upstream=instance, may_be_lapsed=trouble)
            case RecordWritten(key, value):
                if value is None:
                    self._records.pop(key, None)
                else:
                    self._records[key] = news
            case Unreadable(key, reason, instance):
                if instance is not None:
                    self._directory.remove(instance, now, store_outage=False)
                _log.warning("key ignored", key=key, reason=reason)

    def _in_trouble(self, now: float) -> bool:
        """Return whether a removal that is read now may be a lapse of the store's outage."""
        if self._follower.broken_at is not None:
            return True
        regained_at = self._follower.regained_at
        return regained_at is not None and now - regained_at < TROUBLE_LASTS_S
