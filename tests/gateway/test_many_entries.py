"""Load pattern: three dozen entries share a nearly full group and choose by each other's news.

News some tenths of a second old let several entries take the same free place, and a request waits
at a full rank while places are free elsewhere. With changes told at once few do.
"""

import heapq
import itertools
from random import Random

from bluebellrun.gateway._gossip import SEND_INTERVAL_S, TOLD_AT_A_TIME
from bluebellrun.gateway._peers import EntryNews, PeerTable, WorkChange

ENTRIES, RANKS, SLOTS = 36, 129, 3
RATE, HOLDS_S, UNTIL_S = 170.0, 1.9, 8.0
ON_THE_WAY_S = 0.002
RANK_NAMES = [f"u{number}" for number in range(RANKS)]


class Fleet:
    """Entries, each with its own table of the others, and ranks with their queues."""

    def __init__(self, tells_changes: bool) -> None:
        self.random = Random(1)
        self.tells_changes = tells_changes
        self.tables = [PeerTable(f"e{number}") for number in range(ENTRIES)]
        self.own = [dict.fromkeys(RANK_NAMES, 0) for _ in range(ENTRIES)]
        self.numbers = [itertools.count(1) for _ in range(ENTRIES)]
        self.told = [0] * ENTRIES
        self.has = dict.fromkeys(RANK_NAMES, 0)
        self.events: list = []
        self.order = itertools.count()
        self.asked = self.queued = 0

    def at(self, when: float, what, *arguments) -> None:
        heapq.heappush(self.events, (when, next(self.order), what, arguments))

    def play(self) -> float:
        """Return the part of requests that came to a full rank, after a warm-up."""
        self.at(0.0, self.arrive)
        for entry in range(ENTRIES):
            self.at(self.random.random() * SEND_INTERVAL_S, self.tell, entry)
        now = 0.0
        while now < UNTIL_S:
            now, _, what, arguments = heapq.heappop(self.events)
            what(now, *arguments)
        return self.queued / self.asked

    def tell(self, now: float, entry: int) -> None:
        running = {name: count for name, count in self.own[entry].items() if count}
        news = EntryNews(f"e{entry}", "i", next(self.numbers[entry]), "", 0.0, running)
        others = [other for other in range(ENTRIES) if other != entry]
        start = self.told[entry] % len(others)
        self.told[entry] = start + TOLD_AT_A_TIME
        for other in (others[start:] + others[:start])[:TOLD_AT_A_TIME]:
            self.at(now + ON_THE_WAY_S, self.hear, other, news)
        self.at(now + SEND_INTERVAL_S, self.tell, entry)

    def hear(self, now: float, entry: int, news: EntryNews | WorkChange) -> None:
        if isinstance(news, WorkChange):
            self.tables[entry].take_change(news)
        else:
            self.tables[entry].take(news, now)

    def change(self, now: float, entry: int, name: str, by: int) -> None:
        self.own[entry][name] += by
        self.has[name] += by
        if not self.tells_changes:
            return
        change = WorkChange(
            f"e{entry}", "i", next(self.numbers[entry]), {name: self.own[entry][name]}
        )
        for other in range(ENTRIES):
            if other != entry:
                self.at(now + ON_THE_WAY_S, self.hear, other, change)

    def arrive(self, now: float) -> None:
        self.at(now + self.random.expovariate(RATE), self.arrive)
        entry = self.random.randrange(ENTRIES)
        own, table = self.own[entry], self.tables[entry]
        load = {name: own[name] + table.running(name) for name in RANK_NAMES}
        least = min(load.values())
        name = self.random.choice([item for item, count in load.items() if count == least])
        if now > UNTIL_S / 3:
            self.asked += 1
            self.queued += self.has[name] >= SLOTS
        self.change(now, entry, name, 1)
        self.at(now + HOLDS_S * self.random.uniform(0.85, 1.15), self.finish, entry, name)

    def finish(self, now: float, entry: int, name: str) -> None:
        self.change(now, entry, name, -1)


def test_few_requests_come_to_a_full_rank_while_places_are_free_elsewhere():
    before, after = Fleet(tells_changes=False).play(), Fleet(tells_changes=True).play()
    assert before > 0.1, before
    assert after < 0.02, after
