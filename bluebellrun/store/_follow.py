"""Follow the keys with a prefix across outages, broken watches and compaction."""

from collections.abc import Awaitable, Callable, Iterable
from random import Random

import curio

from bluebellrun.core import Clock
from bluebellrun.store._backoff import MAX_PAUSE_S, Backoff
from bluebellrun.store._exceptions import CompactedError, PlatformError, StoreUnavailableError
from bluebellrun.store._models import Snapshot, StorePosition, WatchEvent
from bluebellrun.store._ports import KeyValueStore, Watch
from bluebellrun.telemetry import get_logger

CHECK_INTERVAL_S = 4.0
CHECK_GRACE_S = 0.5

SnapshotHandler = Callable[[Snapshot], Awaitable[None]]
EventsHandler = Callable[[list[WatchEvent]], Awaitable[None]]

_log = get_logger("store.follow")


class PrefixFollower:
    """Pass on a snapshot, then changes; resume a broken watch after the last revision.

    A store that was restored from an older copy is read anew: its revisions tell nothing then.

    With ``from_revision``, only the changes after it are passed on, without a snapshot. A watch
    whose connection has stalled is detected by comparing revisions with the store whenever it
    has been quiet for about ``check_interval_s`` seconds.

    The store fails from when a call is not answered that was made after a watch broke: a single
    answer may be lost while the store serves everybody.
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
        self._resume_revision = from_revision
        self._delivered = StorePosition(store.era, from_revision)
        self._confirmed_at: float | None = None
        self._is_watching = False
        self._watch_broke_at: float | None = None
        self._failing_since: float | None = None
        self._recovered_at: float | None = None
        self._max_pause_s = max_pause_s
        self._base_check_interval_s = check_interval_s

    @property
    def revision(self) -> int:
        """Return the newest revision that has been passed on, or 0 before the first."""
        return self._delivered.revision

    @property
    def position(self) -> StorePosition:
        """Return the newest position that has been passed on.

        It never decreases, even while all keys are read again.
        """
        return self._delivered

    @property
    def confirmed_at(self) -> float | None:
        """Return when the store last confirmed that no change was missed, or none."""
        return self._confirmed_at

    @property
    def failing_since(self) -> float | None:
        """Return when the current failure of the store began, or none while it does not fail."""
        return self._failing_since

    @property
    def recovered_at(self) -> float | None:
        """Return when the store last recovered from a failure, or none."""
        return self._recovered_at

    async def run(self) -> None:
        """Follow the keys until cancelled."""
        backoff = Backoff(self._random, max_s=self._max_pause_s)
        while True:
            try:
                await self._follow(backoff)
            except CompactedError:
                self._resume_revision = 0
            except PlatformError as error:
                self._record_failure()
                _log.info(
                    "following the store failed",
                    prefix=self._prefix,
                    error=str(error),
                    store_fails=self._failing_since is not None,
                )
            await curio.sleep(backoff.pause_s())

    async def _follow(self, backoff: Backoff) -> None:
        """Read a snapshot unless the watch can be resumed, then process changes as they arrive."""
        self._is_watching = False
        if not self._resume_revision:
            snapshot = await self._store.read_prefix(self._prefix)
            await self._on_snapshot(snapshot)
            self._resume_revision = snapshot.revision
            self._record_delivered(
                snapshot.era, (snapshot.revision, *(item.mod_revision for item in snapshot.items))
            )
        self._require_era(self._store.era)
        watch = await self._store.watch(self._prefix, self._resume_revision + 1)
        self._record_confirmation()
        self._is_watching = True
        try:
            while True:
                if not await self._process_next(watch, self._next_check_interval_s()):
                    await self._check(watch)
                backoff.reset()
        finally:
            await watch.close()

    async def _process_next(self, watch: Watch, wait_s: float) -> bool:
        """Process the next changes; return whether the watch reported anything within ``wait_s``.

        An empty list from the watch reports that nothing has changed so far.
        """
        events: list[WatchEvent] | None = None
        async with curio.ignore_after(wait_s):
            events = await watch.next()
        if events is None:
            return False
        if events:
            await self._on_events(events)
        self._record_delivered(self._delivered.era, (event.mod_revision for event in events))
        self._resume_revision = max(self._resume_revision, self._delivered.revision)
        self._record_confirmation()
        return True

    async def _check(self, watch: Watch) -> None:
        """Compare revisions with the store; raise ``PlatformError`` if the watch missed any."""
        snapshot = await self._store.read_revisions(self._prefix)
        self._require_era(snapshot.era)
        newest = max((item.mod_revision for item in snapshot.items), default=0)
        if newest > self._delivered.revision:
            await self._process_next(watch, CHECK_GRACE_S)
        if newest > self._delivered.revision:
            raise StoreUnavailableError(f"the watch went silent before revision {newest}")
        self._record_confirmation()

    def _next_check_interval_s(self) -> float:
        """Return the jittered time without changes after which the watch is checked."""
        return self._base_check_interval_s * (0.75 + 0.5 * self._random.random())

    def _require_era(self, era: int) -> None:
        """Raise ``CompactedError`` if the store is in another era than what was passed on."""
        if era != self._delivered.era:
            raise CompactedError(self._delivered.revision)

    def _record_delivered(self, era: int, revisions: Iterable[int]) -> None:
        """Record the newest of the revisions of an era that were passed on."""
        newest = StorePosition(era, max(revisions, default=0))
        self._delivered = max(self._delivered, newest)

    def _record_failure(self) -> None:
        """Record that a watch broke or, if none was open, that the store fails."""
        now = self._clock.now()
        if self._is_watching:
            self._watch_broke_at = now
        elif self._failing_since is None:
            self._failing_since = now if self._watch_broke_at is None else self._watch_broke_at

    def _record_confirmation(self) -> None:
        """Record that this process is up to date with the store."""
        self._confirmed_at = self._clock.now()
        self._watch_broke_at = None
        if self._failing_since is not None:
            self._recovered_at = self._confirmed_at
        self._failing_since = None
