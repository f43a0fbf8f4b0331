"""Errors of the distribution of documents."""


class DistributionError(Exception):
    """Documents could not be applied."""


class GapError(DistributionError):
    """Changes start after the version that is held, so those between are missing."""

    def __init__(self, base: int, version: int) -> None:
        super().__init__(f"changes after version {base} cannot be applied to version {version}")
        self.base = base
        self.version = version


class MalformedDocumentsError(DistributionError):
    """Stored or received documents cannot be read."""
