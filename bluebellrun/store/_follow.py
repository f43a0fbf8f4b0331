"""Follow the keys below a prefix through outages, broken watches and compaction."""

from collections.abc import Awaitable, Callable, Iterable
from random import Random

import curio

from bluebellrun.core import Clock
from bluebellrun.store._backoff import MAX_PAUSE_S, Backoff
from bluebellrun.store._exceptions import CompactedError, PlatformError, StoreUnavailableError
from bluebellrun.store._models import Snapshot, WatchEvent
from bluebellrun.store._ports import KeyValueStore, Watch
from bluebellrun.telemetry import get_logger

CHECK_INTERVAL_S = 4.0
CHECK_GRACE_S = 0.5

SnapshotHandler = Callable[[Snapshot], Awaitable[None]]
EventsHandler = Callable[[list[WatchEvent]], Awaitable[None]]

_log = get_logger("store.follow")


class PrefixFollower:
    """Hand over a snapshot, then changes; resume a broken watch from the last revision.

    With ``from_revision`` the changes after it are handed over, without a snapshot. A watch
    whose connection has gone silent is found by comparing revisions every few seconds.
    """

    def __init__(
        self,
        store: KeyValueStore,
        prefix: str,
        on_snapshot: SnapshotHandler,
        on_events: EventsHandler,
        clock: Clock,
        random: Random,
        from_revision: int = 0,
        max_pause_s: float = MAX_PAUSE_S,
        check_interval_s: float = CHECK_INTERVAL_S,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._on_snapshot = on_snapshot
        self._on_events = on_events
        self._clock = clock
        self._random = random
        self._revision = from_revision
        self._seen = from_revision
        self._confirmed_at: float | None = None
        self._failing_since: float | None = None
        self._recovered_at: float | None = None
        self._max_pause_s = max_pause_s
        self._quiet_s = check_interval_s

    @property
    def revision(self) -> int:
        """Return the revision up to which everything was handed over, 0 before the first.

        It never goes back, also while all keys have to be read again.
        """
        return self._seen

    @property
    def confirmed_at(self) -> float | None:
        """Return when the store last confirmed that nothing was missed, or none."""
        return self._confirmed_at

    @property
    def failing_since(self) -> float | None:
        """Return when the store first failed since it last confirmed, or none."""
        return self._failing_since

    @property
    def recovered_at(self) -> float | None:
        """Return when the store confirmed again after it had failed, or none."""
        return self._recovered_at

    async def run(self) -> None:
        """Follow until cancelled."""
        backoff = Backoff(self._random, max_s=self._max_pause_s)
        while True:
            try:
                await self._follow(backoff)
            except CompactedError:
                self._revision = 0
            except PlatformError as error:
                if self._failing_since is None:
                    self._failing_since = self._clock.now()
                _log.info("store not followed", prefix=self._prefix, error=str(error))
            await curio.sleep(backoff.pause_s())

    async def _follow(self, backoff: Backoff) -> None:
        """Read a snapshot unless changes can be resumed, then take changes as they come."""
        if not self._revision:
            snapshot = await self._store.read_prefix(self._prefix)
            await self._on_snapshot(snapshot)
            self._revision = snapshot.revision
            self._note((snapshot.revision, *(item.mod_revision for item in snapshot.items)))
        watch = await self._store.watch(self._prefix, self._revision + 1)
        self._confirm()
        try:
            while True:
                if not await self._take_next(watch, self._check_interval_s()):
                    await self._check(watch)
                backoff.reset()
        finally:
            await watch.close()

    async def _take_next(self, watch: Watch, wait_s: float) -> bool:
        """Take the next changes; return whether the watch said anything in time.

        An empty list says that nothing has changed so far.
        """
        events: list[WatchEvent] | None = None
        async with curio.ignore_after(wait_s):
            events = await watch.next()
        if events is None:
            return False
        if events:
            await self._on_events(events)
        self._note(event.mod_revision for event in events)
        self._revision = max(self._revision, self._seen)
        self._confirm()
        return True

    async def _check(self, watch: Watch) -> None:
        """Compare revisions with the store; raise ``PlatformError`` if the watch missed one."""
        snapshot = await self._store.read_revisions(self._prefix)
        newest = max((item.mod_revision for item in snapshot.items), default=0)
        if newest > self._seen:
            await self._take_next(watch, CHECK_GRACE_S)
        if newest > self._seen:
            raise StoreUnavailableError(f"the watch went silent before revision {newest}")
        self._confirm()

    def _check_interval_s(self) -> float:
        """Return the quiet time after which the watch is checked, jittered."""
        return self._quiet_s * (0.75 + 0.5 * self._random.random())

    def _note(self, revisions: Iterable[int]) -> None:
        """Remember the newest revision that was handed over."""
        self._seen = max(self._seen, max(revisions, default=0))

    def _confirm(self) -> None:
        """Note that the store and this process agree now."""
        self._confirmed_at = self._clock.now()
        if self._failing_since is not None:
            self._recovered_at = self._confirmed_at
        self._failing_since = None
