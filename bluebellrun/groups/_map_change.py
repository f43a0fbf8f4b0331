"""The coordinator's part in a change of map: prepare, hold, one compare-and-swap, activate.

All decisions follow from the record in the store and the ranks' states, so a coordinator that
takes over at any point goes on from there. The driver performs the effects and reports back.
"""

from dataclasses import dataclass

from bluebellrun.core import invariants
from bluebellrun.groups._orders import (
    ActivateMap,
    EngineState,
    HoldStep,
    MapOrder,
    PrepareMap,
    ReleaseHold,
)
from bluebellrun.groups._record import ChangePhase, GroupRecord, MapChange

MOST_MARGIN_STEPS = 4_096


@dataclass(frozen=True, slots=True)
class MapChangeSettings:
    """Deadlines in seconds; a rank that answered is asked again after ``poll_interval_s``.

    ``step_margin`` is how many steps ahead a map is activated at first.

    The margin should cover the time in which orders reach all ranks; it doubles when it did not.
    """

    prepare_timeout_s: float = 60.0
    order_timeout_s: float = 2.0
    step_margin: int = 8
    poll_interval_s: float = 0.2


@dataclass(frozen=True, slots=True)
class ReadRecord:
    """Read the group's record."""


@dataclass(frozen=True, slots=True)
class WriteRecord:
    """Write the record if its last change has the revision."""

    expected_revision: int
    record: GroupRecord


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Send an order to a rank's agent."""

    rank: int
    content: MapOrder


Effect = ReadRecord | WriteRecord | SendOrder


@dataclass(slots=True)
class _RankView:
    """What is known of one rank, and the order that is on its way to it."""

    state: EngineState | None = None
    sent: MapOrder | None = None
    sent_at: float = 0.0
    answered: bool = False
    failed: bool = False


class MapCoordinator:
    """Drive the changes of one group's map under one fencing number."""

    def __init__(self, fencing: int, ranks: int, settings: MapChangeSettings) -> None:
        self._fencing = fencing
        self._settings = settings
        self._views = [_RankView() for _ in range(ranks)]
        self._record: GroupRecord | None = None
        self._revision = 0
        self._store_busy = False
        self._wanted: str | None = None
        self._hold: int | None = None
        self._margin = settings.step_margin
        self._change_seen: tuple[int, float] | None = None
        self._deposed = False
        self._to_release: set[int] = set()
        self._released = 0

    @property
    def deposed(self) -> bool:
        """Return whether a newer coordinator has taken over."""
        return self._deposed

    @property
    def record(self) -> GroupRecord | None:
        """Return the record as last read."""
        return self._record

    @property
    def idle(self) -> bool:
        """Return whether the record is ours and no change is wanted or in progress."""
        return (
            self._record is not None
            and self._record.fencing == self._fencing
            and self._record.change is None
            and self._wanted is None
            and not self._store_busy
        )

    def request(self, digest: str) -> None:
        """Ask for a change to the map with a digest once no change is in progress."""
        self._wanted = digest

    def decide(self, now: float) -> list[Effect]:
        """Return what is to be done now."""
        if self._deposed or self._store_busy:
            return []
        if self._record is None:
            return self._read()
        record = self._record
        if record.fencing > self._fencing:
            self._deposed = True
            return []
        if record.fencing < self._fencing:
            return self._write(record.taken_over(self._fencing))
        return self._advance(record, now)

    def on_record(self, record: GroupRecord, revision: int) -> None:
        """Take the record as read."""
        self._store_busy = False
        if revision >= self._revision:
            self._take(record, revision)

    def on_read_failed(self) -> None:
        """Note that the record could not be read."""
        self._store_busy = False

    def on_write(self, written: GroupRecord, succeeded: bool | None, revision: int = 0) -> None:
        """Take the outcome of a write; none when its answer was lost.

        A lost write may still arrive later. It does no harm: all writes that compare with one
        revision are right at that revision, and only one of them succeeds.
        """
        self._store_busy = False
        if succeeded:
            self._take(written, revision)
        else:
            self._record = None

    def on_state(self, rank: int, state: EngineState) -> None:
        """Take a rank's state, as told in answer to an order."""
        view = self._views[rank]
        view.state = state
        view.answered = True

    def on_refused(self, rank: int, transient: bool) -> None:
        """Note that a rank's agent did not send an order; look again why unless it passes."""
        self._views[rank].answered = True
        if not transient and not self._store_busy:
            self._record = None

    def on_failed(self, rank: int) -> None:
        """Note that an engine could not carry out an order, so that its change is aborted."""
        self._views[rank].failed = True

    def _take(self, record: GroupRecord, revision: int) -> None:
        """Keep a record; begin anew when it shows another change."""
        before = self._record.change.version if self._record and self._record.change else 0
        self._record, self._revision = record, revision
        change = record.change
        if change is not None and change.version != before:
            if self._change_seen is None or self._change_seen[0] != change.version:
                self._change_seen = None
                self._hold = None
                self._margin = self._settings.step_margin
                for view in self._views:
                    view.sent, view.failed = None, False
            if change.digest == self._wanted:
                self._wanted = None
        if change is None and self._released < record.latest != record.active:
            self._to_release = set(range(len(self._views)))
            self._released = record.latest

    def _read(self) -> list[Effect]:
        """Read the record."""
        self._store_busy = True
        return [ReadRecord()]

    def _write(self, record: GroupRecord) -> list[Effect]:
        """Write the record."""
        self._store_busy = True
        return [WriteRecord(self._revision, record)]

    def _advance(self, record: GroupRecord, now: float) -> list[Effect]:
        """Do the next thing for a record that is ours."""
        change = record.change
        if change is None:
            if self._wanted is not None:
                return self._write(record.begun(self._wanted))
            return self._release(record, now)
        if self._change_seen is None or self._change_seen[0] != change.version:
            self._change_seen = (change.version, now)
        match change.phase:
            case ChangePhase.PREPARING:
                return self._prepare(record, change, now)
            case ChangePhase.COMMITTED:
                return self._activate(record, change, now)

    def _prepare(self, record: GroupRecord, change: MapChange, now: float) -> list[Effect]:
        """Prepare and hold all ranks; commit when all hold, abort when that cannot be."""
        assert self._change_seen is not None
        late = now - self._change_seen[1] > self._settings.prepare_timeout_s
        if late or any(view.failed for view in self._views):
            return self._write(record.aborted())
        unprepared = [r for r in range(len(self._views)) if not self._is_prepared(r, change)]
        if unprepared:
            order = PrepareMap(change.version, change.digest)
            return self._send(unprepared, order, now)
        self._choose_hold(change)
        assert self._hold is not None
        hold = HoldStep(change.version, self._hold)
        loose = [r for r in range(len(self._views)) if self._state(r).hold != hold]
        epochs = {self._state(r).epoch for r in range(len(self._views))}
        if loose or len(epochs) > 1:
            return self._send(loose or list(range(len(self._views))), hold, now)
        return self._write(record.committed(self._hold))

    def _choose_hold(self, change: MapChange) -> None:
        """Choose a step to hold before; when a rank is past it, a later one by twice as much."""
        furthest = max(self._state(rank).step for rank in range(len(self._views)))
        if self._hold is None or furthest > self._hold:
            self._hold = furthest + self._margin
            self._margin = min(2 * self._margin, MOST_MARGIN_STEPS)

    def _activate(self, record: GroupRecord, change: MapChange, now: float) -> list[Effect]:
        """Tell all ranks; finish when all use the map.

        Until then the record says from which step on, for a rank that joins before that step.
        """
        unaware = [
            rank
            for rank, view in enumerate(self._views)
            if view.state is None or not view.state.knows(change.version)
        ]
        if unaware:
            return self._send(unaware, ActivateMap(change.version, change.step), now)
        inactive = [
            rank for rank in range(len(self._views)) if self._state(rank).active != change.version
        ]
        if inactive:
            return self._send(inactive, ActivateMap(change.version, change.step), now)
        invariants.check(
            all(self._state(rank).hold is None for rank in range(len(self._views))),
            "a rank that knows its next map holds no step",
            version=change.version,
        )
        return self._write(record.finished())

    def _release(self, record: GroupRecord, now: float) -> list[Effect]:
        """Tell the ranks of an aborted change, once; their agents find out by themselves too."""
        ranks, self._to_release = sorted(self._to_release), set()
        return [SendOrder(rank, ReleaseHold(record.latest)) for rank in ranks]

    def _send(self, ranks: list[int], order: MapOrder, now: float) -> list[Effect]:
        """Send an order to ranks; again when it was answered a while ago, or not in time."""
        effects: list[Effect] = []
        for rank in ranks:
            view = self._views[rank]
            pause_s = self._settings.poll_interval_s
            if not view.answered:
                pause_s = self._settings.order_timeout_s
            if view.sent == order and now - view.sent_at < pause_s:
                continue
            view.sent, view.sent_at, view.answered = order, now, False
            effects.append(SendOrder(rank, order))
        return effects

    def _is_prepared(self, rank: int, change: MapChange) -> bool:
        """Return whether a rank is known to have a change's weights."""
        state = self._views[rank].state
        return (
            state is not None
            and state.learned
            and state.prepared == change.version
            and state.prepared_digest == change.digest
        )

    def _state(self, rank: int) -> EngineState:
        """Return a rank's state, which must be known."""
        state = self._views[rank].state
        assert state is not None
        return state
