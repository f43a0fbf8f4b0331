"""Errors of coordinators."""


class CoordinatorError(Exception):
    """A coordinator could not complete an operation."""


class RoleLostError(CoordinatorError):
    """The role is not held any more; no further orders or writes are made for it."""


class AgentUnreachableError(CoordinatorError):
    """An agent did not answer; the order may or may not have been forwarded."""
