from collections import Counter
from random import Random

from bluebellrun.routing import Candidate, ExpectedFinishRouting, RoutedWork, UpstreamLoad
from bluebellrun.routing._prefixes import MAX_PREFIXES, PrefixMap

NAMES = [f"u{n}" for n in range(6)]
SHARED = b"x" * 1_024


def candidates(now: float, loads: dict[str, int]) -> list[Candidate]:
    reported = 0.5 if now < 1 else now - 0.1
    return [
        Candidate(name, "r", "near", 0, UpstreamLoad(0, loads.get(name, 2), 0, 4, 0.04, reported))
        for name in NAMES
    ]


def route(routing: ExpectedFinishRouting, prompt: bytes, now: float, **loads: int) -> str:
    chosen = routing.choose(RoutedWork("pool", "c", 3, prompt, 1e6), candidates(now, loads), now)
    assert chosen is not None
    return chosen.name


def test_independent_entries_send_a_shared_prefix_to_the_same_upstream():
    homes = set()
    for seed in range(4):
        routing = ExpectedFinishRouting(Random(seed), "near")
        for number in range(3):
            last = route(routing, SHARED + b"%d" % number, 0.6 + 10 * number)
        homes.add(last)
    assert len(homes) == 1


def test_a_conversation_follows_its_last_turn():
    routing = ExpectedFinishRouting(Random(1), "near")
    prompt, previous = Random(2).randbytes(512), ""
    for turn in range(4):
        name = route(routing, prompt, 0.6 + 10 * turn)
        assert previous in ("", name)
        previous, prompt = name, prompt + Random(turn).randbytes(512)


def test_affinity_yields_to_load():
    routing = ExpectedFinishRouting(Random(1), "near")
    for number in range(4):
        home = route(routing, SHARED + b"%d" % number, 0.6 + 10 * number)
    assert route(routing, SHARED, 60.0, **{home: 12}) != home
    assert route(routing, SHARED, 70.0) == home


def test_one_hot_prefix_does_not_overload_its_home():
    routing = ExpectedFinishRouting(Random(1), "near")
    counts = Counter(route(routing, SHARED + b"%d" % n, 0.6 + n / 1e4) for n in range(120))
    assert max(counts.values()) < 1.5 * 120 / len(NAMES)


def test_unrelated_prompts_are_spread():
    routing = ExpectedFinishRouting(Random(1), "near")
    random = Random(3)
    counts = Counter(route(routing, random.randbytes(600), 0.6 + n / 1e4) for n in range(120))
    assert max(counts.values()) < 1.6 * 120 / len(NAMES)


def test_the_map_of_prefixes_is_bounded():
    prefixes = PrefixMap()
    random = Random(1)
    for _ in range(MAX_PREFIXES + 100):
        prefixes.record("c", random.randbytes(256), "u0")
    assert len(prefixes) == MAX_PREFIXES


def test_entries_agree_on_a_new_prefix_of_a_customer_whose_prefixes_are_alike():
    new = Random(9).randbytes(1_024)
    homes = set()
    for seed in range(4):
        routing = ExpectedFinishRouting(Random(seed), "near")
        for number in range(4):
            route(routing, SHARED + Random(number).randbytes(300), 0.6 + 10 * number)
        homes.add(route(routing, new + Random(seed).randbytes(300), 60.0))
    assert len(homes) == 1
