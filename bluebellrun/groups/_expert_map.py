"""The expert map: which rank holds which expert of each layer."""

import hashlib
from dataclasses import dataclass
from typing import Any

import numpy as np
from numpy.typing import NDArray

from bluebellrun.groups._exceptions import InvalidExpertMapError
from bluebellrun.groups._models import GroupShape

EMPTY = -1
DIGEST_BYTES = 16

IntArray = NDArray[Any]
FloatArray = NDArray[np.float64]


@dataclass(frozen=True, slots=True, eq=False)
class ExpertMap:
    """Experts by slot: ``placement[layer, rank, slot]`` is an expert's number or ``EMPTY``.

    Every expert has at least one replica in each layer and never two on one rank. ``version``
    grows with each map of a group.
    """

    version: int
    shape: GroupShape
    placement: IntArray

    def __post_init__(self) -> None:
        """Refuse a placement of the wrong shape, or with missing or duplicate experts."""
        expected = (self.shape.layers, self.shape.ranks, self.shape.slots)
        if self.placement.shape != expected:
            raise InvalidExpertMapError(
                f"the placement has shape {self.placement.shape}; the group needs {expected}"
            )
        self.placement.setflags(write=False)
        low, high = int(self.placement.min()), int(self.placement.max())
        if low < EMPTY or high >= self.shape.experts:
            raise InvalidExpertMapError(
                f"experts range from {low} to {high}; use {EMPTY} to {self.shape.experts - 1}"
            )
        self._check_present()
        self._check_distinct()

    @property
    def digest(self) -> str:
        """Return a digest of the placement, equal for equal maps."""
        data = np.ascontiguousarray(self.placement, dtype="<i2").tobytes()
        return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()

    def replicas(self) -> IntArray:
        """Return the number of replicas as ``[layer, expert]``."""
        return np.stack([count_replicas(layer, self.shape.experts) for layer in self.placement])

    def encode(self) -> bytes:
        """Return the placement as bytes, two for each slot."""
        return np.ascontiguousarray(self.placement, dtype="<i2").tobytes()

    @classmethod
    def decode(cls, version: int, shape: GroupShape, data: bytes) -> "ExpertMap":
        """Read what ``encode`` wrote; raise ``InvalidExpertMapError`` for other bytes."""
        expected = shape.weights * 2
        if len(data) != expected:
            raise InvalidExpertMapError(f"the map has {len(data)} bytes; expected {expected}")
        placement = np.frombuffer(data, dtype="<i2").astype(np.int16)
        return cls(version, shape, placement.reshape(shape.layers, shape.ranks, shape.slots))

    def _check_present(self) -> None:
        """Refuse a map in which an expert has no replica."""
        missing = np.argwhere(self.replicas() == 0)
        if len(missing):
            layer, expert = missing[0]
            raise InvalidExpertMapError(f"layer {layer} does not place expert {expert}")

    def _check_distinct(self) -> None:
        """Refuse a map with two replicas of an expert on one rank."""
        ordered = np.sort(self.placement, axis=2)
        duplicate = (ordered[:, :, 1:] == ordered[:, :, :-1]) & (ordered[:, :, 1:] != EMPTY)
        if duplicate.any():
            layer, rank, slot = np.argwhere(duplicate)[0]
            expert = ordered[layer, rank, slot]
            raise InvalidExpertMapError(
                f"rank {rank} holds expert {expert} of layer {layer} twice; once is enough"
            )


def count_replicas(placement: IntArray, experts: int) -> IntArray:
    """Return the replicas of each expert in one layer's ``[rank, slot]``."""
    held = placement[placement != EMPTY]
    return np.bincount(held, minlength=experts).astype(np.int16)


def rank_loads(placement: IntArray, load: FloatArray) -> FloatArray:
    """Return the load of each rank in one layer, from the load of each expert.

    An expert's load is shared evenly by its replicas.
    """
    per_replica = load / np.maximum(count_replicas(placement, len(load)), 1)
    padded = np.append(per_replica, 0.0)
    return padded[placement].sum(axis=1)


def static_map(shape: GroupShape, version: int = 1) -> ExpertMap:
    """Return the map that fills the slots with the experts in order, repeating from the first."""
    numbers = np.arange(shape.ranks * shape.slots) % shape.experts
    layer = numbers.reshape(shape.ranks, shape.slots).astype(np.int16)
    return ExpertMap(version, shape, np.repeat(layer[None], shape.layers, axis=0))


def weights_to_load(before: ExpertMap, after: ExpertMap) -> int:
    """Return how many weights ranks must fetch for the change from one map to another."""
    total = 0
    for old, new in zip(before.placement, after.placement, strict=True):
        present = (new[:, :, None] == old[:, None, :]).any(axis=2)
        total += int((~present & (new != EMPTY)).sum())
    return total
