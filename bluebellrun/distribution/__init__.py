"""How the configuration reaches a process."""

from bluebellrun.distribution._follower import ConfigurationFollower

__all__ = ["ConfigurationFollower"]
