"""Plans and their changes, and the form in which a plan is kept."""

from enum import StrEnum

from pydantic import BaseModel, ConfigDict, ValidationError

from bluebellrun.declarations import MAX_VALUE_BYTES, pack, unpack
from bluebellrun.plans._exceptions import PlanError, PlanTooLargeError

PLAN_GOOD_FOR_S = 3_600.0


class ChangeKind(StrEnum):
    """What happens to a document."""

    ADD = "add"
    CHANGE = "change"
    REMOVE = "remove"


class Change(BaseModel):
    """One document before and after; none where it does not exist."""

    model_config = ConfigDict(frozen=True)

    kind: str
    name: str
    action: ChangeKind
    before: dict[str, object] | None = None
    after: dict[str, object] | None = None

    def changed_fields(self) -> dict[str, object]:
        """Return the fields that differ, with their new values."""
        before = self.before or {}
        after = self.after or {}
        return {key: value for key, value in after.items() if before.get(key) != value}

    def describe(self) -> str:
        """Return the change in one line."""
        head = f"{self.action} {self.kind} {self.name}"
        if self.action is not ChangeKind.CHANGE or self.before is None:
            return head
        fields = [
            f"{key}: {self.before.get(key)!r} -> {value!r}"
            for key, value in self.changed_fields().items()
        ]
        return f"{head}: {', '.join(fields)}"


class Basis(BaseModel):
    """A document, or a service's set of active upstreams, that a plan rests on unchanged.

    ``digest`` is empty where it did not exist.
    """

    model_config = ConfigDict(frozen=True)

    kind: str
    name: str
    digest: str


class ServiceCapacity(BaseModel):
    """The upstreams of a service that take work before, meanwhile and after."""

    model_config = ConfigDict(frozen=True)

    service: str
    before: int
    meanwhile: int
    after: int


class Cost(BaseModel):
    """What a plan costs. ``requests_affected`` is none where it is not known."""

    model_config = ConfigDict(frozen=True)

    capacity: list[ServiceCapacity] = []
    requests_affected: int | None = None
    weights_moved_bytes: int = 0


class Plan(BaseModel):
    """What an intent would change, in which order, at what cost, and what that rests on.

    ``base`` holds the revision of each kind's documents when the plan was made; times are Unix
    seconds. ``confirmed_revision`` is the version that put it in force.
    """

    model_config = ConfigDict(frozen=True)

    plan_id: str
    intent: str
    base: dict[str, int]
    changes: list[Change]
    created_at: float
    good_for_s: float = PLAN_GOOD_FOR_S
    steps: list[str] = []
    cost: Cost = Cost()
    rests_on: list[Basis] = []
    notes: list[str] = []
    made_by: str = ""
    confirmed: bool = False
    confirmed_by: str = ""
    confirmed_revision: int = 0
    withdrawn: bool = False
    undoes: str = ""
    lease: int = 0

    @property
    def kinds(self) -> list[str]:
        """Return the kinds of document that change, sorted."""
        return sorted({change.kind for change in self.changes})

    def expired(self, unix_time: float) -> bool:
        """Return whether the plan is no longer good."""
        return self.withdrawn or unix_time > self.created_at + self.good_for_s


def encode_plan(plan: Plan) -> bytes:
    """Return a plan as JSON, packed when large; raise ``PlanTooLargeError`` beyond a value."""
    data = pack(plan.model_dump_json().encode())
    if len(data) > MAX_VALUE_BYTES:
        raise PlanTooLargeError(
            f"the plan changes {len(plan.changes)} documents and takes {len(data)} bytes; the "
            f"key-value service keeps {MAX_VALUE_BYTES}: declare the change in smaller parts"
        )
    return data


def decode_plan(data: bytes) -> Plan:
    """Read a plan; raise ``PlanError`` if it is malformed."""
    try:
        return Plan.model_validate_json(unpack(data))
    except (ValidationError, ValueError) as error:
        raise PlanError(f"the stored plan is malformed: {error}") from error
