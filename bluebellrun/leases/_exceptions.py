"""Errors of leases."""


class LeaseError(Exception):
    """A role could not be acquired, renewed or read."""


class LeaseLostError(LeaseError):
    """The lease has expired; another process may hold the role, so nothing may be done for it."""

    def __init__(self, role: str, holder: str, late_s: float) -> None:
        super().__init__(
            f"{holder} may not act for {role!r}: its lease expired {late_s:.3f} s ago; "
            "acquire the role again"
        )
        self.role = role
        self.holder = holder
        self.late_s = late_s
