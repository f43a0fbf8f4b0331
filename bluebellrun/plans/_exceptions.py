"""Errors of plans."""


class PlanError(Exception):
    """A plan cannot be made or confirmed."""


class IntentError(PlanError):
    """An intent names what is not declared, or asks for what cannot be."""


class PlanNotFoundError(PlanError):
    """There is no plan with this id."""


class PlanExpiredError(PlanError):
    """The plan is older than it is good for, or was withdrawn."""


class PlanTooLargeError(PlanError):
    """The plan does not fit one value of the key-value service."""


class PlanUnknownError(PlanError):
    """The store's answer was lost and could not be read back: the plan may be in force."""


class PlanConflictError(PlanError):
    """What the plan rests on has changed since it was made.

    ``differences`` says what changed, one line each.
    """

    def __init__(self, plan_id: str, differences: list[str]) -> None:
        lines = "".join(f"\n  {line}" for line in differences)
        super().__init__(f"what plan {plan_id} rests on has changed; nothing was done:{lines}")
        self.plan_id = plan_id
        self.differences = differences
