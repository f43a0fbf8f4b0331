"""A stand-in for the platform: key-value service, host list and weight store."""

from standins.platform._app import PlatformApp
from standins.platform._direct import DirectStore, DirectWatch
from standins.platform._faults import StoreFaults
from standins.platform._store import MemoryStore

__all__ = ["DirectStore", "DirectWatch", "MemoryStore", "PlatformApp", "StoreFaults"]
