"""Errors of reports."""


class ReportError(Exception):
    """A process did not tell what was asked."""


class ReportRefusedError(ReportError):
    """A process does not take the operator's token."""
