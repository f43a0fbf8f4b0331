"""Follow the store and keep what it says in force: configuration, upstreams, own records."""

from collections.abc import Callable
from random import Random

from bluebellrun.core import Clock
from bluebellrun.deployment import Deployment
from bluebellrun.gateway._directory import UpstreamDirectory
from bluebellrun.gateway._news import (
    ConfigurationWritten,
    News,
    RecordWritten,
    StoreReader,
    Unreadable,
    UpstreamRemoved,
    UpstreamWritten,
)
from bluebellrun.store import KeyValueStore, PrefixFollower, Snapshot, WatchEvent
from bluebellrun.telemetry import get_logger

# A store that comes back is read again within this time.
LONGEST_PAUSE_S = 0.4
# Removals that reach this process this soon after it could not reach the store may be lapses.
TROUBLE_LASTS_S = 1.0
# A store that says nothing for so long is in trouble: a watch answers every few seconds.
SILENCE_S = 4.5

_log = get_logger("store-view")


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
    ) -> None:
        self._reader = reader
        self._directory = directory
        self._put_in_force = put_in_force
        self._clock = clock
        self._records: dict[str, RecordWritten] = {}
        self._heard_at: float | None = None
        self._trouble_until = 0.0
        self._follower = PrefixFollower(
            store,
            reader.prefix,
            self._take_snapshot,
            self._take_events,
            clock,
            random,
            longest_pause_s=LONGEST_PAUSE_S,
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

    async def run(self) -> None:
        """Follow until cancelled."""
        await self._follower.run()

    async def _take_snapshot(self, snapshot: Snapshot) -> None:
        """Take all keys at once."""
        now = self._clock.now()
        self._note_contact(now)
        news = [
            item
            for pair in snapshot.items
            if (item := self._reader.read(pair.key, pair.value, pair.mod_revision)) is not None
        ]
        upstreams = {
            item.upstream.instance: item.upstream
            for item in news
            if isinstance(item, UpstreamWritten)
        }
        self._directory.replace_all(upstreams, now, self._in_trouble(now))
        self._records.clear()
        for item in news:
            if not isinstance(item, UpstreamWritten):
                self._take(item, now)
        _log.info(
            "store read", revision=snapshot.revision, upstreams=len(upstreams), keys=len(news)
        )

    async def _take_events(self, events: list[WatchEvent]) -> None:
        """Take changes in order."""
        now = self._clock.now()
        self._note_contact(now)
        for event in events:
            item = self._reader.read(event.key, event.value, event.mod_revision)
            if item is not None:
                self._take(item, now)

    def _take(self, news: News, now: float) -> None:
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
                    self._directory.remove(instance, now, store_in_trouble=False)
                _log.warning("key ignored", key=key, reason=reason)

    def _note_contact(self, now: float) -> None:
        """Note that the store was heard; after a silence, what it removed may be lapses."""
        last = self._follower.confirmed_at
        if last is not None and now - last > SILENCE_S:
            self._trouble_until = now + TROUBLE_LASTS_S
            _log.info("store regained", silent_s=round(now - last, 3))

    def _in_trouble(self, now: float) -> bool:
        """Return whether a removal that is read now may be a lapse."""
        return now < self._trouble_until
