"""A change of the expert map that no step of the group sees half done. Pure.

All ranks prepare the map. Then one rank holds a pass that lies ahead, all ranks are armed to
switch at that pass, and the hold is released once every rank says that it is armed. Nothing of
this is undone once a rank may be armed: the change goes on until all are, whoever drives it.
What has to be known for that is read from the ranks, so nothing is stored.
"""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from math import ceil

from bluebellrun.placement._maps import Placement


@dataclass(frozen=True, slots=True)
class RankState:
    """What a rank says of itself.

    ``step`` is the last pass that was begun. ``armed`` is the pass at which it switches to the
    prepared map and ``held`` the pass that the group does not begin, none where there is none.
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
    """Let a rank refuse whoever acts under an older fencing number."""


@dataclass(frozen=True, slots=True)
class PrepareMap:
    """Copy the experts that a map needs beside those in use."""

    version: int
    placement: Placement


@dataclass(frozen=True, slots=True)
class HoldPass:
    """Do not begin a pass before it is released."""

    step: int


@dataclass(frozen=True, slots=True)
class ArmMap:
    """Switch to a prepared map as a pass begins."""

    version: int
    step: int


@dataclass(frozen=True, slots=True)
class ReleasePass:
    """Release a pass that is held."""

    step: int


RankOrder = ClaimRank | PrepareMap | HoldPass | ArmMap | ReleasePass


@dataclass(frozen=True, slots=True)
class ChangeSettings:
    """Times in seconds; ``margin_steps`` is how far ahead of the current pass a map is armed.

    Orders reach a rank within a few milliseconds, a pass lasts some dozens of them.
    """

    prepare_timeout_s: float = 4.0
    resend_s: float = 0.04
    margin_steps: int = 2
    max_margin_steps: int = 64


@dataclass(frozen=True, slots=True)
class MarginSettings:
    """How far ahead of the current pass a map is armed; times in seconds.

    Until a group's ranks have been armed once that is taken to last ``arm_s_per_rank`` for each,
    and a pass ``typical_step_s``. Where it lasts longer than ``max_arm_s`` a host is out of
    reach, which more passes would not mend.
    """

    arm_s_per_rank: float = 0.0015
    max_arm_s: float = 0.6
    typical_step_s: float = 0.05
    min_steps: int = 2


def margin_steps(
    ranks: int, arm_s: float | None, step_s: float | None, settings: MarginSettings
) -> int:
    """Return the passes by which all ranks should be armed, so that none has to wait for it.

    ``arm_s`` is how long that took last, from the first order to hold a pass on, and ``step_s``
    how long a pass takes, in seconds; none where that is not known. One pass has begun already.
    """
    takes_s = ranks * settings.arm_s_per_rank if arm_s is None else arm_s
    passes = min(takes_s, settings.max_arm_s) / (step_s or settings.typical_step_s)
    return max(settings.min_steps, 1 + ceil(passes))


@dataclass(frozen=True, slots=True)
class ChangeDurations:
    """How long the parts of a change lasted, in seconds.

    Ranks copy for ``prepare_s``, are armed for ``arm_s`` and switch within ``switch_s``.
    """

    prepare_s: float
    arm_s: float
    switch_s: float


class PlacementChange:
    """One change to a map, driven by what the ranks say.

    Without a placement it is one that another process began, and for which ranks are armed.
    """

    def __init__(
        self, version: int, placement: Placement | None, settings: ChangeSettings, now: float
    ) -> None:
        self._version = version
        self._placement = placement
        self._settings = settings
        self._began = now
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
        """Return whether the change was given up before any rank could be armed."""
        return self._failed

    def durations(self, now: float) -> ChangeDurations:
        """Return how long the parts of the change lasted, as far as it has come."""
        prepared_at = now if self._prepared_at is None else self._prepared_at
        armed_at = now if self._armed_at is None else self._armed_at
        return ChangeDurations(prepared_at - self._began, armed_at - prepared_at, now - armed_at)

    def resume_armed(self, step: int) -> None:
        """Go on with a change that another process has begun to arm."""
        self._step = step
        self._prepared_at = self._began

    def fail(self) -> None:
        """Give the change up if no rank can be armed yet."""
        if self._step is None:
            self._failed = True

    def ranks_to_read(self, states: Mapping[int, RankState]) -> list[int]:
        """Return the ranks whose states the next decision depends on.

        What ranks accept is known from their replies. Besides, it takes the group's step, which
        the rank that holds a pass tells, and at the end whether each rank uses the map.
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
                # Passes went on while ranks copied: which one to hold is decided on a new reading.
                self._prepared_at = now
                return []
        return self._switch(states, now)

    def state_after(self, state: RankState, order: RankOrder, done: bool = False) -> RankState:
        """Return a rank's state after it accepted an order; ``done`` if it has copied its part."""
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
        """Have ranks copy what they need, or give up after a time."""
        if self._placement is None or now - self._began > self._settings.prepare_timeout_s:
            self._failed = True
            return []
        return self._send(ranks, PrepareMap(self._version, self._placement), now, 5)

    def _switch(self, states: Mapping[int, RankState], now: float) -> list[tuple[int, RankOrder]]:
        """Hold a pass, arm all ranks for it, release it."""
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
        stray = states[holder].held
        if stray is not None and stray != self._step:
            # A rank holds one pass at a time; this one is left over from an order that came late.
            return self._send([holder], ReleasePass(stray), now, 1)
        if states[holder].held != self._step:
            if armed:
                return self._send(unarmed, ArmMap(self._version, self._step), now, 1)
            return self._send([holder], HoldPass(self._step), now, 1)
        return self._send(unarmed, ArmMap(self._version, self._step), now, 1)

    def _is_armed(self, state: RankState) -> bool:
        """Return whether a rank is armed for this map."""
        return state.armed_version == self._version

    def _send(
        self, ranks: list[int], order: RankOrder, now: float, patience: int
    ) -> list[tuple[int, RankOrder]]:
        """Return an order for ranks that were not sent it a moment ago."""
        orders: list[tuple[int, RankOrder]] = []
        for rank in ranks:
            sent_at = self._sent.get((rank, order))
            if sent_at is not None and now - sent_at < patience * self._settings.resend_s:
                continue
            self._sent[rank, order] = now
            orders.append((rank, order))
        return orders


def release_held_passes(states: Mapping[int, RankState]) -> list[tuple[int, RankOrder]]:
    """Return the orders that release every pass that is held."""
    return [
        (rank, ReleasePass(state.held)) for rank, state in states.items() if state.held is not None
    ]
