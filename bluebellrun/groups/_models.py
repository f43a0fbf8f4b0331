"""The model group and what it is made of: ranks, experts, versions, adapters and roles."""

from dataclasses import dataclass
from enum import StrEnum

from bluebellrun.groups._exceptions import InvalidGroupError

MAX_RANKS = 4_096
MAX_EXPERTS = 32_767
MAX_LAYERS = 1_024


class Role(StrEnum):
    """Which part of the work a group does; key-value caches move between the two halves."""

    MIXED = "mixed"
    PREFILL = "prefill"
    DECODE = "decode"


@dataclass(frozen=True, slots=True, order=True)
class ModelVersion:
    """One version of a model's weights."""

    model: str
    version: str

    def __post_init__(self) -> None:
        """Refuse empty names."""
        if not self.model or not self.version:
            raise InvalidGroupError(
                f"{self.model!r} version {self.version!r}: give a model and a version"
            )


@dataclass(frozen=True, slots=True, order=True)
class Adapter:
    """A small set of weights that is applied on top of a model."""

    name: str
    base: str

    def __post_init__(self) -> None:
        """Refuse empty names."""
        if not self.name or not self.base:
            raise InvalidGroupError(f"adapter {self.name!r} of {self.base!r}: name both")


@dataclass(frozen=True, slots=True, order=True)
class Expert:
    """One expert of one layer."""

    layer: int
    number: int


@dataclass(frozen=True, slots=True)
class Rank:
    """One member of a group. ``number`` counts from 0; ``upstream`` is its engine."""

    number: int
    upstream: str
    failure_domain: str = ""


@dataclass(frozen=True, slots=True)
class GroupShape:
    """Sizes of a group. A rank holds ``slots`` experts of each layer, replicas included."""

    ranks: int
    layers: int
    experts: int
    slots: int

    def __post_init__(self) -> None:
        """Refuse sizes that cannot hold every expert."""
        _check_range("ranks", self.ranks, MAX_RANKS)
        _check_range("layers", self.layers, MAX_LAYERS)
        _check_range("experts", self.experts, MAX_EXPERTS)
        _check_range("slots", self.slots, self.experts)
        if self.ranks * self.slots < self.experts:
            raise InvalidGroupError(
                f"{self.ranks} ranks of {self.slots} slots cannot hold {self.experts} experts; "
                "add ranks or slots"
            )

    @property
    def weights(self) -> int:
        """Return how many expert weights the whole group holds, replicas included."""
        return self.layers * self.ranks * self.slots


@dataclass(frozen=True, slots=True)
class ModelGroup:
    """Ranks that advance in lock-step on one expert map."""

    name: str
    serves: ModelVersion
    shape: GroupShape
    ranks: tuple[Rank, ...]
    role: Role = Role.MIXED
    adapters: tuple[Adapter, ...] = ()

    def __post_init__(self) -> None:
        """Refuse ranks that do not fit the shape and adapters of another model."""
        numbers = [rank.number for rank in self.ranks]
        if numbers != list(range(self.shape.ranks)):
            raise InvalidGroupError(
                f"group {self.name!r} has ranks {numbers}; number them 0 to {self.shape.ranks - 1}"
            )
        upstreams = {rank.upstream for rank in self.ranks}
        if len(upstreams) != len(self.ranks):
            raise InvalidGroupError(f"group {self.name!r} names an upstream twice")
        for adapter in self.adapters:
            if adapter.base != self.serves.model:
                raise InvalidGroupError(
                    f"adapter {adapter.name!r} is for {adapter.base!r}, "
                    f"but group {self.name!r} serves {self.serves.model!r}"
                )

    @property
    def failure_domains(self) -> tuple[str, ...]:
        """Return the failure domain of each rank, in order."""
        return tuple(rank.failure_domain for rank in self.ranks)


def _check_range(name: str, value: int, most: int) -> None:
    """Raise unless a size lies between 1 and ``most``."""
    if not 1 <= value <= most:
        raise InvalidGroupError(f"{name} is {value}; give a number from 1 to {most}")
