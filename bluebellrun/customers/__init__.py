"""Customers: who may ask, with which key, for how urgent work and for what share."""

from bluebellrun.customers._models import Customer, CustomerRegistry, hash_key

__all__ = ["Customer", "CustomerRegistry", "hash_key"]
