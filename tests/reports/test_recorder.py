import pytest
from hypothesis import given
from hypothesis import strategies as st

from bluebellrun.reports import Counts, Observation, Recorder, Snapshot, Verdict, make_report
from bluebellrun.reports._recorder import MAX_KEYS_IN_SPAN, OTHER_CUSTOMERS

START = 1_700_000_000.0


def seen(verdict: Verdict = Verdict.GOOD, customer: str = "a", urgency: int = 1) -> Observation:
    return Observation(urgency, customer, verdict, 0.2, 1.0)


def total(recorder: Recorder, window_s: int, now: float) -> int:
    return sum(row.counts.total for row in recorder.rows(now) if row.window_s == window_s)


def test_a_request_leaves_each_window_when_it_is_past():
    recorder = Recorder(START)
    recorder.record(seen(), START)
    kept = {
        window_s: [total(recorder, window_s, START + age) for age in (0, 301 + 10, 3_661, 22_200)]
        for window_s in (300, 3_600, 21_600, 259_200)
    }
    assert kept == {
        300: [1, 0, 0, 0],
        3_600: [1, 1, 0, 0],
        21_600: [1, 1, 1, 0],
        259_200: [1, 1, 1, 1],
    }


def test_memory_is_bounded_by_spans_and_by_customers():
    recorder = Recorder(START)
    for number in range(MAX_KEYS_IN_SPAN + 50):
        recorder.record(seen(customer=f"c-{number}"), START)
    for hour in range(200):
        recorder.record(seen(), START + 3_600 * hour)
    spans = [len(window) for window in recorder._windows.values()]
    assert max(spans) <= 73
    first = [row for row in recorder.rows(START) if row.window_s == 259_200]
    assert len(first) <= MAX_KEYS_IN_SPAN + 1


def test_customers_beyond_the_bound_are_counted_together():
    recorder = Recorder(START)
    for number in range(MAX_KEYS_IN_SPAN + 50):
        recorder.record(seen(customer=f"c-{number}"), START)
    rows = [row for row in recorder.rows(START) if row.window_s == 300]
    others = [row for row in rows if row.customer == OTHER_CUSTOMERS]
    assert [row.counts.total for row in others] == [50]
    assert total(recorder, 300, START) == MAX_KEYS_IN_SPAN + 50


@given(
    st.lists(
        st.tuples(
            st.sampled_from(list(Verdict)),
            st.sampled_from("abc"),
            st.integers(0, 7),
            st.floats(0, 400),
        ),
        max_size=60,
    )
)
def test_windows_and_series_count_exactly_what_was_recorded(items):
    recorder, now = Recorder(START), START
    expected: list[tuple[float, Verdict]] = []
    for verdict, customer, urgency, pause_s in items:
        now += pause_s
        recorder.record(seen(verdict, customer, urgency), now)
        expected.append((now - 1.0, verdict))
    assert total(recorder, 259_200, now) == len(expected)
    recent = sum(moment > now - 300 for moment, _ in expected)
    margin = sum(now - 310 <= moment <= now - 300 for moment, _ in expected)
    assert recent <= total(recorder, 300, now) <= recent + margin
    by_verdict = Counts()
    for row in recorder.rows(now):
        if row.window_s == 259_200:
            by_verdict = by_verdict.add(row.counts)
    for verdict in Verdict:
        assert getattr(by_verdict, verdict) == sum(item is verdict for _, item in expected)


def snapshot(recorder: Recorder, now: float, process: str = "e-1", **fields: object) -> Snapshot:
    return Snapshot.model_validate(
        {
            "process": process,
            "incarnation": "i",
            "version": 1,
            "taken_at": now,
            "memory_s": recorder.memory_s(now),
            "rows": recorder.rows(now),
            "series": recorder.series(now),
            "latencies": recorder.latencies(now),
            "objectives": [
                {
                    "name": "o",
                    "priority": "urgent",
                    "urgency": 1,
                    "customer": "",
                    "on_time": 0.99,
                    "whole": 0.999,
                }
            ],
            "priorities": {1: "urgent", 6: "bulk"},
        }
        | fields
    )


def test_burn_rates_and_budgets_are_those_of_all_processes_together():
    snapshots = []
    for process in ("e-1", "e-2"):
        recorder = Recorder(START - 300_000)
        for number in range(100):
            verdict = Verdict.LATE if number < 2 else Verdict.GOOD
            recorder.record(seen(verdict), START)
        snapshots.append(snapshot(recorder, START, process))
    (burn,) = make_report(snapshots).objectives
    assert [item.requests for item in burn.windows] == [200] * 4
    assert burn.windows[0].on_time_rate == pytest.approx(2.0)
    assert burn.windows[0].whole_rate == 0.0
    assert burn.on_time_budget_left == pytest.approx(-1.0)
    assert burn.reasons.late == 4


def test_a_replaced_process_is_named_for_what_it_forgot():
    young, old = Recorder(START - 600), Recorder(START - 400_000)
    report = make_report(
        [snapshot(young, START, "young"), snapshot(old, START, "old")], missing=["10.0.0.9:80"]
    )
    hour = report.coverage[1]
    assert hour.short_of_memory == ("young",)
    assert hour.remembered == pytest.approx((600 / 3_600 + 1) / 2)
    assert report.coverage[0].remembered == 1.0
    assert report.missing == ("10.0.0.9:80",)


def test_a_long_request_is_counted_when_it_arrived_not_when_it_ended():
    recorder = Recorder(START)
    recorder.record(seen(), START + 101)
    recorder.record(Observation(1, "a", Verdict.LATE, 90.0, 95.0), START + 105)
    starts = [(p.start - START, p.counts.total) for p in recorder.series(START + 105)]
    assert starts[:2] == [(10, 1), (100, 1)]
    recorder.record(Observation(1, "a", Verdict.LATE, 90.0, 400.0), START + 500)
    assert total(recorder, 300, START + 500) == 0
    assert total(recorder, 3_600, START + 500) == 3


def test_latencies_of_processes_are_merged_by_histogram():
    fast, slow = Recorder(START), Recorder(START)
    for _ in range(90):
        fast.record(Observation(1, "a", Verdict.GOOD, 0.1, 1.0), START)
    for _ in range(10):
        slow.record(Observation(1, "a", Verdict.LATE, 3.0, 9.0), START)
    report = make_report([snapshot(fast, START, "a"), snapshot(slow, START, "b")])
    (latency,) = report.latencies
    assert latency.first_byte_p50_s == pytest.approx(0.1, rel=0.02)
    assert latency.first_byte_p95_s == pytest.approx(3.0, rel=0.02)


def test_the_worst_customers_come_first_with_their_reasons():
    recorder = Recorder(START)
    for customer, count in (("few", 2), ("many", 9)):
        for _ in range(count):
            recorder.record(seen(Verdict.REFUSED, customer), START)
    recorder.record(seen(Verdict.GOOD, "well"), START)
    report = make_report([snapshot(recorder, START)])
    assert [(item.customer, item.bad) for item in report.worst_customers] == [
        ("many", 9),
        ("few", 2),
    ]


def test_a_flood_is_found_and_what_the_others_kept_is_told():
    recorder = Recorder(START)
    for span in range(12):
        now = START + 10 * span
        flooded = span in (6, 7)
        for number in range(100 if flooded else 5):
            verdict = Verdict.REFUSED if flooded and number >= 5 else Verdict.GOOD
            recorder.record(seen(verdict, urgency=6), now)
        for number in range(10):
            late = flooded and number == 0
            recorder.record(seen(Verdict.LATE if late else Verdict.GOOD), now)
    report = make_report([snapshot(recorder, START + 115)])
    (flood,) = report.floods
    assert (flood.flooding, flood.urgency, flood.spans) == (6, 1, 2)
    assert flood.kept == pytest.approx(0.9)
    assert flood.on_time_outside == 1.0


def test_a_priority_that_merely_starts_to_ask_is_no_flood():
    recorder = Recorder(START)
    for span in range(12):
        for _ in range(0 if span < 7 else 15):
            recorder.record(seen(), START + 10 * span)
            recorder.record(seen(urgency=6), START + 10 * span)
    assert make_report([snapshot(recorder, START + 115)]).floods == ()


def test_small_customers_are_told_apart_from_large_ones():
    recorder = Recorder(START)
    for number in range(200):
        recorder.record(seen(Verdict.GOOD if number % 2 else Verdict.LATE, "large"), START)
    for customer in ("s-1", "s-2", "s-3"):
        recorder.record(seen(customer=customer), START)
    sizes = make_report([snapshot(recorder, START)]).sizes
    assert sizes is not None
    assert (sizes.large, sizes.small) == (("large",), ("s-1", "s-2", "s-3"))
    assert (sizes.large_on_time, sizes.small_on_time) == (0.5, 1.0)


def test_skew_is_that_of_the_ranks_of_a_group():
    recorder = Recorder(START)
    upstreams = [
        {"name": f"u-{rank}", "service": "s", "group": "g", "rank": rank, "step_s": step}
        for rank, step in enumerate((0.1, 0.1, 0.1, 0.3))
    ]
    (skew,) = make_report([snapshot(recorder, START, upstreams=upstreams)]).skew
    assert (skew.group, skew.slowest, skew.skew) == ("g", "u-3", pytest.approx(2.0))
    assert skew.idle_share == pytest.approx(0.5)
