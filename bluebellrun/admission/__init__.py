"""Admission at the agent: which work runs next, and which is refused."""

from bluebellrun.admission._estimates import stated_answer_tokens
from bluebellrun.admission._fair import FairAdmission
from bluebellrun.admission._fifo import FifoAdmission
from bluebellrun.admission._group_gates import GroupGates, GroupGateSettings
from bluebellrun.admission._group_pauses import GroupPauses, GroupPauseSettings
from bluebellrun.admission._models import (
    AdmissionPolicy,
    AdmissionSettings,
    PriorityTarget,
    Refusal,
    Work,
)
from bluebellrun.admission._pauses import PauseLimit, PauseSettings
from bluebellrun.admission._recovery import RecoveryLimit, RecoverySettings
from bluebellrun.admission._registry import ADMISSION_POLICIES, make_admission
from bluebellrun.admission._reserve import ReserveSettings, UrgentReserve
from bluebellrun.admission._retry_detector import RetryDetector, RetryDetectorSettings
from bluebellrun.admission._service_gate import GateSettings, ServiceGate
from bluebellrun.admission._slots import SlotAdmission, SlotAdmissionSettings, SlotUsage
from bluebellrun.admission._waiting_queue import Ticket, WaitingQueue

__all__ = [
    "ADMISSION_POLICIES",
    "AdmissionPolicy",
    "AdmissionSettings",
    "FairAdmission",
    "FifoAdmission",
    "GateSettings",
    "GroupGateSettings",
    "GroupGates",
    "GroupPauseSettings",
    "GroupPauses",
    "PauseLimit",
    "PauseSettings",
    "PriorityTarget",
    "RecoveryLimit",
    "RecoverySettings",
    "Refusal",
    "ReserveSettings",
    "RetryDetector",
    "RetryDetectorSettings",
    "ServiceGate",
    "SlotAdmission",
    "SlotAdmissionSettings",
    "SlotUsage",
    "Ticket",
    "UrgentReserve",
    "WaitingQueue",
    "Work",
    "make_admission",
    "stated_answer_tokens",
]
