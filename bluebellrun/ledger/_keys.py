"""Key and request digests, shard assignment, shard ownership and key timestamps."""

import hashlib
import uuid
from collections.abc import Iterable

import xxhash
from ulid import ULID

DIGEST_BYTES = 16
TIMESTAMPED_UUID_VERSION = 7
UUID_TIMESTAMP_SHIFT_BITS = 80
MIN_KEY_TIME_MS = 1_577_836_800_000


def _digest(*parts: bytes) -> str:
    """Return a digest of the parts; each is prefixed with its length to mark its boundaries."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def key_digest(customer: str, service: str, key: str) -> str:
    """Return the digest of a key in the scope of one customer and one service."""
    return _digest(customer.encode(), service.encode(), key.encode())


def request_fingerprint(method: str, target: str, body: bytes) -> str:
    """Return the digest of a request's method, target and body."""
    return _digest(method.encode(), target.encode(), body)


def shard_of(key: str, shards: int) -> int:
    """Return the shard number of a key digest."""
    return int(key[:8], 16) % shards


def owner_of(shard: int, names: Iterable[str]) -> str | None:
    """Choose the owner of a shard among process names by rendezvous hashing."""
    return max(
        names,
        key=lambda name: (xxhash.xxh3_64_intdigest(f"{shard}/{name}".encode()), name),
        default=None,
    )


def key_time_ms(key: str, now_ms: int) -> int | None:
    """Return the creation time of a ULID or version 7 UUID, in ms since the epoch.

    Returns none for any other key, and for a time before 2020 or in the future, since such a key
    only resembles a ULID or UUID.
    """
    created_ms = _uuid_time_ms(key) or _ulid_time_ms(key) or 0
    return created_ms if MIN_KEY_TIME_MS <= created_ms <= now_ms else None


def _uuid_time_ms(key: str) -> int | None:
    """Return the time in a version 7 UUID in ms, or none if the key is not one."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    return (
        parsed.int >> UUID_TIMESTAMP_SHIFT_BITS
        if parsed.version == TIMESTAMPED_UUID_VERSION
        else None
    )


def _ulid_time_ms(key: str) -> int | None:
    """Return the time in a ULID in ms, or none if the key is not one."""
    try:
        return ULID.from_str(key).milliseconds
    except ValueError:
        return None
