"""Route to the sampled upstream where a request is expected to finish first.

A request whose prompt prefix is known goes to the prefix's home unless that is more loaded than
the mean allows. All else is offered to the best of a few upstreams: some of the entry's own failure
domain and some of the rest, so that work spills over by load.
"""

from collections.abc import Sequence
from random import Random

import xxhash

from bluebellrun.routing._ejection import OutlierEjection
from bluebellrun.routing._load_estimates import LoadEstimator, mean_occupied, step_s
from bluebellrun.routing._models import Candidate, RoutedWork
from bluebellrun.routing._prefixes import PrefixMap
from bluebellrun.routing._straggler import StragglerDetector

SUBSET_SIZE = 48
NEAR_SAMPLES = 2
FAR_SAMPLES = 2
OTHER_DOMAIN_S = 0.004
OTHER_REGION_S = 0.1
ASSUMED_TOKENS = 32
HOME_LOAD_FACTOR = 1.2
HOME_SLACK = 1.0
REFUSAL_MEMORY_S = 0.25
NEVER = -1e9
CLEANUP_INTERVAL_S = 60.0
PROBE_INTERVAL_S = 2.0
MOST_URGENT_PROBE = 3


class ExpectedFinishRouting:
    """Expected finish over a stable subset, with affinity, ejection and slow start."""

    def __init__(self, random: Random, failure_domain: str = "") -> None:
        self._random = random
        self._failure_domain = failure_domain
        self._region = ""
        self._subset_seed = random.getrandbits(32)
        self._loads = LoadEstimator()
        self._detectors: dict[str, StragglerDetector] = {}
        self._outliers = OutlierEjection()
        self._prefixes = PrefixMap()
        self._refused: dict[tuple[str, int], float] = {}
        self._ejected: frozenset[str] = frozenset()
        self._cleaned_up = 0.0
        self._probed: dict[str, float] = {}

    @property
    def stragglers(self) -> frozenset[str]:
        """Return the upstreams whose steps are far slower than their own history."""
        found = (detector.stragglers for detector in self._detectors.values())
        return frozenset().union(*found)

    @property
    def ejected(self) -> frozenset[str]:
        """Return the upstreams that get no work for a while after failures."""
        return self._ejected

    def choose(
        self, work: RoutedWork, candidates: Sequence[Candidate], now: float
    ) -> Candidate | None:
        """Return the candidate to offer the request to, or none when there is none."""
        if not candidates:
            return None
        self._process_reports(work.service, candidates, now)
        usable = self._usable(work, self._subset(work.service, candidates), now)
        chosen = (
            self._straggler_to_probe(work, usable, now)
            or self._home(work, usable, now)
            or self._best_sampled(work, usable, now)
        )
        self._loads.record_sent(chosen.name, work.priority, now)
        self._prefixes.record(work.customer, work.prompt, chosen.name)
        return chosen

    def on_refused(self, name: str, priority: int, now: float) -> None:
        """Avoid an upstream for a moment for work no more urgent than what it refused."""
        self._refused[name, priority] = now

    def on_unreachable(self, name: str, now: float) -> None:
        """Count a failure against an upstream whose agent cannot be reached."""
        self._outliers.record_failure(name, now)

    def on_first_byte(self, name: str, seconds: float, now: float) -> None:
        """Record that an upstream answers."""
        self._outliers.record_success(name, now)

    def on_finished(self, name: str, seconds: float, failed: bool, now: float) -> None:
        """Record that a request ended."""
        if failed:
            self._outliers.record_failure(name, now)
        else:
            self._outliers.record_success(name, now)

    def _process_reports(self, service: str, candidates: Sequence[Candidate], now: float) -> None:
        """Process the candidates' load reports."""
        self._loads.register(candidates, now)
        detector = self._detectors.setdefault(service, StragglerDetector())
        for candidate in candidates:
            detector.observe(candidate.name, candidate.load.step_s, candidate.load.reported)
        if now - self._cleaned_up > CLEANUP_INTERVAL_S:
            self._cleaned_up = now
            self._forget_departed(now)

    def _forget_departed(self, now: float) -> None:
        """Forget departed upstreams, so that state stays bounded as upstreams are replaced."""
        names = self._loads.forget_departed(now)
        for detector in self._detectors.values():
            detector.retain(names)
        self._outliers.retain(names)
        self._probed = {name: at for name, at in self._probed.items() if name in names}
        self._refused = {key: at for key, at in self._refused.items() if key[0] in names}

    def _subset(self, service: str, candidates: Sequence[Candidate]) -> Sequence[Candidate]:
        """Return this entry's stable part of a large service."""
        if len(candidates) <= SUBSET_SIZE:
            return candidates
        seed = self._subset_seed
        ranked = sorted(
            candidates, key=lambda c: xxhash.xxh3_64_intdigest(c.name.encode(), seed=seed)
        )
        return ranked[:SUBSET_SIZE]

    def _usable(
        self, work: RoutedWork, candidates: Sequence[Candidate], now: float
    ) -> list[Candidate]:
        """Return the candidates that are not ejected, and not just refused where others exist."""
        self._ejected = self._outliers.ejected([c.name for c in candidates], now)
        healthy = [c for c in candidates if c.name not in self._ejected] or list(candidates)
        accepting = [c for c in healthy if not self._just_refused(c.name, work.priority, now)]
        return accepting or healthy

    def _just_refused(self, name: str, priority: int, now: float) -> bool:
        """Return whether an upstream just refused work at least as urgent."""
        recent = (self._refused.get((name, p), NEVER) for p in range(priority + 1))
        return now - max(recent) <= REFUSAL_MEMORY_S

    def _straggler_to_probe(
        self, work: RoutedWork, candidates: Sequence[Candidate], now: float
    ) -> Candidate | None:
        """Return a straggler that gets work now and then, or it would never be seen to recover."""
        if work.priority < MOST_URGENT_PROBE or len(candidates) == 1:
            return None
        for candidate in candidates:
            if candidate.name not in self.stragglers or candidate.in_flight:
                continue
            if now - self._probed.get(candidate.name, 0.0) > PROBE_INTERVAL_S:
                self._probed[candidate.name] = now
                return candidate
        return None

    def _home(
        self, work: RoutedWork, candidates: Sequence[Candidate], now: float
    ) -> Candidate | None:
        """Return the first home of the prompt's prefix that is not overloaded."""
        by_name = {candidate.name: candidate for candidate in candidates}
        homes = self._prefixes.homes(work.customer, work.prompt, list(by_name))
        if not homes:
            return None
        mean = mean_occupied(candidates, work.priority)
        max_occupied = HOME_LOAD_FACTOR * mean + HOME_SLACK
        for name in homes:
            candidate = by_name[name]
            occupied = self._loads.occupied(candidate, work.priority, mean, now)
            if name not in self.stragglers and occupied <= max_occupied * self._loads.weight(
                name, now
            ):
                return candidate
        return None

    def _best_sampled(
        self, work: RoutedWork, candidates: Sequence[Candidate], now: float
    ) -> Candidate:
        """Return the sampled candidate with the least expected finish."""
        mean = mean_occupied(candidates, work.priority)
        region = self._own_region(candidates)

        def finish_s(candidate: Candidate) -> float:
            occupied = self._loads.occupied(candidate, work.priority, mean, now)
            return self._finish_s(candidate, occupied, region, now)

        return min(self._sample(candidates), key=finish_s)

    def _sample(self, candidates: Sequence[Candidate]) -> list[Candidate]:
        """Return a few candidates of the own failure domain and a few others, at random."""
        near = [c for c in candidates if c.failure_domain == self._failure_domain]
        far = [c for c in candidates if c.failure_domain != self._failure_domain]
        sampled = self._random.sample(near, min(NEAR_SAMPLES, len(near)))
        far_count = NEAR_SAMPLES + FAR_SAMPLES - len(sampled)
        return sampled + self._random.sample(far, min(far_count, len(far)))

    def _own_region(self, candidates: Sequence[Candidate]) -> str:
        """Return the region of this entry, learned from upstreams of its failure domain."""
        for candidate in candidates:
            if candidate.failure_domain == self._failure_domain:
                self._region = candidate.region
                break
        return self._region

    def _finish_s(self, candidate: Candidate, occupied: float, region: str, now: float) -> float:
        """Return how long a request is expected to take there, in seconds."""
        run_s = step_s(candidate) * ASSUMED_TOKENS
        slots = max(1.0, candidate.load.limit * self._loads.weight(candidate.name, now))
        queued = max(0.0, occupied + 1 - slots)
        wait_s = queued * run_s / slots
        balance_s = step_s(candidate) * occupied / slots
        return wait_s + run_s + balance_s + self._distance_s(candidate, region)

    def _distance_s(self, candidate: Candidate, region: str) -> float:
        """Return the cost of the distance to an upstream, in seconds."""
        if candidate.failure_domain == self._failure_domain:
            return 0.0
        if not region or candidate.region == region:
            return OTHER_DOMAIN_S
        return OTHER_REGION_S
