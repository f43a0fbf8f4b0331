from bluebellrun.admission._concurrency import ConcurrencyLimit

STEP_S = 0.04
PROMPT_S = 0.05


def observe(limit: ConcurrencyLimit, starts: int, slots: int) -> None:
    """Start work at the limit; beyond the slots it queues in the engine."""
    for _ in range(starts):
        limit.observe_step(STEP_S)
        queued = limit.limit > slots
        limit.observe_first_token(PROMPT_S + (4 * STEP_S if queued else 0.0), True)


def test_the_limit_rises_to_the_engines_slots():
    limit = ConcurrencyLimit(4)
    observe(limit, 3_000, slots=12)
    assert 12 <= limit.limit <= 13


def test_the_limit_falls_to_the_engines_slots():
    limit = ConcurrencyLimit(16)
    limit.observe_first_token(PROMPT_S, True)
    observe(limit, 500, slots=10)
    assert 10 <= limit.limit <= 11


def test_the_limit_falls_when_steps_exceed_the_gap_target():
    limit = ConcurrencyLimit(8)
    limit.set_gap_target(0.06)
    for _ in range(300):
        limit.observe_step(0.01 * limit.limit)
        limit.observe_first_token(PROMPT_S, True)
    assert 4 <= limit.limit <= 6


def test_the_limit_never_falls_below_half_of_the_declared_value():
    limit = ConcurrencyLimit(8)
    limit.set_gap_target(0.001)
    observe(limit, 1_000, slots=1)
    assert limit.limit == 4
