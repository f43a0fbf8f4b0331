"""The customer model and the registry that looks up customers by key."""

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

MAX_KEYS = 2


def hash_key(key: str) -> str:
    """Return the SHA-256 of a key in hexadecimal, the form in which keys are declared."""
    return hashlib.sha256(key.encode()).hexdigest()


@dataclass(frozen=True, slots=True)
class Customer:
    """A customer of the fleet.

    ``most_urgent`` is the lowest RFC 9218 urgency number it may use; ``share`` is its weight
    relative to other customers of the same priority.
    """

    name: str
    key_hashes: tuple[str, ...]
    most_urgent: int = 0
    share: float = 1.0
    services: tuple[str, ...] = ()
    service_shares: Mapping[str, float] = field(default_factory=dict, hash=False)

    def share_of(self, service: str) -> float:
        """Return the share declared for a service, or the general share."""
        return self.service_shares.get(service, self.share)

    def capped_priority(self, requested: int) -> int:
        """Return the requested urgency number, or ``most_urgent`` if that is higher."""
        return max(requested, self.most_urgent)

    def may_use(self, service: str) -> bool:
        """Return whether it may use a service; an empty list permits every service."""
        return not self.services or service in self.services


class CustomerRegistry:
    """Look up customers by the hash of their key."""

    def __init__(self, customers: Iterable[Customer]) -> None:
        self._by_hash = {
            key_hash: customer for customer in customers for key_hash in customer.key_hashes
        }

    def find(self, key: str) -> Customer | None:
        """Return the customer that a key belongs to, or none."""
        return self._by_hash.get(hash_key(key))
