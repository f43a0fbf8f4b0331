"""Plans and their changes, and the form in which a plan is kept."""

from enum import StrEnum

from pydantic import BaseModel, ConfigDict, ValidationError

from bluebellrun.plans._exceptions import PlanError

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

    def describe(self) -> str:
        """Return the change in one line."""
        head = f"{self.action} {self.kind} {self.name}"
        if self.action is not ChangeKind.CHANGE or self.before is None or self.after is None:
            return head
        fields = [
            f"{key}: {self.before.get(key)!r} -> {value!r}"
            for key, value in self.after.items()
            if self.before.get(key) != value
        ]
        return f"{head}: {', '.join(fields)}"


class Plan(BaseModel):
    """What an intent would change and what that rests on.

    ``base`` holds the revision of each kind's documents; times are Unix seconds.
    """

    model_config = ConfigDict(frozen=True)

    plan_id: str
    intent: str
    base: dict[str, int]
    changes: list[Change]
    created_at: float
    good_for_s: float = PLAN_GOOD_FOR_S
    confirmed: bool = False
    confirmed_revision: int = 0
    notes: list[str] = []

    @property
    def kinds(self) -> list[str]:
        """Return the kinds of document that change, sorted."""
        return sorted({change.kind for change in self.changes})

    def expired(self, unix_time: float) -> bool:
        """Return whether the plan is no longer good."""
        return unix_time > self.created_at + self.good_for_s


def encode_plan(plan: Plan) -> bytes:
    """Return a plan as JSON."""
    return plan.model_dump_json().encode()


def decode_plan(data: bytes) -> Plan:
    """Read a plan; raise ``PlanError`` if it is malformed."""
    try:
        return Plan.model_validate_json(data)
    except ValidationError as error:
        raise PlanError(f"the stored plan is malformed: {error}") from error
