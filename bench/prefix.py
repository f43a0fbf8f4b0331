"""Scenario of shared prompt prefixes: hits in the engines' caches and balance between them."""

import json
import urllib.request
from collections.abc import Iterable, Sequence

from bench import _board as board
from bench._driver import Offered
from bench._fleet import BoardFleet, Policies
from bench._results import Measure
from bench._run import measure_all, on_time_share
from bluebellrun.load import Phase
from standins.engine._cache import PrefixCache

DURATION_S = 14.0
LOAD = 0.6
PREFIXES_PER_CUSTOMER = 3
PREFIX_TOKENS = 520
CACHED_PART = 3
PREFILL_PER_TOKEN_S = 0.0004
ENDLESS = 10**9


def _read_counters(fleet: BoardFleet, engine: str) -> dict[str, float]:
    """Return the counters of an engine."""
    url = f"http://{fleet.fleet[engine].address}/metrics"
    with urllib.request.urlopen(url, timeout=5) as response:
        lines = response.read().decode().splitlines()
    return {name: float(value) for name, _, value in (line.partition(" ") for line in lines)}


def ideal_hit_tokens(offered: Sequence[Offered]) -> int:
    """Return the prompt tokens that one endless cache for all would hit."""
    cache = PrefixCache(ENDLESS)
    for item in offered:
        messages = [{"role": "user", "content": item.arrival.prompt}]
        cache.use(json.dumps(messages).encode(), 0.0)
    return cache.hit_tokens


def measure(seed: int) -> list[Measure]:
    """Offer prompts with shared prefixes to engines that can cache a third of them."""
    rate = LOAD * board.capacity()
    streams = [
        board.model_stream(
            board.MIDDLE,
            name,
            [Phase(start_s=0, end_s=DURATION_S, rate=rate / len(board.customers()))],
            PREFIXES_PER_CUSTOMER,
        )
        for name, _ in board.customers()
    ]
    prefixes = PREFIXES_PER_CUSTOMER * len(board.customers())
    cache_tokens = prefixes * PREFIX_TOKENS // CACHED_PART

    def judge(
        policies: Policies, offered: Sequence[Offered], fleet: BoardFleet
    ) -> Iterable[Measure]:
        counters = [_read_counters(fleet, engine) for engine in fleet.engines]
        models = [item for item in offered if item.arrival.stream.name != "jobs"]
        hits = sum(item["engine_prefix_hit_tokens_total"] for item in counters)
        tokens = [item["engine_tokens_total"] for item in counters]
        excess = max(tokens) * len(tokens) / sum(tokens)
        name, policy = "prefix", policies.name
        share = hits / ideal_hit_tokens(models)
        yield Measure(name, policy, "hits of the ideal", share, "share", ">= 0.85", seed)
        yield Measure(name, policy, "most loaded beside the mean", excess, "x", "<= 1.3", seed)
        on_time = on_time_share(offered, "")
        yield Measure(name, policy, "all on time", on_time, "share", None, seed)

    arguments: tuple[str, ...] = ("--cache-tokens", str(cache_tokens))
    arguments += ("--prefill-per-token-s", str(PREFILL_PER_TOKEN_S))
    scenario = board.make_scenario("prefix", streams, DURATION_S)
    return measure_all(scenario, seed, judge, engine_arguments=arguments)
