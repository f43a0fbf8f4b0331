"""Errors of leases."""


class LeaseError(Exception):
    """A role could not be acquired, renewed or read."""


class LeaseLostError(LeaseError):
    """The role may belong to another process by now; nothing may be done in its name."""

    def __init__(self, role: str, holder: str, late_s: float) -> None:
        super().__init__(
            f"{holder} may not act for {role!r}: its lease ran out {late_s:.3f} s ago; "
            "acquire the role again"
        )
        self.role = role
        self.holder = holder
        self.late_s = late_s
