"""Measures of a scenario: the table on the terminal and the file of results."""

import json
import re
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from pathlib import Path

from rich.console import Console
from rich.table import Table

RESULTS = Path(__file__).parent / "results" / "latest.json"
BOUND = re.compile(r"^(>=|<=|>|<) ([0-9.eE+-]+)$")


@dataclass(frozen=True, slots=True)
class Measure:
    """One figure of one policy in one scenario.

    ``bound`` is a stated target such as ``>= 0.99``, or none where no target is stated.
    """

    scenario: str
    policy: str
    measure: str
    value: float
    unit: str
    bound: str | None
    seed: int

    @property
    def met(self) -> bool | None:
        """Return whether the bound is met; none where there is no bound."""
        if self.bound is None:
            return None
        parsed = BOUND.match(self.bound)
        if parsed is None:
            raise ValueError(f"bound {self.bound!r} does not read like '>= 0.99'")
        limit = float(parsed.group(2))
        match parsed.group(1):
            case ">=":
                return self.value >= limit
            case "<=":
                return self.value <= limit
            case ">":
                return self.value > limit
        return self.value < limit


def print_table(measures: Sequence[Measure]) -> None:
    """Print the measures as a table."""
    table = Table("scenario", "policy", "measure", "value", "unit", "bound", "met", "seed")
    words = {True: "yes", False: "NO", None: ""}
    for item in measures:
        value = f"{item.value:.4g}"
        row = (item.scenario, item.policy, item.measure, value, item.unit, item.bound or "")
        table.add_row(*row, words[item.met], str(item.seed))
    Console(width=140).print(table)


def write_results(measures: Sequence[Measure], path: Path = RESULTS) -> None:
    """Write the measures as JSON; each has a field ``met``.

    Results of scenarios that were not measured this time are kept.
    """
    path.parent.mkdir(exist_ok=True)
    rows = [asdict(item) | {"met": item.met} for item in measures]
    measured = {item.scenario for item in measures}
    kept = [row for row in _read_rows(path) if row["scenario"] not in measured]
    path.write_text(json.dumps(kept + rows, indent=1) + "\n", encoding="utf-8")


def _read_rows(path: Path) -> list[dict[str, object]]:
    """Return the rows of an earlier run, none where there is no such file."""
    if not path.exists():
        return []
    rows: list[dict[str, object]] = json.loads(path.read_text(encoding="utf-8"))
    return rows
