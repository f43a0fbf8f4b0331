"""An atomic change of the expert map: all ranks switch at the same pass. Pure.

All ranks prepare the map. Then one rank holds a future pass, all ranks are armed to switch at
that pass, and the hold is released once every rank reports that it is armed. Once a rank may be
armed the change is never rolled back: any driver continues it until all ranks are armed. The
state that this needs is read from the ranks, so nothing is stored.
"""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from math import ceil

from bluebellrun.placement._maps import Placement


@dataclass(frozen=True, slots=True)
class RankState:
    """The state that a rank reports.

    ``step`` is the last pass that has begun. ``armed_step`` is the pass at which the rank
    switches to the map ``armed_version``, and ``held`` the pass that must not begin.
    """

    rank: int
    size: int
    group: str
    epoch: int
    born: int
    is_open: bool
    step: int
    active: int
    prepared: int | None = None
    armed_version: int | None = None
    armed_step: int | None = None
    held: int | None = None
    slowness: float = 1.0


@dataclass(frozen=True, slots=True)
class ClaimRank:
    """Make a rank refuse orders with an older fencing number."""


@dataclass(frozen=True, slots=True)
class PrepareMap:
    """Load the experts that a map needs, in addition to those in use."""

    version: int
    placement: Placement


@dataclass(frozen=True, slots=True)
class HoldPass:
    """Do not begin a pass before it is released."""

    step: int


@dataclass(frozen=True, slots=True)
class ArmMap:
    """Switch to a prepared map at the start of a pass."""

    version: int
    step: int


@dataclass(frozen=True, slots=True)
class ReleasePass:
    """Release a held pass."""

    step: int


RankOrder = ClaimRank | PrepareMap | HoldPass | ArmMap | ReleasePass


@dataclass(frozen=True, slots=True)
class ChangeSettings:
    """Times in seconds; ``margin_steps`` is how far ahead of the current pass a map is armed.

    Orders reach a rank within a few milliseconds, a pass takes some dozens.
    """

    prepare_timeout_s: float = 4.0
    resend_s: float = 0.04
    margin_steps: int = 2
    max_margin_steps: int = 64


@dataclass(frozen=True, slots=True)
class MarginSettings:
    """How far ahead of the current pass a map is armed; times in seconds.

    Until it has been measured, arming is assumed to take ``arm_s_per_rank`` for each rank, and a
    pass ``typical_step_s``. Arming that takes longer than ``max_arm_s`` means that a host is
    unreachable, which a larger margin would not solve.
    """

    arm_s_per_rank: float = 0.0015
    max_arm_s: float = 0.6
    typical_step_s: float = 0.05
    min_steps: int = 2


def margin_steps(
    ranks: int, arm_s: float | None, step_s: float | None, settings: MarginSettings
) -> int:
    """Return how many passes ahead to arm a map, so that no pass waits for the orders.

    ``arm_s`` is the duration of the last arming, from the first order to hold a pass, and
    ``step_s`` that of a pass, in seconds; none if unknown. One pass has begun already.
    """
    expected_arm_s = ranks * settings.arm_s_per_rank if arm_s is None else arm_s
    passes = min(expected_arm_s, settings.max_arm_s) / (step_s or settings.typical_step_s)
    return max(settings.min_steps, 1 + ceil(passes))


@dataclass(frozen=True, slots=True)
class ChangeDurations:
    """Durations of the phases of a change, in seconds.

    Ranks copy weights in ``prepare_s``, are armed in ``arm_s`` and switch in ``switch_s``.
    """

    prepare_s: float
    arm_s: float
    switch_s: float


class PlacementChange:
    """One change to a map, driven by the reported states of the ranks.

    Without a placement, it continues a change of another process for which ranks are armed.
    """

    def __init__(
        self, version: int, placement: Placement | None, settings: ChangeSettings, now: float
    ) -> None:
        self._version = version
        self._placement = placement
        self._settings = settings
        self._started_at = now
        self._margin = settings.margin_steps
        self._step: int | None = None
        self._sent: dict[tuple[int, RankOrder], float] = {}
        self._done = False
        self._failed = False
        self._prepared_at: float | None = None
        self._armed_at: float | None = None

    @property
    def version(self) -> int:
        """Return the version of the map."""
        return self._version

    @property
    def placement(self) -> Placement | None:
        """Return the placement of the map, none for a change that another process began."""
        return self._placement

    @property
    def done(self) -> bool:
        """Return whether all ranks use the map."""
        return self._done

    @property
    def failed(self) -> bool:
        """Return whether the change was abandoned before any rank could be armed."""
        return self._failed

    def durations(self, now: float) -> ChangeDurations:
        """Return the durations of the phases so far."""
        prepared_at = now if self._prepared_at is None else self._prepared_at
        armed_at = now if self._armed_at is None else self._armed_at
        return ChangeDurations(
            prepared_at - self._started_at, armed_at - prepared_at, now - armed_at
        )

    def resume_armed(self, step: int) -> None:
        """Continue a change that another process has begun to arm."""
        self._step = step
        self._prepared_at = self._started_at

    def fail(self) -> None:
        """Abandon the change unless a rank may be armed already."""
        if self._step is None:
            self._failed = True

    def ranks_to_read(self, states: Mapping[int, RankState]) -> list[int]:
        """Return the ranks whose states the next decision depends on.

        Accepted orders are known from the replies. Also needed are the group's step, reported by
        the rank that holds a pass, and at the end whether each rank uses the map.
        """
        if self._step is None:
            unprepared = [r for r, state in states.items() if state.prepared != self._version]
            return unprepared or [min(states)]
        waiting = [rank for rank, state in states.items() if state.active != self._version]
        if all(self._is_armed(states[rank]) for rank in waiting):
            return waiting
        return [min(states)]

    def decide(self, states: Mapping[int, RankState], now: float) -> list[tuple[int, RankOrder]]:
        """Return the orders to send now; ``states`` are those of all ranks, in one epoch."""
        if all(state.active == self._version for state in states.values()):
            self._done = True
            return release_held_passes(states)
        if self._step is None:
            unprepared = [r for r, state in states.items() if state.prepared != self._version]
            if unprepared:
                return self._prepare(unprepared, now)
            if self._prepared_at is None:
                # Passes continued while ranks copied: choose the one to hold from a new reading.
                self._prepared_at = now
                return []
        return self._switch(states, now)

    def state_after(self, state: RankState, order: RankOrder, done: bool = False) -> RankState:
        """Return a rank's state after it accepted an order; ``done`` if its copies are complete."""
        match order:
            case PrepareMap(version) if done:
                return replace(state, prepared=version)
            case HoldPass(step):
                return replace(state, held=step)
            case ArmMap(version, step):
                return replace(state, armed_version=version, armed_step=step)
            case ReleasePass():
                return replace(state, held=None)
            case _:
                return state

    def _prepare(self, ranks: list[int], now: float) -> list[tuple[int, RankOrder]]:
        """Make ranks load what they need, or fail after the timeout."""
        if self._placement is None or now - self._started_at > self._settings.prepare_timeout_s:
            self._failed = True
            return []
        return self._send(ranks, PrepareMap(self._version, self._placement), now, 5)

    def _switch(self, states: Mapping[int, RankState], now: float) -> list[tuple[int, RankOrder]]:
        """Hold a pass, arm all ranks for it and release it."""
        armed = {state.armed_step for state in states.values() if self._is_armed(state)}
        armed.discard(None)
        furthest = max(state.step for state in states.values())
        if self._step is None or (not armed and furthest >= self._step):
            self._step = furthest + self._margin
            self._margin = min(2 * self._margin, self._settings.max_margin_steps)
        holder = min(states)
        unarmed = [
            rank
            for rank, state in states.items()
            if not (self._is_armed(state) and state.armed_step == self._step)
            and state.active != self._version
        ]
        if not unarmed:
            if self._armed_at is None:
                self._armed_at = now
            return release_held_passes(states)
        stale_hold = states[holder].held
        if stale_hold is not None and stale_hold != self._step:
            # A rank holds one pass at a time; this hold comes from a delayed order.
            return self._send([holder], ReleasePass(stale_hold), now, 1)
        if states[holder].held != self._step:
            if armed:
                return self._send(unarmed, ArmMap(self._version, self._step), now, 1)
            return self._send([holder], HoldPass(self._step), now, 1)
        return self._send(unarmed, ArmMap(self._version, self._step), now, 1)

    def _is_armed(self, state: RankState) -> bool:
        """Return whether a rank is armed for this map."""
        return state.armed_version == self._version

    def _send(
        self, ranks: list[int], order: RankOrder, now: float, resend_factor: int
    ) -> list[tuple[int, RankOrder]]:
        """Return an order for the ranks to which it was not sent recently."""
        orders: list[tuple[int, RankOrder]] = []
        for rank in ranks:
            sent_at = self._sent.get((rank, order))
            if sent_at is not None and now - sent_at < resend_factor * self._settings.resend_s:
                continue
            self._sent[rank, order] = now
            orders.append((rank, order))
        return orders


def release_held_passes(states: Mapping[int, RankState]) -> list[tuple[int, RankOrder]]:
    """Return the orders that release every held pass."""
    return [
        (rank, ReleasePass(state.held)) for rank, state in states.items() if state.held is not None
    ]
