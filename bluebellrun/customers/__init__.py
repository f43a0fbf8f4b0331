"""Customers: their keys, permitted services and urgencies, and shares."""

from bluebellrun.customers._models import Customer, CustomerRegistry, hash_key

__all__ = ["Customer", "CustomerRegistry", "hash_key"]
