"""Soak: ``python -m bench.soak --seed N --duration S``; exits 1 on any violation."""

import sys
import tempfile
import time
from collections import Counter
from functools import partial
from pathlib import Path
from typing import Annotated

import typer

from bench.soak._callers import KEY, Caller
from bench.soak._checks import find_violations, read_truth, unknown_share
from bench.soak._faults import AGENTS, ENGINES, ENTRIES, FaultInjector
from bench.soak._records import Diary
from bluebellrun.customers import hash_key
from standins.fleet import LocalFleet

PLAINS = ("plain-1", "plain-2")
CALLERS = 16
SETTLE_S = 60.0
EXIT_VIOLATED = 1
UNKNOWN_TARGET = 0.001
SHOWN = 20


def _start(fleet: LocalFleet) -> None:
    """Start all processes and declare the fleet."""
    fleet.start_platform()
    fleet.start_together(
        *(partial(fleet.start_engine, name) for name in ENGINES),
        *(partial(fleet.start_plain, name, "--delay-s", "0.05") for name in PLAINS),
    )
    model = ("--gap-timeout-s", "1.5", "--first-byte-timeout-s", "3")
    fleet.start_together(
        *(
            partial(fleet.start_agent, f"draft-{n}", "draft-pool", f"engine-{n}", *model)
            for n in (1, 2, 3)
        ),
        *(
            partial(fleet.start_agent, f"jobs-{n}", "job-ledger", f"plain-{n}", *PLAIN_AGENT)
            for n in (1, 2)
        ),
        *(partial(fleet.start_entry, name) for name in ENTRIES),
    )
    _declare(fleet)


PLAIN_AGENT = ("--protocol", "plain")


def _declare(fleet: LocalFleet) -> None:
    """Declare customer, services and upstreams."""
    documents: list[dict[str, object]] = [
        {"kind": "customer", "name": "soak", "key_hashes": [hash_key(KEY)]},
        {"kind": "service", "name": "draft-pool", "protocol": "model", "models": ["draft-large"]},
        {"kind": "service", "name": "job-ledger", "protocol": "plain"},
    ]
    for name in AGENTS:
        service = "job-ledger" if name.startswith("jobs") else "draft-pool"
        address = str(fleet[name].address)
        documents.append({"kind": "upstream", "name": name, "service": service, "agent": address})
    fleet.declare(documents)
    for name in ENTRIES:
        fleet.wait_ready(name)


def _crashes(fleet: LocalFleet) -> list[str]:
    """Return the processes that ended by themselves, and logged violations of invariants."""
    found = []
    for name in AGENTS + ENTRIES:
        if (status := fleet[name].process.poll()) is not None:
            found.append(f"{name} ended by itself with status {status}")
    for path in sorted(fleet.folder.glob("*.log")):
        text = path.read_text(encoding="utf-8")
        for mark in ("Traceback", "invariant violated", "task crashed", "request failed"):
            if mark in text:
                found.append(f"{path.name} holds {mark!r}")
    return found


def _report(diary: Diary, injector: FaultInjector, violations: list[str]) -> None:
    """Print the outcomes, the faults and the violations."""
    say = sys.stdout.write
    say(f"faults: {dict(sorted(injector.counts.items()))}\n")
    for kind, outcomes in _outcomes(diary).items():
        say(f"{kind}: {dict(sorted(outcomes.items()))}\n")
    unknown, total = unknown_share(diary, injector.windows)
    share = len(unknown) / max(1, total)
    say(f"unknown outside kills: {len(unknown)} of {total} = {share:.3%} (target under 0.1%)\n")
    for reason, count in Counter(f"{t.outcome}: {t.detail}"[:110] for t in unknown).most_common(8):
        say(f"  {count} x {reason}\n")
    for line in violations[:SHOWN]:
        say(f"VIOLATION {line}\n")
    say(f"violations: {len(violations)}\n")


def _outcomes(diary: Diary) -> dict[str, Counter[str]]:
    """Return how often each kind of request was told each outcome."""
    table: dict[str, Counter[str]] = {}
    for told in diary.told:
        table.setdefault(told.kind, Counter())[told.outcome] += 1
    return table


def run(seed: int, duration_s: float, folder: Path) -> int:
    """Run a soak and return the exit status."""
    with LocalFleet(folder) as fleet:
        _start(fleet)
        diary = Diary()
        entries = [str(fleet[name].address) for name in ENTRIES]
        callers = [Caller(n, seed, entries, diary, 0.3) for n in range(CALLERS)]
        for caller in callers:
            caller.start()
        injector = FaultInjector(fleet, seed)
        injector.run(duration_s)
        for caller in callers:
            caller.stopping.set()
        until = time.monotonic() + SETTLE_S
        for caller in callers:
            caller.join(max(0.0, until - time.monotonic()))
        violations = [f"{c.name} never ended" for c in callers if c.is_alive()]
        violations += injector.failures
        violations += find_violations(diary, read_truth(fleet, list(PLAINS), list(ENGINES)))
        violations += _crashes(fleet)
        statuses = fleet.stop_all()
        violations += [
            f"{name} exited {code} at the end" for name, code in statuses.items() if code
        ]
    _report(diary, injector, violations)
    return EXIT_VIOLATED if violations else 0


def start(
    seed: Annotated[int, typer.Option(help="Seed of callers and faults.")] = 1,
    duration: Annotated[float, typer.Option(help="Time of faults, in s.")] = 60.0,
    folder: Annotated[Path | None, typer.Option(help="Where logs are kept.")] = None,
) -> None:
    """Run a soak; exit 1 when a promise was broken."""
    if folder is not None:
        raise typer.Exit(run(seed, duration, folder))
    with tempfile.TemporaryDirectory() as temporary:
        raise typer.Exit(run(seed, duration, Path(temporary)))


if __name__ == "__main__":
    typer.run(start)
