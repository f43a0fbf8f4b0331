from dataclasses import replace

from bluebellrun.ledger import (
    ClaimState,
    Declined,
    Finished,
    Granted,
    LedgerLimits,
    OtherRequest,
    Replay,
    ShardLog,
    StoredResult,
    Unsettled,
)
from tests.ledger.fakes import FakeStore, drive, record

LIMITS = LedgerLimits(retention_ms=1_000, compact_segments=4)


def claim(log: ShardLog, store: FakeStore, key: str, attempt: str, now_ms: int = 0, body="f"):
    log.claim(record(key, attempt, body, now_ms))
    return dict(drive(log, store, now_ms))[attempt]


def settle(log: ShardLog, store: FakeStore, key: str, attempt: str, state, result=None) -> None:
    log.settle(replace(record(key, attempt), state=state, result=result))
    drive(log, store)


def test_key_is_granted_once():
    store, log = FakeStore(), ShardLog("s", LIMITS)
    assert claim(log, store, "k", "a") == Granted()
    assert isinstance(claim(log, store, "k", "b"), Unsettled)


def test_two_claims_of_a_key_in_one_batch_grant_one():
    store, log = FakeStore(), ShardLog("s", LIMITS)
    log.claim(record("k", "a"))
    log.claim(record("k", "b"))
    decisions = dict(drive(log, store))
    assert decisions["a"] == Granted()
    assert isinstance(decisions["b"], Unsettled)


def test_reused_key_with_another_body_is_refused():
    store, log = FakeStore(), ShardLog("s", LIMITS)
    claim(log, store, "k", "a")
    assert isinstance(claim(log, store, "k", "b", body="other"), OtherRequest)


def test_stored_result_is_replayed_by_another_process():
    store, log = FakeStore(), ShardLog("s", LIMITS)
    claim(log, store, "k", "a")
    settle(log, store, "k", "a", ClaimState.RAN, StoredResult(200, [], b"done"))
    decision = claim(ShardLog("s", LIMITS), store, "k", "b")
    assert isinstance(decision, Replay)
    assert decision.result.body == b"done"


def test_run_without_a_stored_result_is_finished():
    store, log = FakeStore(), ShardLog("s", LIMITS)
    claim(log, store, "k", "a")
    settle(log, store, "k", "a", ClaimState.RAN)
    assert isinstance(claim(log, store, "k", "b"), Finished)


def test_claim_with_unknown_result_stays_unsettled_until_settled():
    store, log = FakeStore(), ShardLog("s", LIMITS)
    claim(log, store, "k", "a")
    settle(log, store, "k", "a", ClaimState.UNKNOWN)
    assert isinstance(claim(log, store, "k", "b"), Unsettled)
    settle(log, store, "k", "a", ClaimState.RAN)
    assert isinstance(claim(log, store, "k", "c"), Finished)


def test_settlement_is_written_by_an_owner_that_missed_the_claim():
    store, owner, other = FakeStore(), ShardLog("s", LIMITS), ShardLog("s", LIMITS)
    claim(owner, store, "warm", "x")
    claim(other, store, "k", "a")
    settle(owner, store, "k", "a", ClaimState.RAN)
    assert isinstance(claim(ShardLog("s", LIMITS), store, "k", "b"), Finished)


def test_released_key_can_be_claimed_again():
    store, log = FakeStore(), ShardLog("s", LIMITS)
    claim(log, store, "k", "a")
    settle(log, store, "k", "a", ClaimState.RELEASED)
    assert claim(log, store, "k", "b") == Granted()


def test_late_settlement_of_an_earlier_claim_has_no_effect():
    store, log = FakeStore(), ShardLog("s", LIMITS)
    claim(log, store, "k", "a")
    settle(log, store, "k", "a", ClaimState.RELEASED)
    claim(log, store, "k", "b")
    settle(log, store, "k", "a", ClaimState.RELEASED)
    assert isinstance(claim(log, store, "k", "c"), Unsettled)


def test_write_of_a_paused_owner_conflicts_with_its_successor():
    store, paused, owner = FakeStore(), ShardLog("s", LIMITS), ShardLog("s", LIMITS)
    claim(paused, store, "other", "x")
    paused.claim(record("k", "a"))
    action = paused.next_action(0)
    assert claim(owner, store, "k", "b") == Granted()
    assert not store.apply(action.compares, action.puts)
    paused.on_conflict()
    assert isinstance(dict(drive(paused, store))["a"], Unsettled)


def test_write_of_a_paused_owner_conflicts_after_compaction():
    store, paused, owner = FakeStore(), ShardLog("s", LIMITS), ShardLog("s", LIMITS)
    claim(paused, store, "other", "x")
    paused.claim(record("k", "a"))
    action = paused.next_action(0)
    for number in range(12):
        claim(owner, store, "k" if number == 0 else f"k{number}", f"b{number}")
    assert action.compares[1].key not in store.values
    assert not store.apply(action.compares, action.puts)


def test_lost_answer_is_resolved_from_the_stored_state():
    store, log = FakeStore(), ShardLog("s", LIMITS)
    claim(log, store, "other", "x")
    log.claim(record("k", "a"))
    action = log.next_action(0)
    assert store.apply(action.compares, action.puts)
    log.on_answer_lost()
    assert log.next_action(0) is action
    assert dict(drive(log, store))["a"] == Granted()


def test_write_in_doubt_is_retried_until_its_outcome_is_known():
    store, log = FakeStore(), ShardLog("s", LIMITS)
    claim(log, store, "other", "x")
    log.claim(record("k", "a"))
    action = log.next_action(0)
    log.on_answer_lost()
    log.on_unavailable()
    log.claim(record("k2", "b"))
    assert log.next_action(0) is action


def test_claim_abandoned_while_being_written_is_released():
    store, log = FakeStore(), ShardLog("s", LIMITS)
    claim(log, store, "other", "x")
    log.claim(record("k", "a"))
    action = log.next_action(0)
    log.on_answer_lost()
    log.abandon("a")
    assert store.apply(action.compares, action.puts)
    drive(log, store)
    assert claim(ShardLog("s", LIMITS), store, "k", "b") == Granted()


def test_abandoned_claim_that_is_requested_again_is_not_released():
    store, log = FakeStore(), ShardLog("s", LIMITS)
    claim(log, store, "other", "x")
    log.claim(record("k", "a"))
    action = log.next_action(0)
    log.abandon("a")
    log.claim(record("k", "a"))
    assert store.apply(action.compares, action.puts)
    log.on_committed(store.revision, 0)
    assert dict(drive(log, store))["a"] == Granted()
    assert isinstance(claim(ShardLog("s", LIMITS), store, "k", "b"), Unsettled)


def test_compaction_keeps_every_key_in_few_stored_values():
    store, log = FakeStore(), ShardLog("s", LIMITS)
    for number in range(50):
        claim(log, store, f"k{number}", f"a{number}")
    assert len(store.values) < 12
    fresh = ShardLog("s", LIMITS)
    assert isinstance(claim(fresh, store, "k0", "b"), Unsettled)
    assert len(fresh.index) == 50


def test_keys_past_retention_are_deleted_from_the_store():
    store, log = FakeStore(), ShardLog("s", LIMITS)
    for number in range(20):
        claim(log, store, f"k{number}", f"a{number}")
    for number in range(8):
        claim(log, store, f"late{number}", f"l{number}", now_ms=5_000)
    fresh = ShardLog("s", LIMITS)
    assert claim(fresh, store, "k0", "b", now_ms=5_000) == Granted()
    assert len(fresh.index) <= 9


def test_full_shard_declines_new_keys():
    store, log = FakeStore(), ShardLog("s", LedgerLimits(max_records=2))
    claim(log, store, "k1", "a")
    claim(log, store, "k2", "b")
    assert isinstance(claim(log, store, "k3", "c"), Declined)
    assert isinstance(claim(log, store, "k1", "d"), Unsettled)


def test_stored_values_stay_below_the_size_limit_of_the_store():
    store, log = FakeStore(), ShardLog("s", LedgerLimits())
    body = bytes(2_048)
    for number in range(3_000):
        log.claim(record(f"k{number}", f"a{number}"))
    drive(log, store)
    for number in range(3_000):
        done = StoredResult(200, [], body)
        log.settle(replace(record(f"k{number}", f"a{number}"), state=ClaimState.RAN, result=done))
    drive(log, store)
    assert store.max_value_bytes < 1_000_000
