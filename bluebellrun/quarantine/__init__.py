"""Quarantine of prompt parts under which upstreams crash. Pure."""

from bluebellrun.quarantine._decisions import Allowed, Decision, Pending, Probe, Quarantined
from bluebellrun.quarantine._models import CrashReport, QuarantineSettings, UpstreamIncarnation
from bluebellrun.quarantine._quarantine import PromptQuarantine

__all__ = [
    "Allowed",
    "CrashReport",
    "Decision",
    "Pending",
    "Probe",
    "PromptQuarantine",
    "QuarantineSettings",
    "Quarantined",
    "UpstreamIncarnation",
]
