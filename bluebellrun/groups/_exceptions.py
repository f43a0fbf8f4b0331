"""Errors of model groups."""


class GroupError(Exception):
    """A rule of a model group was broken."""


class InvalidGroupError(GroupError):
    """A group's description is not consistent."""


class InvalidExpertMapError(GroupError):
    """An expert map does not place every expert properly."""


class InvalidReportError(GroupError):
    """An engine's report does not fit its group."""


class StepNotAllowedError(GroupError):
    """A change of version or role would break a declared floor."""
