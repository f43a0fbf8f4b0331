"""Decide which requests are kept from upstreams because their prompts may crash them.

A part of a prompt may crash each upstream that begins to answer a request with it. A crash accuses
the parts of the requests whose answers were just beginning, or if there are none, those of the
requests that waited for an answer; parts that were answered before are cleared. If none is left,
the crash accuses the whole prompts of the requests whose answers were beginning, by their digests,
which are judged like parts. A request that has all the parts that may explain a crash is not sent
again; one that has only some of them is sent alone, as a probe: either its answer begins and clears
them, or they crash another upstream.

An upstream that was killed leaves the same trace, so every quarantine ends with a probe.

Upstreams that fail together begin no answer from the crash of one of them until all are back. What
waits meanwhile at others that end too has had no part in it, so all crashes of one outage count as
one.
"""

from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass, field
from itertools import chain

from bluebellrun.quarantine._answered_parts import AnsweredParts
from bluebellrun.quarantine._decisions import Allowed, Decision, Pending, Probe, Quarantined
from bluebellrun.quarantine._models import CrashReport, QuarantineSettings, UpstreamIncarnation

# Crashes under one part from which on its requests are known to crash upstreams.
CONFIRMING_CRASHES = 2


@dataclass(slots=True)
class _Crash:
    """A crash as all entries reported it; the time in seconds."""

    service: str
    at: float
    # The number of the outage that the crash belongs to.
    outage: int
    beginning: set[str] = field(default_factory=set)
    waiting: set[str] = field(default_factory=set)
    cleared: set[str] = field(default_factory=set)
    prompts: set[str] = field(default_factory=set)
    is_explained: bool = True
    is_own: bool = False

    @property
    def accused(self) -> set[str]:
        """Return the parts that the crash accuses, also those that were cleared of it."""
        return self.beginning if self.beginning or self.prompts else self.waiting

    @property
    def told(self) -> set[str]:
        """Return all parts and prompts that were told of the crash."""
        return self.beginning | self.waiting | self.prompts

    @property
    def size(self) -> tuple[int, int]:
        """Return how many parts and prompts were told of the crash and cleared of it."""
        return len(self.beginning) + len(self.waiting) + len(self.prompts), len(self.cleared)

    @property
    def is_explained_by_parts(self) -> bool:
        """Return whether a part may have caused the crash."""
        return not self.accused <= self.cleared

    @property
    def candidates(self) -> set[str]:
        """Return the parts that may have caused the crash or, if none may, the whole prompts."""
        return self.accused - self.cleared or self.prompts - self.cleared


@dataclass(frozen=True, slots=True)
class _Suspect:
    """A suspected part: its crashes, the time of the last one, and whether answers were beginning.

    ``outages`` is the number of outages that its crashes belong to. ``alternatives`` are the parts,
    itself included, that explain all of its crashes.
    """

    outages: int
    last_at: float
    beginning: bool
    alternatives: frozenset[str]


@dataclass(frozen=True, slots=True)
class _PeerProbes:
    """The parts that another entry is probing, and when it was heard, in seconds."""

    parts: frozenset[str]
    at: float


class PromptQuarantine:
    """The crashes known to one entry, and the parts they accuse; times in seconds.

    ``fails_together`` tells whether the upstreams of a service fail together.
    """

    def __init__(
        self,
        settings: QuarantineSettings,
        fails_together: Callable[[str], bool] = lambda service: False,
    ) -> None:
        self._settings = settings
        self._fails_together = fails_together
        self._last_answer_at: dict[str, float] = {}
        self._outages = 0
        self._crashes: dict[UpstreamIncarnation, _Crash] = {}
        self._answered = AnsweredParts(settings.max_cleared_parts, settings.clearance_s)
        self._answered_prompts = AnsweredParts(settings.max_cleared_prompts, settings.clearance_s)
        self._suspects: dict[str, dict[str, _Suspect]] = {}
        self._probes: dict[str, float] = {}
        self._peer_probes: dict[str, _PeerProbes] = {}
        self._changed_at = float("-inf")

    @property
    def changed_at(self) -> float:
        """Return when crashes or their clearances changed last."""
        return self._changed_at

    @property
    def probes(self) -> list[str]:
        """Return the parts that this entry is probing."""
        return list(self._probes)

    def suspects(self, service: str) -> Collection[str]:
        """Return the suspected parts of a service."""
        return self._suspects.get(service, {}).keys()

    def suspect_count(self) -> int:
        """Return the number of suspected parts of all services."""
        return sum(map(len, self._suspects.values()))

    def decide(self, service: str, parts: Collection[str], now: float) -> Decision:
        """Return what is to be done with a request that has these parts.

        They are its prompt's parts without the last one, and the digest of the whole prompt.
        """
        suspects = self._suspects.get(service)
        if not suspects:
            return Allowed()
        accused = [part for part in parts if part in suspects]
        if not accused:
            return Allowed()
        for part in accused:
            suspect = suspects[part]
            if now - suspect.last_at < self._settings.settle_s:
                return Pending()
            remaining_s = self._quarantine_end(suspect) - now
            if remaining_s > 0 and suspect.alternatives.issubset(parts):
                return Quarantined(part, suspect.outages, remaining_s)
        if not self._probes.keys().isdisjoint(accused) or self._probed_by(accused, now):
            return Pending()
        return Probe(tuple(accused))

    def begin_probe(self, parts: Iterable[str], now: float) -> None:
        """Record that a request with suspected parts is sent."""
        self._probes.update(dict.fromkeys(parts, now))

    def end_probe(self, parts: Iterable[str]) -> None:
        """Record that a probe has ended, whatever its outcome."""
        for part in parts:
            self._probes.pop(part, None)

    def yields_probe(self, parts: Collection[str], entry: str, now: float) -> bool:
        """Return whether a probe of ``entry``, this one, gives way to that of another entry."""
        return any(other < entry for other in self._probed_by(parts, now))

    def apply_peer_probes(self, entry: str, parts: Sequence[str], now: float) -> None:
        """Record the parts that another entry is probing."""
        if parts:
            known = frozenset(parts[: self._settings.max_parts_per_crash])
            self._peer_probes[entry] = _PeerProbes(known, now)
        else:
            self._peer_probes.pop(entry, None)

    def record_answer(
        self, service: str, parts: Iterable[str], now: float, prompt: str = ""
    ) -> list[str]:
        """Record that an answer has begun; return the suspected parts that it clears.

        ``prompt`` is the digest of the whole prompt, empty for a request without one.
        """
        self._last_answer_at[service] = now
        suspects = self._suspects.get(service, {})
        cleared = []
        for part in parts:
            self._answered.record(service, part, now)
            if part in suspects:
                cleared.append(part)
        if prompt:
            self._answered_prompts.record(service, prompt, now)
            if any(prompt in crash.prompts - crash.cleared for crash in self._crashes.values()):
                cleared.append(prompt)
        if cleared:
            self._clear(service, cleared)
            self._update(now)
        return cleared

    def record_crash(
        self,
        service: str,
        upstream: UpstreamIncarnation,
        parts: Collection[str],
        beginning: bool,
        now: float,
        prompt: str = "",
    ) -> bool:
        """Record that an upstream ended while it had a request without any content of its answer.

        ``beginning`` tells whether the answer's head had arrived, and ``prompt`` is the digest of
        the whole prompt. Return whether the crash accuses the request.
        """
        crash = self._crash(service, upstream, now)
        crash.is_own = True
        self._accuse(crash, crash.beginning if beginning else crash.waiting, parts)
        if beginning and prompt:
            self._accuse_prompts(crash, [prompt])
        self._update(now)
        return not crash.candidates.isdisjoint((*parts, prompt))

    def apply(self, report: CrashReport, now: float) -> bool:
        """Apply another entry's report; return whether it tells anything new."""
        accused = report.beginning or report.waiting or report.prompts
        if report.age_s > self._settings.retention_s or not accused:
            return False
        crash = self._crash(report.service, report.incarnation, now - max(0.0, report.age_s))
        before = crash.size
        self._accuse(crash, crash.beginning, report.beginning)
        self._accuse(crash, crash.waiting, report.waiting)
        self._accuse_prompts(crash, report.prompts)
        crash.cleared.update(crash.told.intersection(report.cleared))
        is_news = before != crash.size
        if is_news:
            self._update(now)
        return is_news

    def reports(self, now: float) -> list[CrashReport]:
        """Return what this entry knows of all crashes, for the other entries."""
        return [
            _report(upstream, crash, round(now - crash.at, 3))
            for upstream, crash in self._crashes.items()
        ]

    def own_reports(self) -> list[CrashReport]:
        """Return the reports of the crashes that this entry saw itself, without their age."""
        return [
            _report(upstream, crash, 0.0)
            for upstream, crash in self._crashes.items()
            if crash.is_own
        ]

    def expire(self, now: float) -> None:
        """Forget what is too old."""
        settings = self._settings
        self._answered.expire(now)
        self._answered_prompts.expire(now)
        for crash in self._crashes.values():
            if crash.is_explained and now - crash.at > settings.settle_s:
                self._review(crash)
        for part in [part for part, at in self._probes.items() if now - at > settings.probe_s]:
            del self._probes[part]
        for entry in [
            e for e, heard in self._peer_probes.items() if not self._is_recent(heard, now)
        ]:
            del self._peer_probes[entry]
        old = [key for key, crash in self._crashes.items() if now - crash.at > settings.retention_s]
        for key in old:
            del self._crashes[key]
        if old:
            self._index()

    def _crash(self, service: str, upstream: UpstreamIncarnation, at: float) -> _Crash:
        """Return the record of a crash, created on its first report."""
        crash = self._crashes.get(upstream)
        if crash is None:
            crash = _Crash(service, at, self._outage_of(service, at))
            self._crashes[upstream] = crash
            if len(self._crashes) > self._settings.max_crashes:
                del self._crashes[min(self._crashes, key=lambda key: self._crashes[key].at)]
        return crash

    def _outage_of(self, service: str, at: float) -> int:
        """Return the number of the outage to which a crash belongs: a known one, or a new one."""
        if self._fails_together(service):
            known = [crash for crash in self._crashes.values() if crash.service == service]
            nearest = min(known, key=lambda crash: abs(crash.at - at), default=None)
            if nearest is not None and not self._is_independent(nearest, at):
                return nearest.outage
        self._outages += 1
        return self._outages

    def _is_independent(self, before: _Crash, at: float) -> bool:
        """Return whether the service had recovered from one crash before another."""
        settings = self._settings
        if abs(at - before.at) <= settings.settle_s:
            return False
        last_answer_at = self._last_answer_at.get(before.service, float("-inf"))
        answered = before.at + settings.settle_s < last_answer_at <= at
        return answered or abs(at - before.at) > settings.max_outage_s

    def _accuse(self, crash: _Crash, accused: set[str], parts: Iterable[str]) -> None:
        """Add parts to those that a crash accuses while there is room, unanswered ones first."""
        new = [part for part in dict.fromkeys(parts) if part not in accused]
        answered = {part for part in new if self._answered.includes(crash.service, part)}
        new.sort(key=answered.__contains__)
        accused.update(new[: self._settings.max_parts_per_crash - len(accused)])
        crash.cleared.update(answered & accused)

    def _clear(self, service: str, parts: Iterable[str]) -> None:
        """Clear parts of all crashes of a service so far."""
        cleared = set(parts)
        for crash in self._crashes.values():
            if crash.service == service:
                crash.cleared |= cleared & crash.told

    def _accuse_prompts(self, crash: _Crash, prompts: Iterable[str]) -> None:
        """Add whole prompts to those that a crash accuses while there is room."""
        for prompt in prompts:
            if len(crash.prompts) < self._settings.max_parts_per_crash:
                crash.prompts.add(prompt)
            if prompt in crash.prompts and self._answered_prompts.includes(crash.service, prompt):
                crash.cleared.add(prompt)

    def _review(self, crash: _Crash) -> None:
        """Doubt the clearances of parts that a crash leaves unexplained.

        A part that was answered may crash upstreams later, as with another version of a model.
        That is likely if no prompt explains the crash, or if crashes under different prompts have
        the part in common.
        """
        if not crash.candidates:
            self._doubt_clearances(crash, crash.accused)
        elif not crash.is_explained_by_parts:
            for other in self._crashes.values():
                if self._has_other_prompts(crash, other) and not crash.accused.isdisjoint(
                    other.accused
                ):
                    self._doubt_clearances(crash, crash.accused & other.accused)

    @staticmethod
    def _has_other_prompts(crash: _Crash, other: _Crash) -> bool:
        """Return whether two crashes of a service are explained by different prompts alone."""
        return (
            other.service == crash.service
            and not other.is_explained_by_parts
            and bool(other.prompts)
            and other.prompts.isdisjoint(crash.prompts)
        )

    def _doubt_clearances(self, crash: _Crash, parts: Iterable[str]) -> None:
        """Let the next crash accuse parts that were cleared of one that nothing else explains."""
        crash.is_explained = False
        for part in parts:
            self._answered.forget(crash.service, part)

    def _quarantine_end(self, suspect: _Suspect) -> float:
        """Return when a suspected part may be probed."""
        settings, crashes = self._settings, suspect.outages
        if crashes < CONFIRMING_CRASHES:
            return suspect.last_at + (settings.first_s if suspect.beginning else 0.0)
        duration_s = settings.repeated_s * 2.0 ** (crashes - CONFIRMING_CRASHES)
        return suspect.last_at + min(settings.max_s, duration_s)

    def _probed_by(self, parts: Collection[str], now: float) -> list[str]:
        """Return the other entries that have lately reported a probe of one of the parts."""
        return [
            entry
            for entry, heard in self._peer_probes.items()
            if self._is_recent(heard, now) and not heard.parts.isdisjoint(parts)
        ]

    def _is_recent(self, heard: _PeerProbes, now: float) -> bool:
        """Return whether another entry's probes were heard of lately."""
        return now - heard.at <= self._settings.settle_s

    def _update(self, now: float) -> None:
        """Note a change and derive the suspects from it."""
        self._changed_at = now
        self._index()

    def _index(self) -> None:
        """Derive the suspected parts of each service from the crashes."""
        accusing: dict[str, dict[str, set[UpstreamIncarnation]]] = {}
        for upstream, crash in self._crashes.items():
            for part in crash.candidates:
                accusing.setdefault(crash.service, {}).setdefault(part, set()).add(upstream)
        self._suspects = {
            service: self._suspects_of(by_part) for service, by_part in accusing.items()
        }

    def _suspects_of(self, by_part: dict[str, set[UpstreamIncarnation]]) -> dict[str, _Suspect]:
        """Return the suspects of a service, by the crashes that accuse each part.

        Parts that the same crashes accuse share one suspect, as there may be many.
        """
        groups: dict[frozenset[UpstreamIncarnation], list[str]] = {}
        for part, accused_by in by_part.items():
            groups.setdefault(frozenset(accused_by), []).append(part)
        suspects: dict[str, _Suspect] = {}
        for crashes, parts in groups.items():
            explaining = (other for key, other in groups.items() if key >= crashes)
            alternatives = frozenset(chain.from_iterable(explaining))
            suspects.update(dict.fromkeys(parts, self._suspect(crashes, alternatives)))
        return suspects

    def _suspect(
        self, crashes: frozenset[UpstreamIncarnation], alternatives: frozenset[str]
    ) -> _Suspect:
        """Return what crashes tell of the parts that all of them accuse."""
        records = [self._crashes[upstream] for upstream in crashes]
        return _Suspect(
            len({record.outage for record in records}),
            max(record.at for record in records),
            any(record.beginning for record in records),
            alternatives,
        )


def _report(upstream: UpstreamIncarnation, crash: _Crash, age_s: float) -> CrashReport:
    """Return the report of a crash."""
    return CrashReport(
        crash.service,
        *upstream,
        age_s,
        sorted(crash.beginning),
        sorted(crash.waiting),
        sorted(crash.cleared),
        sorted(crash.prompts),
    )
