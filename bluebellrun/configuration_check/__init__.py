"""Faults of an operator's configuration, and how it differs from another; pure."""

from bluebellrun.configuration_check._differences import compare, find_version_fault
from bluebellrun.configuration_check._faults import find_faults
from bluebellrun.configuration_check._models import (
    Difference,
    Effect,
    Field,
    Finding,
    Terms,
    View,
)

__all__ = [
    "Difference",
    "Effect",
    "Field",
    "Finding",
    "Terms",
    "View",
    "compare",
    "find_faults",
    "find_version_fault",
]
