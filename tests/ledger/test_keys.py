from uuid import UUID

from ulid import ULID

from bluebellrun.ledger import key_digest, key_time_ms, owner_of, request_fingerprint

NOW_MS = 1_800_000_000_000
UUID7 = UUID(int=(1_700_000_000_000 << 80) | (7 << 76) | (2 << 62))


def test_key_digest_depends_on_customer_and_service():
    digests = {
        key_digest(*names, "k") for names in [("a", "s"), ("b", "s"), ("a", "t"), ("as", "")]
    }
    assert len(digests) == 4


def test_request_fingerprint_depends_on_method_target_and_body():
    parts = [("POST", "/a", b"x"), ("PUT", "/a", b"x"), ("POST", "/b", b"x"), ("POST", "/a", b"y")]
    assert len({request_fingerprint(*part) for part in parts}) == 4


def test_key_time_is_read_from_ulid_and_uuid7():
    assert key_time_ms(str(UUID7), NOW_MS) == 1_700_000_000_000
    assert key_time_ms(str(ULID.from_timestamp(1_700_000_000.0)), NOW_MS) == 1_700_000_000_000


def test_key_time_is_none_for_other_keys():
    for key in ["reel-7", "00000000000000000000000007", "3f0c1f3e-8a3c-4c3e-9d53-0a3a6f6f3b55"]:
        assert key_time_ms(key, NOW_MS) is None


def test_shard_changes_owner_only_when_its_owner_is_removed():
    names = ["a", "b", "c", "d"]
    before = {shard: owner_of(shard, names) for shard in range(200)}
    after = {shard: owner_of(shard, ["a", "b", "c"]) for shard in range(200)}
    assert set(before.values()) == set(names)
    assert all(after[s] == owner for s, owner in before.items() if owner != "d")
    assert owner_of(1, []) is None
