"""The Board's fleet and its callers: sizes, priorities, customers and offered work."""

from dataclasses import dataclass

from bluebellrun.load import Phase, Scenario, Stream

ENTRIES = 3
MODEL_UPSTREAMS = 12
PLAIN_UPSTREAMS = 3
FAILURE_DOMAINS = ("bidhannagar", "shibpur", "barasat")
REGION = "hooghly-belt"
MODEL_SERVICE = "draft-pool"
PLAIN_SERVICE = "job-ledger"
LARGE_CUSTOMERS = ("state-schools", "folk-archive", "radio-cells")
SMALL_CUSTOMERS = tuple(f"member-{number}" for number in range(1, 8))
LARGE_WEIGHT = 4.0

ANSWER_TOKENS = 16
SLOTS = 4
STEP_BASE_S = 0.04
STEP_PER_SEQUENCE_S = 0.0005
STEP_S = STEP_BASE_S + SLOTS * STEP_PER_SEQUENCE_S
PROMPT_WORDS = 20
JOBS_RATE = 3.0


@dataclass(frozen=True, slots=True)
class Class:
    """A rank of work: urgency, targets in seconds, floor, and its part of the steady load."""

    name: str
    urgency: int
    first_token_s: float
    deadline_s: float
    floor: float
    part: float


TOP = Class("counter", 1, 1.0, 4.0, 0.0, 0.2)
MIDDLE = Class("catalogue", 3, 2.5, 6.0, 0.2, 0.4)
LOW = Class("archive", 6, 5.0, 9.0, 0.1, 0.4)
CLASSES = (TOP, MIDDLE, LOW)


def capacity() -> float:
    """Return the fleet's ideal rate in requests a second, all slots busy."""
    return MODEL_UPSTREAMS * SLOTS / (STEP_S * ANSWER_TOKENS)


def customers() -> list[tuple[str, float]]:
    """Return each customer and its part of the steady load."""
    total = LARGE_WEIGHT * len(LARGE_CUSTOMERS) + len(SMALL_CUSTOMERS)
    large = [(name, LARGE_WEIGHT / total) for name in LARGE_CUSTOMERS]
    return large + [(name, 1.0 / total) for name in SMALL_CUSTOMERS]


def key_of(customer: str) -> str:
    """Return the key of a customer."""
    return f"{customer}-key"


def stream_name(rank: Class, customer: str) -> str:
    """Return the name of a customer's stream of one rank of work."""
    return f"{rank.name}/{customer}"


def model_stream(rank: Class, customer: str, phases: list[Phase], prefixes: int = 0) -> Stream:
    """Return a stream of model requests."""
    return Stream(
        name=stream_name(rank, customer),
        key=key_of(customer),
        priority=rank.urgency,
        phases=phases,
        prompt_words=PROMPT_WORDS,
        answer_tokens=ANSWER_TOKENS,
        prefixes=prefixes,
        prefix_words=400 if prefixes else 0,
        deadline_s=rank.deadline_s,
        first_token_s=rank.first_token_s,
    )


def steady_streams(load: float, duration_s: float) -> list[Stream]:
    """Return all customers' streams at a fraction of capacity."""
    rate = load * capacity()
    return [
        model_stream(rank, name, [Phase(start_s=0, end_s=duration_s, rate=rate * rank.part * part)])
        for rank in CLASSES
        for name, part in customers()
    ]


def flood_streams(rank: Class, load: float, start_s: float, end_s: float) -> list[Stream]:
    """Return a sudden flood of one rank of work, in the same proportions of customers."""
    rate = load * capacity()
    phases = [
        (name, [Phase(start_s=start_s, end_s=end_s, rate=rate * part)])
        for name, part in customers()
    ]
    return [
        model_stream(rank, name, phase).model_copy(update={"name": f"flood/{name}"})
        for name, phase in phases
    ]


def job_stream(duration_s: float) -> Stream:
    """Return calls of the plain service that may not be repeated."""
    return Stream(
        name="jobs",
        key=key_of(LARGE_CUSTOMERS[0]),
        priority=TOP.urgency,
        path=f"/services/{PLAIN_SERVICE}/jobs",
        phases=[Phase(start_s=0, end_s=duration_s, rate=JOBS_RATE)],
        deadline_s=TOP.deadline_s,
        first_token_s=TOP.first_token_s,
    )


def make_scenario(name: str, streams: list[Stream], duration_s: float) -> Scenario:
    """Return a scenario with the plain calls added."""
    return Scenario(name=name, streams=[*streams, job_stream(duration_s)])
