"""Admission at the agent: which work runs next, and which is refused."""

from bluebellrun.admission._arrival_rate import ArrivalRate
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
from bluebellrun.admission._pass_times import PassTimeControl, PassTimeSettings
from bluebellrun.admission._pauses import PauseLimit, PauseSettings
from bluebellrun.admission._recovery import RecoveryLimit, RecoverySettings
from bluebellrun.admission._registry import ADMISSION_POLICIES, make_admission
from bluebellrun.admission._request_costs import (
    CostSettings,
    RequestCosts,
    SheddingRequest,
    first_event_s,
    hold_s,
    relative_size,
)
from bluebellrun.admission._reserve import ReserveSettings, UrgentReserve
from bluebellrun.admission._retry_detector import RetryDetector, RetryDetectorSettings
from bluebellrun.admission._service_gate import GateSettings, ServiceGate
from bluebellrun.admission._shedding import (
    Capacity,
    LoadShedder,
    Send,
    Shed,
    SheddingSettings,
    Wait,
)
from bluebellrun.admission._slots import SlotAdmission, SlotAdmissionSettings, SlotUsage
from bluebellrun.admission._waiting_queue import Ticket, WaitingQueue

__all__ = [
    "ADMISSION_POLICIES",
    "AdmissionPolicy",
    "AdmissionSettings",
    "ArrivalRate",
    "Capacity",
    "CostSettings",
    "FairAdmission",
    "FifoAdmission",
    "GateSettings",
    "GroupGateSettings",
    "GroupGates",
    "GroupPauseSettings",
    "GroupPauses",
    "LoadShedder",
    "PassTimeControl",
    "PassTimeSettings",
    "PauseLimit",
    "PauseSettings",
    "PriorityTarget",
    "RecoveryLimit",
    "RecoverySettings",
    "Refusal",
    "RequestCosts",
    "ReserveSettings",
    "RetryDetector",
    "RetryDetectorSettings",
    "Send",
    "ServiceGate",
    "Shed",
    "SheddingRequest",
    "SheddingSettings",
    "SlotAdmission",
    "SlotAdmissionSettings",
    "SlotUsage",
    "Ticket",
    "UrgentReserve",
    "Wait",
    "WaitingQueue",
    "Work",
    "first_event_s",
    "hold_s",
    "make_admission",
    "relative_size",
    "stated_answer_tokens",
]
