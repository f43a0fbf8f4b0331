"""What a process tells of its service levels; times in Unix seconds, windows in seconds."""

from pydantic import BaseModel, ConfigDict

WINDOWS_S = (300, 3_600, 21_600, 259_200)
WINDOW_NAMES = {300: "5 min", 3_600: "1 h", 21_600: "6 h", 259_200: "3 d"}


class _Wire(BaseModel):
    """A value that may gain fields in later versions."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class Counts(_Wire):
    """How many requests ended how; ``good`` ones were whole and on time."""

    good: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    unknown: int = 0

    @property
    def total(self) -> int:
        """Return how many requests ended."""
        return self.good + self.late + self.refused + self.failed + self.unknown

    @property
    def whole(self) -> int:
        """Return how many were answered whole."""
        return self.good + self.late

    def add(self, other: "Counts") -> "Counts":
        """Return the sum of two counts."""
        return Counts(
            good=self.good + other.good,
            late=self.late + other.late,
            refused=self.refused + other.refused,
            failed=self.failed + other.failed,
            unknown=self.unknown + other.unknown,
        )


class Row(_Wire):
    """The counts of one priority and customer in one window."""

    window_s: int
    urgency: int
    customer: str
    counts: Counts


class Point(_Wire):
    """The counts of one priority in one short span that begins at ``start``."""

    start: int
    width_s: int
    urgency: int
    counts: Counts


class Latency(_Wire):
    """Encoded HDR histograms in milliseconds of one priority over the last hour."""

    urgency: int
    first_byte: str
    whole_answer: str


class UpstreamReading(_Wire):
    """What a process last heard of an upstream; the step time in seconds."""

    name: str
    service: str
    group: str = ""
    rank: int = 0
    step_s: float = 0.0
    in_progress: int = 0
    waiting: int = 0


class ObjectiveReading(_Wire):
    """An objective in force."""

    name: str
    priority: str
    urgency: int
    customer: str
    on_time: float
    whole: float


class Snapshot(_Wire):
    """All that one process knows; ``memory_s`` is how long it has counted."""

    process: str
    incarnation: str
    version: int
    taken_at: float
    memory_s: float
    rows: list[Row] = []
    series: list[Point] = []
    latencies: list[Latency] = []
    upstreams: list[UpstreamReading] = []
    objectives: list[ObjectiveReading] = []
    priorities: dict[int, str] = {}
    violations: dict[str, int] = {}


class Status(_Wire):
    """What a process answers to an operator who follows a change."""

    process: str
    incarnation: str
    version: int
    in_progress: dict[str, int] = {}
