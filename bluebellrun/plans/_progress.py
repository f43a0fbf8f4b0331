"""What the coordinator of a model group tells operators through the key-value service."""

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from bluebellrun.plans._exceptions import PlanError
from bluebellrun.store import KeyValueStore


class GroupProgress(BaseModel):
    """How far a group has come with the version and rebalancing that operators asked for.

    ``done`` of ``total`` steps are over; ``step`` names the present one. The costs count since
    the group was declared.
    """

    model_config = ConfigDict(extra="ignore", frozen=True)

    group: str
    version: str = ""
    rebalance: int = Field(default=0, ge=0)
    step: str = ""
    done: int = Field(default=0, ge=0)
    total: int = Field(default=0, ge=0)
    activations: int = Field(default=0, ge=0)
    weights_moved_bytes: int = Field(default=0, ge=0)


def progress_key(prefix: str, group: str) -> str:
    """Return the key under which a group's progress is kept."""
    return f"{prefix}/progress/model-group/{group}"


def decode_progress(data: bytes) -> GroupProgress:
    """Read a group's progress; raise ``PlanError`` if it is malformed."""
    try:
        return GroupProgress.model_validate_json(data)
    except ValidationError as error:
        raise PlanError(f"a group's progress is malformed: {error}") from error


async def read_progress(store: KeyValueStore, prefix: str) -> dict[str, GroupProgress]:
    """Return the progress of all groups that have told any, by name."""
    snapshot = await store.read_prefix(progress_key(prefix, ""))
    told = [decode_progress(item.value) for item in snapshot.items]
    return {item.group: item for item in told}
