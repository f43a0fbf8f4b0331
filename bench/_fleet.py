"""Start the Board's fleet of real processes with one pair of policies."""

import os
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass
from typing import Any

from bench import _board as board
from bluebellrun.customers import hash_key
from standins.fleet import LocalFleet

STARTS_AT_ONCE = 4


@dataclass(frozen=True, slots=True)
class Policies:
    """The policies of one run and the name they are shown by."""

    name: str
    routing: str
    admission: str


OURS = Policies("ours", "expected-finish", "fair")
BASELINES = (
    Policies("least-requests+fifo", "least-requests", "fifo"),
    Policies("round-robin+fifo", "round-robin", "fifo"),
)
ALL_POLICIES = (OURS, *BASELINES)
ONLY_OURS = "BENCH_ONLY_OURS"


def compared_policies() -> tuple[Policies, ...]:
    """Return the policies to measure: all, or ours alone where the environment says so."""
    return (OURS,) if os.environ.get(ONLY_OURS) else ALL_POLICIES


class BoardFleet:
    """The Board's fleet on this machine."""

    def __init__(
        self,
        fleet: LocalFleet,
        policies: Policies,
        engine_arguments: tuple[str, ...] = (),
        agent_arguments: tuple[str, ...] = (),
    ) -> None:
        self._fleet = fleet
        self._policies = policies
        self._engine_arguments = engine_arguments
        self._agent_arguments = agent_arguments
        self._upstreams: dict[str, tuple[str, str, str]] = {}
        self._next_number = 1

    @property
    def fleet(self) -> LocalFleet:
        """Return the processes."""
        return self._fleet

    @property
    def entries(self) -> list[str]:
        """Return the addresses of the entries."""
        return [str(self._fleet[f"entry-{n}"].address) for n in range(1, board.ENTRIES + 1)]

    @property
    def engines(self) -> list[str]:
        """Return the names of the running engines."""
        models = (n for n, (service, _, _) in self._upstreams.items() if service != "job-ledger")
        return [f"engine-{name}" for name in models]

    def start(self) -> None:
        """Start everything and wait until the entries are ready."""
        self._fleet.start_platform()
        with ThreadPoolExecutor(STARTS_AT_ONCE) as pool:
            starts: list[Future[Any]] = []
            starts += [pool.submit(self.start_model) for _ in range(board.MODEL_UPSTREAMS)]
            starts += [pool.submit(self._start_plain, n + 1) for n in range(board.PLAIN_UPSTREAMS)]
            starts += [pool.submit(self._start_entry, n + 1) for n in range(board.ENTRIES)]
            for started in starts:
                started.result()
        self.declare()
        for number in range(1, board.ENTRIES + 1):
            self._fleet.wait_ready(f"entry-{number}")

    def start_model(self) -> str:
        """Start one more engine and its agent; return the upstream's name."""
        number, self._next_number = self._next_number, self._next_number + 1
        name = f"draft-{number}"
        domain = board.FAILURE_DOMAINS[number % len(board.FAILURE_DOMAINS)]
        self._fleet.start_engine(
            f"engine-{name}",
            *("--slots", str(board.SLOTS), "--step-base-s", str(board.STEP_BASE_S)),
            *self._engine_arguments,
        )
        self._fleet.start_agent(
            name,
            board.MODEL_SERVICE,
            f"engine-{name}",
            *("--admission-policy", self._policies.admission),
            *("--concurrency", str(board.SLOTS), "--failure-domain", domain),
            *self._agent_arguments,
        )
        self._upstreams[name] = (board.MODEL_SERVICE, str(self._fleet[name].address), domain)
        return name

    def kill_model(self, name: str) -> None:
        """Kill an engine and its agent at once."""
        self._fleet.kill(name)
        self._fleet.kill(f"engine-{name}")
        del self._upstreams[name]

    def declare(self) -> None:
        """Declare customers, priorities, services and the upstreams that run now."""
        self._fleet.declare([*_fixed_documents(), *self._upstream_documents()])

    def _start_plain(self, number: int) -> None:
        """Start one plain service and its agent."""
        name = f"ledger-{number}"
        domain = board.FAILURE_DOMAINS[number % len(board.FAILURE_DOMAINS)]
        self._fleet.start_plain(f"service-{name}")
        self._fleet.start_agent(name, board.PLAIN_SERVICE, f"service-{name}", "--protocol", "plain")
        self._upstreams[name] = (board.PLAIN_SERVICE, str(self._fleet[name].address), domain)

    def _start_entry(self, number: int) -> None:
        """Start one entry."""
        domain = board.FAILURE_DOMAINS[number % len(board.FAILURE_DOMAINS)]
        self._fleet.start_entry(
            f"entry-{number}",
            *("--routing-policy", self._policies.routing, "--failure-domain", domain),
        )

    def _upstream_documents(self) -> list[dict[str, object]]:
        """Return the declarations of the running upstreams."""
        return [
            {
                "kind": "upstream",
                "name": name,
                "service": service,
                "agent": address,
                "region": board.REGION,
                "failure_domain": domain,
            }
            for name, (service, address, domain) in sorted(self._upstreams.items())
        ]


def _fixed_documents() -> list[dict[str, object]]:
    """Return the declarations that do not change in a run."""
    documents: list[dict[str, object]] = [
        {"kind": "service", "name": board.MODEL_SERVICE, "protocol": "model"}
        | {"models": ["draft-large"]},
        {"kind": "service", "name": board.PLAIN_SERVICE, "protocol": "plain"},
    ]
    documents += [
        {"kind": "customer", "name": name, "key_hashes": [hash_key(board.key_of(name))]}
        for name, _ in board.customers()
    ]
    documents += [
        {
            "kind": "priority",
            "name": rank.name,
            "urgency": rank.urgency,
            "first_token_s": rank.first_token_s,
            "deadline_s": rank.deadline_s,
            "floor": rank.floor,
        }
        for rank in board.CLASSES
    ]
    return documents
