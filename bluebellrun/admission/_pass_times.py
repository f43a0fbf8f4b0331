"""Find how many slots may be used so that streams stay within their longest pause. Pure.

All ranks of a group make their passes together, so the pauses of any stream give the time of a
pass. It has a fixed part, a part for prompts that are read now and then, and one that grows with
the requests being answered. The bound is computed from the latest passes and the load at which they
were seen, not adjusted in steps: all entries see the same passes and the same load, and as many
steps at once would overshoot.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from bluebellrun.admission._request_costs import reading_s
from bluebellrun.deployment import EngineTerms


@dataclass(frozen=True, slots=True)
class PassTimeSettings:
    """Times in seconds; fractions of all slots unless said otherwise.

    Pauses are collected for ``window_s``, at least ``min_pauses``, at most ``max_window_s``; their
    ``quantile`` counts. The slowest pass of the last ``retention_s``, about the life of a stream,
    sets the bound, unless the latest ``drop_windows`` all allow ``drop_factor`` times as many
    slots: then the expert map or the demand has changed, and older ones no longer count. Passes
    should take ``target_fraction`` of the longest pause, since load reports are some tenths of a
    second old.

    Pauses over ``outage_factor`` times the longest count as load only if they recur, and those over
    ``max_factor`` times never do: they come from an outage. At least ``min_fraction`` is used.
    Without observations the work is assumed to be as uneven as with an unfit expert map
    (``start_imbalance``), with ``start_prompts`` prompts read in a pass. A bound that moved by
    ``report_step`` is reported.
    """

    window_s: float = 0.1
    max_window_s: float = 1.0
    min_pauses: int = 3
    quantile: float = 0.75
    retention_s: float = 2.0
    drop_windows: int = 4
    drop_factor: float = 1.3
    target_fraction: float = 0.92
    outage_factor: float = 2.0
    max_factor: float = 8.0
    min_fraction: float = 0.1
    start_imbalance: float = 3.0
    start_prompts: float = 2.0
    report_step: float = 0.05


@dataclass(frozen=True, slots=True)
class _Pass:
    """Passes of one window: how long they took, and the load when they began."""

    at: float
    pass_s: float
    load: float


@dataclass(slots=True)
class _GroupPasses:
    """The latest passes of one group and the pauses of the window that is open."""

    pauses: list[float] = field(default_factory=list)
    opened: float = 0.0
    load: float = 0.0
    long_since: float | None = None
    passes: deque[_Pass] = field(default_factory=deque)


class PassTimeControl:
    """Track the passes of a service's groups, each by its name; times in seconds."""

    def __init__(self, settings: PassTimeSettings, engine: EngineTerms) -> None:
        self._settings = settings
        self._fixed_s = engine.stride * engine.step_s
        self._prompt_s = reading_s(engine.usual_prompt_tokens, engine)
        self._start = self._start_pass(engine)
        self._groups: dict[str, _GroupPasses] = {}
        self._reported = 1.0

    def observe(
        self,
        pause_s: float,
        max_pause_s: float,
        load: Callable[[], float],
        now: float,
        group: str = "",
    ) -> float | None:
        """Record a pause between two events of a stream.

        ``load`` returns the fraction of slots taken; it is called once per window. Return the
        fraction that may be taken if it has moved enough to report, else none.
        """
        settings = self._settings
        if pause_s > settings.max_factor * max_pause_s:
            return None
        state = self._groups.setdefault(group, _GroupPasses())
        age_s = now - state.opened
        if state.pauses and age_s > settings.max_window_s:
            # A lone stream, or none for a while: these pauses say nothing about the present.
            state.pauses.clear()
        is_full = age_s >= settings.window_s and len(state.pauses) >= settings.min_pauses
        if is_full:
            self._close_window(state, max_pause_s)
        if not state.pauses:
            state.opened, state.load = now, load()
        state.pauses.append(pause_s)
        return self._if_changed(self.slot_fraction(max_pause_s, now)) if is_full else None

    def is_observed(self, now: float) -> bool:
        """Return whether passes were seen lately."""
        return bool(self._active(now))

    def slot_fraction(self, max_pause_s: float, now: float) -> float:
        """Return the fraction of the slots that may be taken, over all groups; 1 is no bound."""
        active = self._active(now)
        if not active:
            return self._allowed(self._start, max_pause_s)
        fractions = [self._group_fraction(state, max_pause_s) for state in active]
        return sum(fractions) / len(fractions)

    def pass_s(self, now: float) -> float:
        """Return the time that passes lately took, or are assumed to take."""
        latest = [state.passes[-1] for state in self._active(now)] or [self._start]
        return sum(item.pass_s for item in latest) / len(latest)

    def retain(self, groups: set[str]) -> None:
        """Forget groups that no longer exist."""
        for name in self._groups.keys() - groups:
            del self._groups[name]

    def _close_window(self, state: _GroupPasses, max_pause_s: float) -> None:
        """Record the passes of the window that was open."""
        pauses = sorted(state.pauses)
        pass_s = pauses[int(self._settings.quantile * (len(pauses) - 1))]
        state.pauses.clear()
        if pass_s <= self._settings.outage_factor * max_pause_s:
            state.long_since = None
        elif state.long_since is None:
            # All streams resume at once after an outage: this may be the end of one.
            state.long_since = state.opened
            return
        state.passes.append(_Pass(state.opened, pass_s, state.load))
        self._end_slow_phase(state, max_pause_s)

    def _active(self, now: float) -> list[_GroupPasses]:
        """Return the groups with passes that still count; the slots of the others are not used."""
        for state in self._groups.values():
            while state.passes and now - state.passes[0].at > self._settings.retention_s:
                state.passes.popleft()
        return [state for state in self._groups.values() if state.passes]

    def _group_fraction(self, state: _GroupPasses, max_pause_s: float) -> float:
        """Return the fraction of a group's slots that may be taken."""
        return min(self._allowed(item, max_pause_s) for item in state.passes)

    def _end_slow_phase(self, state: _GroupPasses, max_pause_s: float) -> None:
        """Forget the passes of a slow phase once the latest ones are clearly faster."""
        windows = self._settings.drop_windows
        if len(state.passes) <= windows:
            return
        allowed = [self._allowed(item, max_pause_s) for item in state.passes]
        if min(allowed[-windows:]) >= self._settings.drop_factor * min(allowed):
            while len(state.passes) > windows:
                state.passes.popleft()

    def _allowed(self, item: _Pass, max_pause_s: float) -> float:
        """Return the fraction of slots at which passes would just be short enough.

        Part of what a pass takes beyond its fixed part is for prompts. It does not depend on the
        load; half of it at most, so that a higher load is always assumed to take longer. Where even
        an empty pass is too long, fewer requests would help nobody.
        """
        settings = self._settings
        growth_s = item.pass_s - self._fixed_s
        available_s = settings.target_fraction * max_pause_s - self._fixed_s
        if growth_s <= 0.0 or available_s <= 0.0:
            return 1.0
        reading_s = min(growth_s / 2, available_s / 2, settings.start_prompts * self._prompt_s)
        growth = (growth_s - reading_s) / max(item.load, settings.min_fraction)
        return min(1.0, max(settings.min_fraction, (available_s - reading_s) / growth))

    def _start_pass(self, engine: EngineTerms) -> _Pass:
        """Return the pass that is assumed with all slots taken and an unfit expert map."""
        share = 0.0 if engine.experts is None else engine.experts.share
        uneven = 1.0 - share + share * self._settings.start_imbalance
        writing_s = engine.stride * engine.slots * engine.writer_s
        reading_s = self._settings.start_prompts * self._prompt_s
        return _Pass(0.0, self._fixed_s + uneven * (writing_s + reading_s), 1.0)

    def _if_changed(self, fraction: float) -> float | None:
        """Return the fraction if it has moved enough since the last report, else none."""
        if abs(fraction - self._reported) < self._settings.report_step and (
            fraction < 1.0 or self._reported == 1.0
        ):
            return None
        self._reported = fraction
        return fraction
