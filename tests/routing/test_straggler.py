from bluebellrun.routing._straggler import StragglerDetector

TYPICAL_S = 0.04
REPORT_S = 0.1


def report(detector: StragglerDetector, steps: dict[str, float], start: float, count: int) -> float:
    for number in range(count):
        for name, step_s in steps.items():
            detector.observe(name, step_s, start + number * REPORT_S)
    return start + count * REPORT_S


def typical(number: int = 4) -> dict[str, float]:
    return {f"u{n}": TYPICAL_S * (1 + n / 10) for n in range(number)}


def test_an_upstream_straggles_from_its_slowdown_to_its_recovery():
    detector = StragglerDetector()
    now = report(detector, typical(), 0.0, 50)
    now = report(detector, typical() | {"u1": 5 * TYPICAL_S}, now, 5)
    assert detector.stragglers == {"u1"}
    now = report(detector, typical() | {"u1": 5 * TYPICAL_S}, now, 2_000)
    assert detector.stragglers == {"u1"}, "a long fault does not become the norm"
    report(detector, typical(), now, 5)
    assert detector.stragglers == frozenset()


def test_an_upstream_that_was_always_slower_is_not_a_straggler():
    detector = StragglerDetector()
    report(detector, typical() | {"slow": 4 * TYPICAL_S}, 0.0, 50)
    assert detector.stragglers == frozenset()


def test_a_rise_that_all_share_is_load():
    detector = StragglerDetector()
    now = report(detector, typical(), 0.0, 50)
    report(detector, {name: 3 * step for name, step in typical().items()}, now, 20)
    assert len(detector.stragglers) <= 2


def test_one_slow_report_is_not_enough():
    detector = StragglerDetector()
    now = report(detector, typical(), 0.0, 50)
    detector.observe("u1", 5 * TYPICAL_S, now)
    detector.observe("u1", 5 * TYPICAL_S, now)
    assert detector.stragglers == frozenset()


def test_departed_upstreams_are_forgotten():
    detector = StragglerDetector()
    now = report(detector, typical(), 0.0, 50)
    report(detector, {"u1": 5 * TYPICAL_S}, now, 5)
    detector.retain({"u0"})
    assert detector.stragglers == frozenset()


def test_first_reports_that_are_too_low_make_no_straggler():
    detector = StragglerDetector()
    now = report(detector, typical() | {"u1": TYPICAL_S / 5}, 0.0, 15)
    report(detector, typical(), now, 50)
    assert detector.stragglers == frozenset()
