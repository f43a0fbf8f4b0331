"""What an engine reports of its rank in a group."""

import msgspec


class Group(msgspec.Struct):
    """The group that a rank belongs to."""

    name: str
    epoch: int
    rank: int
    state: str


class Armed(msgspec.Struct):
    """The map that a rank is armed with and the first pass to use it."""

    version: int
    step: int


class Report(msgspec.Struct):
    """An engine's report; unused fields are ignored."""

    group: Group | None = None
    size: int = 0
    # The last pass that was started.
    step: int = 0
    # The version of the map in use.
    map: int = 0
    # The version whose copy is complete.
    prepared: int | None = None
    armed: Armed | int | None = None
    held: int | None = None
    pace: float = 1.0
    born: int = 0


class RankMap(msgspec.Struct):
    """One rank's part of a map: its experts, layer by layer."""

    version: int
    experts: list[list[int]]


class RankMaps(msgspec.Struct):
    """The maps that a rank holds."""

    map: RankMap
