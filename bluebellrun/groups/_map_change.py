"""The coordinator's side of a map change: prepare, hold, commit by compare-and-swap, activate.

All decisions follow from the stored record and the ranks' states, so a coordinator that takes
over at any point continues from there. The driver performs the effects and reports the results.
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

MAX_MARGIN_STEPS = 4_096


@dataclass(frozen=True, slots=True)
class MapChangeSettings:
    """Timeouts in seconds; a rank that answered is polled again after ``poll_interval_s``.

    ``step_margin`` is how many steps ahead a map is activated at first.

    The margin should cover the time that orders need to reach all ranks; it doubles otherwise.
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
    """The last known state of a rank and the order in flight to it."""

    state: EngineState | None = None
    sent: MapOrder | None = None
    sent_at: float = 0.0
    answered: bool = False
    failed: bool = False


class MapCoordinator:
    """Drives the map changes of one group under one fencing number."""

    def __init__(self, fencing: int, ranks: int, settings: MapChangeSettings) -> None:
        self._fencing = fencing
        self._settings = settings
        self._views = [_RankView() for _ in range(ranks)]
        self._record: GroupRecord | None = None
        self._revision = 0
        self._store_busy = False
        self._requested_digest: str | None = None
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
        """Return whether the record is ours and no change is requested or in progress."""
        return (
            self._record is not None
            and self._record.fencing == self._fencing
            and self._record.change is None
            and self._requested_digest is None
            and not self._store_busy
        )

    def request(self, digest: str) -> None:
        """Request a change to the map with a digest once no change is in progress."""
        self._requested_digest = digest

    def decide(self, now: float) -> list[Effect]:
        """Return the effects to perform now."""
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
        """Handle a record that was read."""
        self._store_busy = False
        if revision >= self._revision:
            self._accept_record(record, revision)

    def on_read_failed(self) -> None:
        """Handle a failed read of the record."""
        self._store_busy = False

    def on_write(self, written: GroupRecord, succeeded: bool | None, revision: int = 0) -> None:
        """Handle the outcome of a write; none if its response was lost.

        A lost write may still arrive later, which is safe: all writes that compare with one
        revision are valid at that revision, and only one of them succeeds.
        """
        self._store_busy = False
        if succeeded:
            self._accept_record(written, revision)
        else:
            self._record = None

    def on_state(self, rank: int, state: EngineState) -> None:
        """Handle a rank's state, as reported in response to an order."""
        view = self._views[rank]
        view.state = state
        view.answered = True

    def on_refused(self, rank: int, transient: bool) -> None:
        """Handle a refusal by a rank's agent; read the record again unless it is transient."""
        self._views[rank].answered = True
        if not transient and not self._store_busy:
            self._record = None

    def on_failed(self, rank: int) -> None:
        """Handle an order that an engine could not perform, which aborts the change."""
        self._views[rank].failed = True

    def _accept_record(self, record: GroupRecord, revision: int) -> None:
        """Store a record; reset the state of the change if it has another one."""
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
            if change.digest == self._requested_digest:
                self._requested_digest = None
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
        """Return the next effects for a record that this coordinator owns."""
        change = record.change
        if change is None:
            if self._requested_digest is not None:
                return self._write(record.begun(self._requested_digest))
            return self._release(record, now)
        if self._change_seen is None or self._change_seen[0] != change.version:
            self._change_seen = (change.version, now)
        match change.phase:
            case ChangePhase.PREPARING:
                return self._prepare(record, change, now)
            case ChangePhase.COMMITTED:
                return self._activate(record, change, now)

    def _prepare(self, record: GroupRecord, change: MapChange, now: float) -> list[Effect]:
        """Prepare and hold all ranks; commit when all hold, abort on failure or timeout."""
        assert self._change_seen is not None
        timed_out = now - self._change_seen[1] > self._settings.prepare_timeout_s
        if timed_out or any(view.failed for view in self._views):
            return self._write(record.aborted())
        unprepared = [r for r in range(len(self._views)) if not self._is_prepared(r, change)]
        if unprepared:
            order = PrepareMap(change.version, change.digest)
            return self._send(unprepared, order, now)
        self._choose_hold(change)
        assert self._hold is not None
        hold = HoldStep(change.version, self._hold)
        not_holding = [r for r in range(len(self._views)) if self._state(r).hold != hold]
        epochs = {self._state(r).epoch for r in range(len(self._views))}
        if not_holding or len(epochs) > 1:
            return self._send(not_holding or list(range(len(self._views))), hold, now)
        return self._write(record.committed(self._hold))

    def _choose_hold(self, change: MapChange) -> None:
        """Choose the step to hold before; double the margin if a rank is already past it."""
        furthest = max(self._state(rank).step for rank in range(len(self._views)))
        if self._hold is None or furthest > self._hold:
            self._hold = furthest + self._margin
            self._margin = min(2 * self._margin, MAX_MARGIN_STEPS)

    def _activate(self, record: GroupRecord, change: MapChange, now: float) -> list[Effect]:
        """Activate the map on all ranks; finish when all use it.

        Until then the record keeps the first step of the map, for a rank that joins before it.
        """
        uninformed = [
            rank
            for rank, view in enumerate(self._views)
            if view.state is None or not view.state.knows(change.version)
        ]
        if uninformed:
            return self._send(uninformed, ActivateMap(change.version, change.step), now)
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
        """Release the holds of an aborted change, once; agents also detect it by themselves."""
        ranks, self._to_release = sorted(self._to_release), set()
        return [SendOrder(rank, ReleaseHold(record.latest)) for rank in ranks]

    def _send(self, ranks: list[int], order: MapOrder, now: float) -> list[Effect]:
        """Send an order to ranks; resend it after the poll interval or the order timeout."""
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
