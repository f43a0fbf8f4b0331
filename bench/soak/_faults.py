"""A schedule of faults from a seed, done to a running fleet."""

import signal
import sys
import time
from collections.abc import Callable
from random import Random

from bench.soak._records import Window
from standins.fleet import LocalFleet

AGENTS = ("draft-1", "draft-2", "draft-3", "jobs-1", "jobs-2")
ENTRIES = ("entry-1", "entry-2")
ENGINES = ("engine-1", "engine-2", "engine-3")
KILL_SETTLES_S = 3.0


class FaultInjector:
    """Do one random fault after another."""

    def __init__(self, fleet: LocalFleet, seed: int) -> None:
        self._fleet = fleet
        self._random = Random(f"faults/{seed}")
        self._started = time.monotonic()
        self.windows: list[Window] = []
        self.counts: dict[str, int] = {}
        self.failures: list[str] = []
        self._faults: list[tuple[int, Callable[[], None]]] = [
            (4, self.kill),
            (4, self.pause),
            (3, self.stop_gracefully),
            (2, self.store_outage),
            (2, self.store_loses_answers),
            (1, self.store_slow),
            (3, self.engine_silence),
            (2, self.engine_breaks),
            (2, self.engine_stalls),
            (1, self.drain),
        ]

    def run(self, duration_s: float) -> None:
        """Do faults until the time is over; leave the fleet whole."""
        until = time.monotonic() + duration_s
        weights = [weight for weight, _ in self._faults]
        faults = [fault for _, fault in self._faults]
        while time.monotonic() < until:
            time.sleep(self._random.uniform(0.2, 2.5))
            fault = self._random.choices(faults, weights)[0]
            self.counts[fault.__name__] = self.counts.get(fault.__name__, 0) + 1
            fault()
        self._say("faults are over")

    def kill(self) -> None:
        """Kill a process and start it again."""
        name = self._random.choice(AGENTS + ENTRIES)
        start = time.monotonic()
        self._say(f"kill {name}")
        self._fleet.crash(name)
        time.sleep(self._random.uniform(0.0, 1.5))
        self._fleet.restart(name)
        self.windows.append(Window(start, time.monotonic() + KILL_SETTLES_S))

    def pause(self) -> None:
        """Stop a process in its tracks and let it go on."""
        name = self._random.choice(AGENTS + ENTRIES)
        seconds = self._random.uniform(0.5, 5.0)
        self._say(f"pause {name} for {seconds:.1f} s")
        self._fleet.send_signal(name, signal.SIGSTOP)
        time.sleep(seconds)
        self._fleet.send_signal(name, signal.SIGCONT)

    def stop_gracefully(self) -> None:
        """Stop a process in peace and start it again; it must cut nothing off."""
        name = self._random.choice(AGENTS + ENTRIES)
        self._say(f"stop {name}")
        self._fleet.send_signal(name, signal.SIGTERM)
        status = self._fleet.wait(name, 60.0)
        if status != 0:
            self.failures.append(f"{name} exited {status} at a graceful stop")
        self._fleet.restart(name)

    def store_outage(self) -> None:
        """Take the key-value service away for a while."""
        seconds = self._random.uniform(0.5, 6.0)
        self._say(f"store down for {seconds:.1f} s")
        self._order_store(down=True)
        time.sleep(seconds)
        self._order_store(down=False)

    def store_loses_answers(self) -> None:
        """Lose a third of the answers to writes for a while."""
        self._say("store loses answers")
        self._order_store(lose_answers=0.3)
        time.sleep(self._random.uniform(1.0, 4.0))
        self._order_store(lose_answers=0.0)

    def store_slow(self) -> None:
        """Slow the key-value service down for a while."""
        self._say("store slow")
        self._order_store(delay_s=0.2)
        time.sleep(self._random.uniform(1.0, 3.0))
        self._order_store(delay_s=0.0)

    def engine_silence(self) -> None:
        """Make the open connections of an engine go silent for good."""
        name = self._random.choice(ENGINES)
        self._say(f"{name} goes silent on open connections")
        number = self.counts["engine_silence"]
        self._fleet.order(name, "/standin/faults", {"silence": number})

    def engine_breaks(self) -> None:
        """Make an engine cut connections in the middle of answers for a while."""
        name = self._random.choice(ENGINES)
        self._say(f"{name} breaks connections")
        self._fleet.order(name, "/standin/faults", {"break_after": self._random.randint(3, 40)})
        time.sleep(self._random.uniform(0.5, 2.0))
        self._fleet.order(name, "/standin/faults", {"break_after": 0})

    def engine_stalls(self) -> None:
        """Stall all steps of an engine."""
        name = self._random.choice(ENGINES)
        self._say(f"{name} stalls")
        self._fleet.order(name, "/standin/faults", {"stall_s": self._random.uniform(0.3, 2.0)})

    def drain(self) -> None:
        """Drain an upstream by plan and confirm, then take it back."""
        name = self._random.choice(AGENTS)
        self._say(f"drain {name}")
        self._fleet.confirm("drain", name)
        time.sleep(self._random.uniform(0.5, 2.0))
        self._fleet.confirm("plan", "--folder", str(self._fleet.folder / "declarations"))

    def _order_store(self, **faults: object) -> None:
        """Order faults of the key-value service."""
        self._fleet.order("platform", "/standin/faults", dict(faults))

    def _say(self, text: str) -> None:
        """Tell what happens and when."""
        at_s = time.monotonic() - self._started
        sys.stdout.write(f"{at_s:7.1f} s  {text}\n")
        sys.stdout.flush()
