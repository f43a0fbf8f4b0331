"""Admission policies by the name used in settings."""

from collections.abc import Callable

from bluebellrun.admission._fair import FairAdmission
from bluebellrun.admission._fifo import FifoAdmission
from bluebellrun.admission._models import AdmissionPolicy, AdmissionSettings

ADMISSION_POLICIES: dict[str, Callable[[AdmissionSettings], AdmissionPolicy]] = {
    "fair": FairAdmission,
    "fifo": FifoAdmission,
}


def make_admission(name: str, settings: AdmissionSettings) -> AdmissionPolicy:
    """Return a new policy; raise ``ValueError`` that lists the names if it is not known."""
    maker = ADMISSION_POLICIES.get(name)
    if maker is None:
        known = ", ".join(sorted(ADMISSION_POLICIES))
        raise ValueError(f"admission policy {name!r} is not known; use one of {known}")
    return maker(settings)
