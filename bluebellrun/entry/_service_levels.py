"""Measure requests against the deadlines of their priority, for reports to operators."""

from dataclasses import dataclass

import curio

from bluebellrun.core import (
    AlreadyRan,
    Incarnation,
    NotRun,
    Outcome,
    Ran,
    UnixClock,
    Unknown,
    invariants,
)
from bluebellrun.declarations import Configuration, PriorityRule
from bluebellrun.entry._callers import CallerRequest
from bluebellrun.entry._fleet import Fleet
from bluebellrun.reports import (
    ObjectiveReading,
    Observation,
    Recorder,
    Snapshot,
    Status,
    UpstreamReading,
    Verdict,
)

SERVER_ERROR = 500


@dataclass(frozen=True, slots=True)
class Delivery:
    """Status and timing of an answer; durations in seconds since the request's arrival."""

    status: int
    started: bool
    first_byte_s: float
    total_s: float


def determine_verdict(
    outcome: Outcome, delivery: Delivery, rule: PriorityRule, streamed: bool
) -> Verdict:
    """Return the verdict on a request, as its caller sees it."""
    match outcome:
        case NotRun():
            return Verdict.REFUSED
        case Unknown():
            return Verdict.FAILED if delivery.started else Verdict.UNKNOWN
        case Ran() if delivery.status >= SERVER_ERROR:
            return Verdict.FAILED
        case Ran() | AlreadyRan():
            late_start = streamed and delivery.first_byte_s > rule.first_token_s
            late = late_start or delivery.total_s > rule.deadline_s
            return Verdict.LATE if late else Verdict.GOOD


class ServiceLevels:
    """Record the requests of one entry and report them to operators."""

    def __init__(self, name: str, incarnation: Incarnation, fleet: Fleet, clock: UnixClock) -> None:
        self._name = name
        self._incarnation = incarnation
        self._fleet = fleet
        self._clock = clock
        self._recorder = Recorder(clock.now())

    def observe(
        self,
        configuration: Configuration,
        request: CallerRequest,
        outcome: Outcome,
        delivery: Delivery,
    ) -> Verdict:
        """Record a finished request and return its verdict."""
        rule = configuration.priority_rule(request.priority)
        verdict = determine_verdict(outcome, delivery, rule, request.stream)
        observation = Observation(
            urgency=rule.urgency,
            customer=request.customer.name,
            verdict=verdict,
            first_byte_s=delivery.first_byte_s,
            total_s=delivery.total_s,
        )
        self._recorder.record(observation, self._clock.now())
        return verdict

    def status(self, version: int) -> Status:
        """Return the version in force and the requests in progress at each upstream."""
        in_progress = {item.name: item.in_progress for item in self._readings()}
        return Status(
            process=self._name,
            incarnation=self._incarnation,
            version=version,
            in_progress=in_progress,
        )

    async def snapshot(self, configuration: Configuration) -> Snapshot:
        """Return a snapshot of this entry's service levels.

        Yields to other tasks between parts, so that a report does not delay answers.
        """
        now = self._clock.now()
        rows = []
        for part in self._recorder.row_parts(now):
            rows += part
            await curio.sleep(0)
        return Snapshot(
            process=self._name,
            incarnation=self._incarnation,
            version=configuration.version,
            taken_at=now,
            memory_s=self._recorder.memory_s(now),
            rows=rows,
            series=self._recorder.series(now),
            latencies=self._recorder.latencies(now),
            upstreams=self._readings(),
            objectives=_objectives(configuration),
            priorities={rule.urgency: rule.name for rule in configuration.priorities},
            violations=dict(invariants.violations),
        )

    def _readings(self) -> list[UpstreamReading]:
        """Return the load and identity of each upstream."""
        return [
            UpstreamReading(
                name=channel.upstream.name,
                service=channel.upstream.service,
                group=channel.upstream.group,
                rank=channel.upstream.rank,
                step_s=channel.load.step_s,
                in_progress=channel.in_flight,
                waiting=channel.load.waiting,
            )
            for channel in self._fleet.channels()
        ]


def _objectives(configuration: Configuration) -> list[ObjectiveReading]:
    """Return the objectives in force."""
    return [
        ObjectiveReading(
            name=item.name,
            priority=item.priority,
            urgency=item.urgency,
            customer=item.customer,
            on_time=item.on_time,
            whole=item.whole,
        )
        for item in configuration.objectives
    ]
