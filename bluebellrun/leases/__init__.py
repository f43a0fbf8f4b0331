"""Exclusive roles, each held by one process at a time under a lease of the key-value store."""

from bluebellrun.leases._exceptions import LeaseError, LeaseLostError
from bluebellrun.leases._holder import RoleHolder
from bluebellrun.leases._models import RoleLease, RoleRecord, decode_record, encode_record

__all__ = [
    "LeaseError",
    "LeaseLostError",
    "RoleHolder",
    "RoleLease",
    "RoleRecord",
    "decode_record",
    "encode_record",
]
