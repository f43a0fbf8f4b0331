"""Soak: ``python -m bench.platform_soak --seed N --duration S``; exits 1 on any violation."""

import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Annotated

import curio
import typer

from bench.platform_soak._callers import Callers
from bench.platform_soak._checks import find_unrecovered, find_violations
from bench.platform_soak._faults import Faults
from bench.platform_soak._world import World

CALLERS = 16
START_S = 15.0
# What the faults left behind is over after this: leases lapse, groups form, ejections end.
SETTLE_S = 8.0
AFTER_S = 4.0
# An upstream may begin to run a request this long after its caller was answered.
LATE_RUNS_S = 2.0
END_S = 12.0
SHOWN = 20
EXIT_VIOLATED = 1
LOGGED = ("Traceback", "task crashed", "invariant violated")


async def _play(world: World, seed: int, duration_s: float) -> list[str]:
    """Play one soak; return the broken promises."""
    await world.start()
    callers = Callers(world, seed)
    if not await callers.wait_ready(START_S):
        return [f"not all gateways were ready within {START_S} s"]
    faults = Faults(world, seed)
    task = await curio.spawn(callers.run, CALLERS)
    await faults.run(duration_s)
    await curio.sleep(SETTLE_S)
    whole_since = time.monotonic()
    await curio.sleep(AFTER_S)
    callers.stopping = True
    await task.join()
    await curio.sleep(LATE_RUNS_S)
    # The stand-ins serve on until the last process has ended.
    ended = await curio.run_in_thread(_stop, world)
    _report(callers, faults, world)
    if world.has_older_builds:
        # Older builds know neither the quarantine of prompts nor limits.
        world.record.crashing.clear()
        world.record.limits.clear()
        # Nor a lost answer from an outage of the store.
        world.record.left.clear()
    found = ended + faults.failures + find_violations(callers.told, world.record)
    found += find_unrecovered(callers.told, whole_since)
    found += [f"maps mixed: {line}" for line in world.group.mixed + world.group.ranks.mixed]
    return found


def _report(callers: Callers, faults: Faults, world: World) -> None:
    """Print what was done and what came of it."""
    say = sys.stdout.write
    say(f"faults: {dict(sorted(faults.counts.items()))}\n")
    for kind in ("draft", "order", "look"):
        endings = Counter(f"{t.status} {t.ending}" for t in callers.told if t.kind == kind)
        say(f"{kind}: {dict(sorted(endings.items()))}\n")
    crashes = [len(crashing.crashes) for crashing in world.record.crashing.values()]
    say(f"crashes by each crashing part: {crashes}\n")
    maps = {state.active for state in world.group.ranks.states.values()}
    say(f"steps: {world.group.step}, maps in use at the end: {sorted(maps)}\n")


def _stop(world: World) -> list[str]:
    """Stop all processes; return what they did wrong."""
    found = []
    for program in world.programs:
        if program.process is not None and program.process.poll() is not None:
            found.append(f"{program.name} ended by itself with {program.process.returncode}")
        if program.process is not None:
            program.process.terminate()
    for program in world.programs:
        status = program.end(END_S)
        if status:
            found.append(f"{program.name} ended with {status}")
    return found


def _logged(folder: Path) -> list[str]:
    """Return what the logs say of errors in the programs."""
    found = []
    for path in sorted(folder.glob("*.log")):
        text = path.read_text(encoding="utf-8", errors="replace")
        found += [f"{path.name} holds {mark!r}" for mark in LOGGED if mark in text]
    return found


def run(seed: int, duration_s: float, folder: Path, net: str, older: Path | None = None) -> int:
    """Run a soak and return the exit status."""
    folder.mkdir(parents=True, exist_ok=True)
    world = World(net, folder, seed, older)
    try:
        violations = curio.run(_play, world, seed, duration_s)
    finally:
        for program in world.programs:
            program.end(0.0)
    violations += _logged(folder)
    for line in violations[:SHOWN]:
        sys.stdout.write(f"VIOLATION {line}\n")
    sys.stdout.write(f"violations: {len(violations)}\n")
    return EXIT_VIOLATED if violations else 0


def start(
    seed: Annotated[int, typer.Option(help="Seed of callers and faults.")] = 1,
    duration: Annotated[float, typer.Option(help="Time of faults, in s.")] = 60.0,
    folder: Annotated[Path | None, typer.Option(help="Where logs are kept.")] = None,
    net: Annotated[str, typer.Option(help="First two numbers of the addresses.")] = "127.77",
    older: Annotated[
        Path | None, typer.Option(help="Checkout of an older build that gateways run by turns.")
    ] = None,
) -> None:
    """Run a soak; exit 1 when a promise was broken."""
    if folder is not None:
        raise typer.Exit(run(seed, duration, folder, net, older))
    with tempfile.TemporaryDirectory() as temporary:
        raise typer.Exit(run(seed, duration, Path(temporary), net, older))


if __name__ == "__main__":
    typer.run(start)
