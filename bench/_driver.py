"""Offer a scenario's load from a process of its own and write what came back as JSON."""

import json
import subprocess
import sys
from dataclasses import asdict, dataclass
from pathlib import Path

import curio
import yaml

from bluebellrun.core import parse_address
from bluebellrun.load import Arrival, Sample, Scenario, load_scenario, plan_arrivals, run_arrivals

PATIENCE_S = 30.0


@dataclass(frozen=True, slots=True)
class Offered:
    """One request that was offered and what became of it."""

    arrival: Arrival
    sample: Sample

    @property
    def on_time(self) -> bool:
        """Return whether it was answered whole and within its targets."""
        return self.sample.on_time(self.arrival)

    @property
    def ended_s(self) -> float:
        """Return when its answer ended, in seconds from the start of the run."""
        return self.sample.at_s + self.sample.total_s


def start_driver(
    folder: Path, scenario: Scenario, seed: int, entries: list[str]
) -> "subprocess.Popen[bytes]":
    """Start the process that offers the load."""
    path = folder / "scenario.yaml"
    path.write_text(yaml.safe_dump(scenario.model_dump()), encoding="utf-8")
    command = [sys.executable, "-m", "bench._driver", str(path), str(seed)]
    return subprocess.Popen([*command, str(folder / "samples.json"), *entries])


def read_offered(folder: Path, scenario: Scenario, seed: int) -> list[Offered]:
    """Return what the driver wrote."""
    rows = json.loads((folder / "samples.json").read_text(encoding="utf-8"))
    arrivals = plan_arrivals(scenario, seed)
    return [Offered(a, Sample(**row)) for a, row in zip(arrivals, rows, strict=True)]


def _main(path: str, seed: str, output: str, *entries: str) -> None:
    """Offer the load and write the samples."""
    arrivals = plan_arrivals(load_scenario(Path(path)), int(seed))
    addresses = [parse_address(entry) for entry in entries]
    samples = curio.run(run_arrivals, arrivals, addresses, PATIENCE_S)
    text = json.dumps([asdict(sample) for sample in samples])
    Path(output).write_text(text, encoding="utf-8")


if __name__ == "__main__":
    _main(*sys.argv[1:])
