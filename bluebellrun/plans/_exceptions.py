"""Errors of plans."""


class PlanError(Exception):
    """A plan cannot be made or confirmed."""


class PlanNotFoundError(PlanError):
    """There is no plan with this id."""


class PlanExpiredError(PlanError):
    """The plan is older than it is good for."""


class PlanConflictError(PlanError):
    """What the plan rests on has changed since it was made."""
