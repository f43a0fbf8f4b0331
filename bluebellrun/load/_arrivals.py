"""Arrivals fixed before the run, so that a slow system does not slow its load."""

from dataclasses import dataclass
from random import Random

from bluebellrun.load._scenario import Scenario, Stream

WORDS = ("tape", "label", "reel", "dub", "side", "note", "spool", "take", "cue", "hiss")


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request and when it is sent, in seconds from the start of the run."""

    at_s: float
    stream: Stream
    number: int
    prompt: str
    answer_tokens: int


def plan_arrivals(scenario: Scenario, seed: int) -> list[Arrival]:
    """Return the Poisson arrivals of all streams, in order of time."""
    arrivals: list[Arrival] = []
    for index, stream in enumerate(scenario.streams):
        arrivals += _plan_stream(stream, Random(f"{seed}/{index}/{stream.name}"))
    arrivals.sort(key=lambda arrival: arrival.at_s)
    return arrivals


def _plan_stream(stream: Stream, random: Random) -> list[Arrival]:
    """Return the arrivals of one stream."""
    arrivals: list[Arrival] = []
    for phase in stream.phases:
        at_s = phase.start_s
        while phase.rate > 0:
            at_s += random.expovariate(phase.rate)
            if at_s >= phase.end_s:
                break
            arrivals.append(_make_arrival(stream, at_s, len(arrivals), random))
    return arrivals


def _make_arrival(stream: Stream, at_s: float, number: int, random: Random) -> Arrival:
    """Return one arrival with its prompt and length."""
    prefix = ""
    if stream.prefixes:
        shared = Random(f"{stream.name}/{random.randrange(stream.prefixes)}")
        prefix = " ".join(shared.choice(WORDS) for _ in range(stream.prefix_words)) + " "
    words = " ".join(random.choice(WORDS) for _ in range(stream.prompt_words))
    spread = stream.answer_tokens_spread
    tokens = stream.answer_tokens * random.uniform(1 - spread, 1 + spread)
    prompt = f"{prefix}{words} {stream.name} {number}"
    return Arrival(at_s, stream, number, prompt, max(1, round(tokens)))
