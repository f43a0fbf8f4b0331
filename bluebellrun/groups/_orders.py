"""Orders to an engine and the state that an engine reports."""

import msgspec

from bluebellrun.groups._models import Role


class PrepareMap(msgspec.Struct, frozen=True, tag="prepare_map"):
    """Load the weights that a map needs, in addition to those in use; steps continue."""

    version: int
    digest: str


class HoldStep(msgspec.Struct, frozen=True, tag="hold_step"):
    """Do not enter a step until the outcome of a change is known."""

    version: int
    step: int


class ActivateMap(msgspec.Struct, frozen=True, tag="activate_map"):
    """Use a prepared map from a step on, and end the hold."""

    version: int
    step: int


class ReleaseHold(msgspec.Struct, frozen=True, tag="release_hold"):
    """End the hold of a change that was aborted and drop what was prepared."""

    version: int


class AdoptMap(msgspec.Struct, frozen=True, tag="adopt_map"):
    """Inform a joining rank of the active map, and of the one that follows from a step on.

    An engine accepts it only in the given epoch, and only while it knows no map.
    """

    version: int
    epoch: int
    following: ActivateMap | None = None


class LoadVersion(msgspec.Struct, frozen=True, tag="load_version"):
    """Load a version of a model and serve it."""

    model: str
    version: str


class LoadAdapter(msgspec.Struct, frozen=True, tag="load_adapter"):
    """Load an adapter beside its base model."""

    name: str
    base: str


class ChangeRole(msgspec.Struct, frozen=True, tag="change_role"):
    """Do another part of the work: prefill, decode or both."""

    role: Role


MapOrder = PrepareMap | HoldStep | ActivateMap | ReleaseHold
EngineOrder = MapOrder | AdoptMap | LoadVersion | LoadAdapter | ChangeRole


class Order(msgspec.Struct, frozen=True):
    """An order with the id of its action and the fencing number of the role that gives it.

    ``data`` is the encoded expert map of a ``PrepareMap``; for an ``AdoptMap`` it is that in force,
    then the following one, each empty where it is the first map of its group.
    """

    action: str
    fencing: int
    content: EngineOrder
    data: bytes = b""


class ExpertCounts(msgspec.Struct, frozen=True):
    """A rank's report of its own tokens and step time.

    ``tokens`` holds ``layers`` times ``experts`` 32-bit floats: how many of the rank's tokens chose
    each expert between ``started`` and ``ended``, in s of the engine's clock. ``step_s`` is the
    rank's own time in a step, waits left out; ``processed`` the tokens that its experts worked on
    in the interval. ``slots`` is how many experts of a layer fit on the rank.
    """

    number: int
    started: float
    ended: float
    layers: int
    experts: int
    slots: int
    tokens: bytes
    step_s: float
    processed: float


class EngineState(msgspec.Struct, frozen=True):
    """The state that an engine reports.

    ``epoch`` grows whenever the group's ranks rejoin; ``step`` is the next step to enter;
    ``learned`` is whether the rank knows its map. ``actions`` gives the ids of the latest
    actions with ``running``, ``done`` or ``failed``.
    """

    epoch: int = 0
    step: int = 0
    learned: bool = True
    active: int = 0
    prepared: int = 0
    prepared_digest: str = ""
    hold: HoldStep | None = None
    following: ActivateMap | None = None
    versions: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    role: Role = Role.MIXED
    actions: dict[str, str] = {}

    def knows(self, version: int) -> bool:
        """Return whether a map is active or will be from a known step on."""
        following = self.following is not None and self.following.version == version
        return self.learned and (self.active == version or following)
