"""Digests of keys and requests, the shard of a key, the owner of a shard, the age of a key."""

import hashlib
import uuid
from collections.abc import Iterable

import xxhash
from ulid import ULID

DIGEST_BYTES = 16
UUID_VERSION_WITH_TIME = 7
UUID_TIME_SHIFT = 80
EARLIEST_KEY_MS = 1_577_836_800_000


def _digest(*parts: bytes) -> str:
    """Return a digest that depends on the parts and on where each ends."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def key_digest(customer: str, service: str, key: str) -> str:
    """Return the digest of a key, which belongs to one customer and one service."""
    return _digest(customer.encode(), service.encode(), key.encode())


def request_fingerprint(method: str, target: str, body: bytes) -> str:
    """Return the digest of what a request asks for."""
    return _digest(method.encode(), target.encode(), body)


def shard_of(key: str, shards: int) -> int:
    """Return the shard that a key's digest belongs to."""
    return int(key[:8], 16) % shards


def owner_of(shard: int, names: Iterable[str]) -> str | None:
    """Return the owner of a shard among process names, by rendezvous hashing."""
    return max(
        names,
        key=lambda name: (xxhash.xxh3_64_intdigest(f"{shard}/{name}".encode()), name),
        default=None,
    )


def key_time_ms(key: str, now_ms: int) -> int | None:
    """Return when a ULID or a version 7 UUID was made, in ms since the epoch.

    None for any other key, and for one whose time is before 2020 or still to come: it only looks
    like such an id.
    """
    made_ms = _uuid_time_ms(key) or _ulid_time_ms(key) or 0
    return made_ms if EARLIEST_KEY_MS <= made_ms <= now_ms else None


def _uuid_time_ms(key: str) -> int | None:
    """Return the time in a version 7 UUID, or none where a key is not one."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    return parsed.int >> UUID_TIME_SHIFT if parsed.version == UUID_VERSION_WITH_TIME else None


def _ulid_time_ms(key: str) -> int | None:
    """Return the time in a ULID, or none where a key is not one."""
    try:
        return ULID.from_str(key).milliseconds
    except ValueError:
        return None
