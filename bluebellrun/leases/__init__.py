"""Roles that one process at a time may act for, held under a lease of the key-value service."""

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
