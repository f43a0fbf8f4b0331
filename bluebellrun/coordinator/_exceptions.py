"""Errors of coordinators."""


class CoordinatorError(Exception):
    """A coordinator could not do what it was asked."""


class RoleLostError(CoordinatorError):
    """Another process holds the role; nothing more is done in its name."""


class AgentUnreachableError(CoordinatorError):
    """An agent did not answer; its order may or may not have been sent on."""
