"""Stand-ins of the users' platform: its store, a model group and the programs' settings."""

from standins.users_platform._group import ACCEPTED, CONFLICT, FENCED, LOST, FakeGroup
from standins.users_platform._store import FakeStore, StoreCopy

__all__ = ["ACCEPTED", "CONFLICT", "FENCED", "LOST", "FakeGroup", "FakeStore", "StoreCopy"]
