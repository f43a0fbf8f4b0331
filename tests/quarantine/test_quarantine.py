"""Which prompts are kept from upstreams, as crashes and answers tell; no network, no clock."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bluebellrun.quarantine import (
    Allowed,
    CrashReport,
    Pending,
    Probe,
    PromptQuarantine,
    Quarantined,
    QuarantineSettings,
)

SETTINGS = QuarantineSettings()
SETTLED = SETTINGS.settle_s + 0.1
SERVICE = "s"


class Entry:
    """One entry's quarantine, with a clock that the test moves."""

    def __init__(
        self, settings: QuarantineSettings = SETTINGS, fails_together: bool = False
    ) -> None:
        self.quarantine = PromptQuarantine(settings, lambda service: fails_together)
        self.now = 100.0

    def crash(self, upstream: str, *parts: str, beginning: bool = True, prompt: str = "") -> bool:
        return self.quarantine.record_crash(
            SERVICE, (upstream, 1), parts, beginning=beginning, now=self.now, prompt=prompt
        )

    def answer(self, *parts: str, prompt: str = "") -> list[str]:
        return self.quarantine.record_answer(SERVICE, parts, self.now, prompt)

    def decide(self, *parts: str) -> object:
        return self.quarantine.decide(SERVICE, parts, self.now)

    def settle(self) -> None:
        self.now += SETTLED
        self.quarantine.expire(self.now)

    def hear(self, other: "Entry") -> None:
        for report in other.quarantine.reports(other.now):
            self.quarantine.apply(report, self.now)
        self.quarantine.apply_peer_probes("other", other.quarantine.probes, self.now)


# Guards against a second crash by a part whose first crash left no doubt.
def test_a_part_under_which_an_answer_was_beginning_is_quarantined_after_one_crash():
    entry = Entry()
    entry.answer("common")
    assert entry.crash("u1", "common", "dead")
    assert isinstance(entry.decide("dead"), Pending)
    entry.settle()
    decision = entry.decide("other", "dead")
    assert isinstance(decision, Quarantined)
    assert (decision.part, decision.crashes) == ("dead", 1)
    assert isinstance(entry.decide("common", "new"), Allowed)


# Guards against refusing sound requests that share other parts with a crashing one.
def test_a_request_with_only_some_of_the_suspected_parts_is_probed_and_clears_them():
    entry = Entry()
    entry.crash("u1", "common", "dead")
    entry.settle()
    assert isinstance(entry.decide("common", "dead"), Quarantined)
    decision = entry.decide("common")
    assert decision == Probe(("common",))
    entry.quarantine.begin_probe(decision.parts, entry.now)
    assert isinstance(entry.decide("common"), Pending)
    assert entry.answer("common") == ["common"]
    entry.quarantine.end_probe(decision.parts)
    assert isinstance(entry.decide("common"), Allowed)
    assert isinstance(entry.decide("dead"), Quarantined)


def test_a_request_that_only_waited_accuses_its_parts_if_no_answer_was_beginning():
    entry = Entry()
    entry.crash("u1", "waited", beginning=False)
    entry.settle()
    assert entry.decide("waited") == Probe(("waited",))
    entry.crash("u2", "waited", beginning=False)
    entry.settle()
    assert isinstance(entry.decide("waited"), Quarantined)


def test_a_request_that_only_waited_is_not_accused_beside_an_answer_that_was_beginning():
    entry = Entry()
    entry.crash("u1", "waited", beginning=False)
    entry.crash("u1", "dead")
    entry.settle()
    assert isinstance(entry.decide("waited"), Allowed)
    assert isinstance(entry.decide("dead"), Quarantined)


@pytest.mark.parametrize("crashes", [1, 2, 5])
# Guards against refusing a sound part for ever because upstreams were killed under it.
def test_an_upstream_that_was_killed_accuses_nobody_for_good(crashes):
    entry = Entry()
    for number in range(crashes):
        entry.crash(f"u{number}", "sound")
    entry.settle()
    decision = entry.decide("sound")
    assert isinstance(decision, Quarantined)
    entry.now += decision.retry_after_s
    assert decision.retry_after_s <= SETTINGS.max_s
    assert entry.decide("sound") == Probe(("sound",))
    entry.answer("sound")
    assert isinstance(entry.decide("sound"), Allowed)


def test_a_probe_that_crashes_an_upstream_too_extends_the_quarantine():
    entry = Entry()
    lasted = []
    for number in range(6):
        entry.crash(f"u{number}", "dead")
        entry.settle()
        decision = entry.decide("dead")
        assert isinstance(decision, Quarantined)
        lasted.append(round(decision.retry_after_s, 6))
        entry.now += decision.retry_after_s
        assert isinstance(entry.decide("dead"), Probe)
    assert lasted == sorted(lasted)
    assert lasted[-1] <= SETTINGS.max_s


# Guards against one bad part hiding another one that comes at the same time.
def test_two_parts_at_once_are_both_quarantined_after_one_crash_each():
    entry = Entry()
    entry.answer("common")
    entry.crash("u1", "common", "dead")
    entry.crash("u2", "common", "bad")
    entry.settle()
    assert isinstance(entry.decide("dead"), Quarantined)
    assert isinstance(entry.decide("bad"), Quarantined)
    assert isinstance(entry.decide("common"), Allowed)


def test_two_parts_on_one_upstream_are_told_apart_by_answers():
    entry = Entry()
    entry.crash("u1", "common", "dead")
    entry.crash("u1", "common", "sound")
    entry.settle()
    assert isinstance(entry.decide("common", "sound"), Probe)
    entry.answer("common", "sound")
    decision = entry.decide("common", "dead")
    assert isinstance(decision, Quarantined)
    assert decision.part == "dead"


def test_answers_before_the_crash_clear_a_part_at_every_entry():
    seen, saw_crash, third = Entry(), Entry(), Entry()
    seen.answer("common")
    saw_crash.crash("u1", "common")
    seen.hear(saw_crash)
    saw_crash.hear(seen)
    third.hear(saw_crash)
    for entry in (seen, saw_crash, third):
        entry.settle()
        assert isinstance(entry.decide("common"), Allowed)


def test_an_entry_that_starts_learns_of_crashes_and_clearances_from_any_other():
    first, second = Entry(), Entry()
    first.answer("common")
    first.crash("u1", "common", "dead")
    second.hear(first)
    started = Entry()
    started.now = 1_000.0
    started.hear(second)
    started.settle()
    assert isinstance(started.decide("dead"), Quarantined)
    assert isinstance(started.decide("common"), Allowed)


def test_the_quarantine_ends_at_the_same_moment_on_an_entry_that_learns_of_it_late():
    first, late = Entry(), Entry()
    first.crash("u1", "dead")
    first.now += 40.0
    late.hear(first)
    decision = late.decide("dead")
    assert isinstance(decision, Quarantined)
    assert decision.retry_after_s == pytest.approx(SETTINGS.first_s - 40.0)


def test_a_part_probed_by_another_entry_waits_for_the_result():
    first, second = Entry(), Entry()
    first.crash("u1", "waited", beginning=False)
    first.settle()
    second.now = first.now
    second.hear(first)
    first.quarantine.begin_probe(("waited",), first.now)
    second.hear(first)
    assert isinstance(second.decide("waited"), Pending)
    second.settle()
    assert isinstance(second.decide("waited"), Probe)


# Guards against several entries that end an upstream each as a quarantine ends.
def test_of_entries_that_probe_a_part_at_once_one_goes_on():
    entries = {name: Entry() for name in "abc"}
    for entry in entries.values():
        entry.crash("u1", "waited", beginning=False)
        entry.settle()
        decision = entry.decide("waited")
        assert isinstance(decision, Probe)
        entry.quarantine.begin_probe(decision.parts, entry.now)
    for name, entry in entries.items():
        for other, peer in entries.items():
            if other != name:
                probes = peer.quarantine.probes
                entry.quarantine.apply_peer_probes(other, probes, entry.now)
    yielding = [n for n, e in entries.items() if e.quarantine.yields_probe(["waited"], n, e.now)]
    assert yielding == ["b", "c"]


def test_a_probe_without_a_result_does_not_keep_a_part_for_ever():
    entry = Entry()
    entry.crash("u1", "waited", beginning=False)
    entry.settle()
    entry.quarantine.begin_probe(("waited",), entry.now)
    entry.now += SETTINGS.probe_s + 0.1
    entry.quarantine.expire(entry.now)
    assert isinstance(entry.decide("waited"), Probe)


# Guards against a part that was answered once and crashes upstreams since, as with a new model.
def test_a_part_that_was_answered_before_is_accused_by_the_second_crash():
    entry = Entry()
    entry.answer("common", "dead")
    entry.crash("u1", "common", "dead")
    entry.settle()
    assert isinstance(entry.decide("common", "dead"), Allowed)
    entry.answer("common")
    entry.crash("u2", "common", "dead")
    entry.settle()
    assert isinstance(entry.decide("common", "dead"), Quarantined)
    assert isinstance(entry.decide("common"), Allowed)


def test_services_are_judged_apart():
    entry = Entry()
    entry.crash("u1", "dead")
    entry.settle()
    assert isinstance(entry.quarantine.decide("other", ("dead",), entry.now), Allowed)


def test_what_is_known_ends_with_the_retention():
    entry = Entry()
    entry.answer("common")
    entry.crash("u1", "dead")
    entry.now += SETTINGS.retention_s + 1
    entry.quarantine.expire(entry.now)
    assert entry.quarantine.reports(entry.now) == []
    assert isinstance(entry.decide("dead"), Allowed)


# Guards against memory that grows with what callers send.
def test_the_state_is_bounded_however_many_parts_are_sent():
    settings = QuarantineSettings(max_crashes=8, max_parts_per_crash=4, max_cleared_parts=50)
    entry = Entry(settings)
    for number in range(1_000):
        entry.answer(f"p{number}", f"q{number}")
        entry.crash(f"u{number}", *(f"x{number}-{part}" for part in range(10)))
        entry.crash(f"u{number}", *(f"y{number}-{part}" for part in range(10)), beginning=False)
        entry.now += 0.01
    reports = entry.quarantine.reports(entry.now)
    assert len(reports) == 8
    assert all(len(report.beginning) <= 4 and len(report.waiting) <= 4 for report in reports)
    assert len(entry.quarantine._answered) == 50
    assert entry.quarantine.suspect_count() <= 8 * 4
    for number in range(1_000):
        entry.quarantine.apply_peer_probes(f"e{number}", [f"z{part}" for part in range(9)], 0.0)
    entry.quarantine.expire(entry.now)
    assert len(entry.quarantine._peer_probes) == 0


# Guards against a crash that keeps the process busy for long: each part compared with each other.
def test_parts_that_the_same_crashes_accuse_are_judged_together():
    entry = Entry()
    for number in range(SETTINGS.max_crashes):
        parts = [f"{number}-{part}" for part in range(SETTINGS.max_parts_per_crash)]
        entry.crash(f"u{number}", *parts)
    suspects = entry.quarantine._suspects[SERVICE].values()
    assert len(suspects) == SETTINGS.max_crashes * SETTINGS.max_parts_per_crash
    assert len({id(suspect) for suspect in suspects}) == SETTINGS.max_crashes


def test_of_a_long_prompt_the_parts_that_were_never_answered_are_kept():
    entry = Entry(QuarantineSettings(max_parts_per_crash=4))
    common = [f"c{number}" for number in range(20)]
    entry.answer(*common)
    entry.crash("u1", *common, "dead")
    entry.settle()
    assert isinstance(entry.decide(*common, "dead"), Quarantined)


@given(seed=st.integers(0, 10_000), lost=st.floats(0.0, 0.8))
# Guards against entries that disagree after reports were lost, delayed and received twice.
def test_entries_agree_once_their_reports_have_arrived_in_any_order(seed, lost):
    random = Random(seed)
    entries = [Entry() for _ in range(4)]
    parts = ["a", "b", "dead"]
    for number in range(12):
        entry = random.choice(entries)
        if random.random() < 0.5:
            beginning = random.random() < 0.5
            chosen = random.sample(parts, 2)
            entry.crash(f"u{number // 3}", *chosen, beginning=beginning)
        else:
            entry.answer(random.choice("ab"))
        for other in entries:
            if random.random() >= lost:
                other.hear(entry)
    for _ in entries:
        for first in entries:
            for second in entries:
                first.hear(second)
    known = [sorted(entry.quarantine.suspects(SERVICE)) for entry in entries]
    assert all(suspects == known[0] for suspects in known)


def test_reports_of_nothing_and_of_too_long_ago_are_ignored():
    entry = Entry()
    assert not entry.quarantine.apply(CrashReport(SERVICE, "u", 1, 0.0, [], []), entry.now)
    old = CrashReport(SERVICE, "u", 1, SETTINGS.retention_s + 1, ["dead"], [])
    assert not entry.quarantine.apply(old, entry.now)


# Guards against one whole prompt, whose shared parts are answered in others, crashing replica
# after replica.
def test_a_prompt_whose_parts_were_all_answered_is_quarantined_after_one_crash():
    entry, other = Entry(), Entry()
    entry.answer("common", prompt="sound")
    assert entry.crash("u1", "common", prompt="deadly")
    other.hear(entry)
    for side in (entry, other):
        side.settle()
        decision = side.decide("common", "deadly")
        assert isinstance(decision, Quarantined)
        assert decision.part == "deadly"
        assert isinstance(side.decide("common", "sound"), Allowed)
        assert isinstance(side.decide("common", "new"), Allowed)


def test_a_prompt_is_accused_once_its_parts_are_cleared():
    entry = Entry()
    entry.crash("u1", "common", prompt="deadly")
    entry.settle()
    assert isinstance(entry.decide("common", "new"), Quarantined)
    assert entry.answer("common", prompt="sound") == ["common"]
    assert isinstance(entry.decide("common", "new"), Allowed)
    assert isinstance(entry.decide("common", "deadly"), Quarantined)


def test_a_prompt_that_is_answered_is_cleared_before_and_after_a_crash():
    entry = Entry()
    entry.answer("common", prompt="sound")
    assert not entry.crash("u1", "common", prompt="sound")
    entry.crash("u2", "common", prompt="in progress elsewhere")
    assert entry.answer("common", prompt="in progress elsewhere") == ["in progress elsewhere"]
    entry.settle()
    assert isinstance(entry.decide("in progress elsewhere"), Allowed)


def test_a_prompt_that_only_waited_is_not_accused():
    entry = Entry()
    entry.answer("common", prompt="sound")
    assert not entry.crash("u1", "common", beginning=False, prompt="waiting")
    entry.settle()
    assert isinstance(entry.decide("common", "waiting"), Allowed)


def test_of_two_prompts_that_were_beginning_the_answered_one_is_cleared():
    entry = Entry()
    entry.answer("common", prompt="other")
    entry.crash("u1", "common", prompt="deadly")
    entry.crash("u1", "common", prompt="sound")
    entry.settle()
    assert isinstance(entry.decide("common", "sound"), Probe)
    entry.answer("common", prompt="sound")
    assert isinstance(entry.decide("common", "deadly"), Quarantined)


# Guards: a part that was answered once and crashes upstreams in ever new prompts was never accused.
def test_a_part_that_crashes_under_different_prompts_have_in_common_is_accused():
    entry = Entry()
    entry.answer("dead", "a", prompt="sound")
    entry.crash("u1", "dead", "a", prompt="first")
    entry.settle()
    entry.crash("u2", "dead", prompt="second")
    entry.settle()
    assert entry.crash("u3", "dead", "b", prompt="third")
    entry.settle()
    assert not isinstance(entry.decide("dead", "new"), Allowed)


# Guards against refusing sound requests for good that waited at upstreams of a group which ended
# one after the other in one outage.
@pytest.mark.parametrize("gap_s", [0.0, 1.2, 4.0])
def test_crashes_in_one_outage_of_a_group_count_as_one(gap_s: float):
    entry = Entry(fails_together=True)
    entry.answer("other")
    for number in range(8):
        entry.crash(f"u{number}", "waiting", beginning=False)
        entry.now += gap_s if number == 3 else 0.001
    entry.settle()
    assert isinstance(entry.decide("waiting"), Probe)


def test_crashes_in_two_outages_of_a_group_confirm_each_other():
    entry = Entry(fails_together=True)
    entry.crash("u1", "waiting", beginning=False)
    entry.now += 4.0
    entry.answer("other")
    entry.crash("u2", "waiting", beginning=False)
    entry.settle()
    decision = entry.decide("waiting")
    assert isinstance(decision, Quarantined)
    assert decision.crashes == 2


def test_upstreams_of_a_group_that_end_together_under_answers_are_one_outage():
    entry = Entry(fails_together=True)
    entry.crash("u1", "hot")
    entry.crash("u2", "hot")
    entry.settle()
    decision = entry.decide("hot")
    assert isinstance(decision, Quarantined)
    assert (decision.crashes, decision.retry_after_s <= SETTINGS.first_s) == (1, True)


def test_crashes_long_after_one_another_are_independent_without_an_answer():
    entry = Entry(fails_together=True)
    entry.crash("u1", "dead", beginning=False)
    entry.now += SETTINGS.max_outage_s + 0.1
    entry.crash("u2", "dead", beginning=False)
    entry.settle()
    assert isinstance(entry.decide("dead"), Quarantined)
