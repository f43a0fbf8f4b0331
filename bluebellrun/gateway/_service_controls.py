"""The admission control and the retry budget of each service."""

import time
from collections.abc import Callable, Iterable
from random import Random

from bluebellrun.admission import (
    GateSettings,
    GroupGates,
    GroupPauses,
    GroupPauseSettings,
    SlotAdmission,
    SlotAdmissionSettings,
)
from bluebellrun.deployment import Deployment, EngineTerms, HostSettings
from bluebellrun.gateway._admission_control import AdmissionControl
from bluebellrun.gateway._fleet import Fleet
from bluebellrun.gateway._load_shedding import LoadShedding
from bluebellrun.routing import AttemptBudget, AttemptBudgetSettings, GroupTable, PassTerms

# Number of entries assumed to share the retry budget until the registrations have been read.
ASSUMED_ENTRIES = 6


class ServiceControls:
    """Create and keep what limits the requests of each service.

    ``deployment`` returns the configuration in force, none before the first was read.
    """

    def __init__(
        self,
        settings: HostSettings,
        fleet: Fleet,
        groups: GroupTable,
        deployment: Callable[[], Deployment | None],
        random: Random,
    ) -> None:
        self._settings = settings
        self._fleet = fleet
        self._groups = groups
        self._deployment = deployment
        self._random = random
        self._budgets: dict[str, AttemptBudget] = {}
        self._admission = SlotAdmission(SlotAdmissionSettings())
        self._admissions: dict[str, AdmissionControl] = {}
        self._engines: dict[str, EngineTerms | None] = {}
        self._entries = ASSUMED_ENTRIES

    def set_entries(self, entries: int) -> None:
        """Set the number of entries that share the retry budget."""
        if entries == self._entries:
            return
        self._entries = entries
        for budget in self._budgets.values():
            budget.settings = self._budget_settings()

    def relative_length(self, service: str, expected_tokens: int) -> float:
        """Return an answer's expected length relative to the typical one, at least 1."""
        engine = self.group_terms(service)
        if engine is None or engine.usual_answer_tokens <= 0:
            return 1.0
        return max(1.0, expected_tokens / engine.usual_answer_tokens)

    def admission(self, service: str) -> AdmissionControl:
        """Return a service's admission control, recreated when its engine terms change."""
        engine = self.group_terms(service)
        control = self._admissions.get(service)
        if control is None or self._engines[service] != engine:
            self._engines[service] = engine
            gates = self._make_gates(service, fails_together=engine is not None)
            pauses = self._make_pauses(service, engine)
            self._fleet.groups.set_limits(service, gates, pauses, _pass_terms(engine))
            control = self._admissions[service] = AdmissionControl(
                service,
                self._fleet,
                gates,
                self._admission,
                pauses,
                lambda: self._entries,
                self._random,
                self._make_shedding(service, engine),
            )
        return control

    @property
    def load_shedding(self) -> list[LoadShedding]:
        """Return the load shedding of all services that have any."""
        found = (control.shedding for control in self._admissions.values())
        return [shedding for shedding in found if shedding is not None]

    def _make_shedding(self, service: str, engine: EngineTerms | None) -> LoadShedding | None:
        """Return a service's load shedding, none where it is off or there are no passes."""
        if engine is None or not self._settings.load_shedding:
            return None
        return LoadShedding(service, self._fleet, engine, lambda: self._entries, self._group_of)

    def _group_of(self, instance: str) -> str:
        """Return the group of an upstream, empty if its service has one group."""
        return self._groups.group_of(instance) or ""

    def _make_gates(self, service: str, fails_together: bool) -> GroupGates:
        """Return the gates of a service's groups."""
        directory = self._fleet.directory

        def instances() -> Iterable[str]:
            return (item.instance for item in directory.usable(service, time.monotonic()))

        return GroupGates(
            GateSettings(), service, self._groups, instances, fails_together, random=self._random
        )

    def _make_pauses(self, service: str, engine: EngineTerms | None) -> GroupPauses | None:
        """Return the limit based on stream pauses, none for a service without passes."""
        if engine is None:
            return None
        settings = GroupPauseSettings()
        if self._settings.load_shedding:
            # Load shedding limits what is sent by the same passes; two strict bounds together left
            # slots unused on a quiet day.
            settings = GroupPauseSettings(each=settings.single)
        fixed_s = engine.stride * engine.step_s
        return GroupPauses(settings, fixed_s, service, self._groups)

    def group_terms(self, service: str) -> EngineTerms | None:
        """Return the terms of a service whose upstreams work in step, none of any other."""
        deployment = self._deployment()
        terms = None if deployment is None else deployment.services.get(service)
        engine = None if terms is None else terms.engine
        return engine if engine is not None and engine.experts is not None else None

    def budget(self, service: str) -> AttemptBudget:
        """Return the retry budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = AttemptBudget(self._budget_settings())
        return budget

    def _budget_settings(self) -> AttemptBudgetSettings:
        """Return the settings of the retry budget, shared by all entries."""
        bounds = self._settings.bounds
        return AttemptBudgetSettings(
            bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s, self._entries
        )


def _pass_terms(engine: EngineTerms | None) -> PassTerms:
    """Return what an answer of a service costs, as far as its configuration tells."""
    if engine is None or not engine.stride:
        return PassTerms()
    return PassTerms(
        fixed_s=engine.stride * engine.step_s,
        growth_s=engine.stride * engine.writer_s * engine.slots,
        passes=max(1.0, engine.usual_answer_tokens / engine.stride),
        read_tokens_per_s=engine.read_tokens_per_s,
    )
