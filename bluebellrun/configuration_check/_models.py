"""A configuration with the places of its parts in the file, and what a check finds."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum, auto

from bluebellrun.deployment import Deployment, ServiceTerms

Terms = Mapping[str, object]


class Field(Enum):
    """The fields that a finding may be about."""

    VERSION = auto()
    ROUTE_NAME = auto()
    ROUTE_HOST = auto()
    ROUTE_PREFIX = auto()
    ROUTE_SERVICE = auto()
    ROUTE_SHARES = auto()
    SHARE_SERVICE = auto()
    SHARE_WEIGHT = auto()
    ROUTE_TIMEOUT = auto()
    ROUTE_OBJECTIVE = auto()
    ROUTE_LONGEST_PAUSE = auto()
    ROUTE_ATTEMPTS = auto()
    SERVICE_NAME = auto()
    CUSTOMER_NAME = auto()
    CUSTOMER_KEY = auto()
    BODY_LIMIT = auto()


@dataclass(frozen=True, slots=True)
class Finding:
    """A fault and its place in the file; the place is empty for the document as a whole."""

    place: str
    message: str


@dataclass(frozen=True, slots=True)
class View:
    """A document as it stands in its file.

    ``problems`` were found while it was read. ``deployment`` is what gateways make of it, or none
    if they refuse it. ``services`` are all declared ones in the order of the file, also those of
    the same name, and ``split_routes`` the indices of the routes with declared shares. ``places``
    holds a format string for each field, which takes the indices of the lists around it.

    Terms are limits by the names that they have in the file, with defaults filled in:
    ``route_terms`` and ``service_terms`` in the order of the routes and services, ``limit_terms``
    those of callers.
    """

    problems: Sequence[Finding]
    deployment: Deployment | None
    services: Sequence[ServiceTerms]
    split_routes: frozenset[int]
    places: Mapping[Field, str]
    route_terms: Sequence[Terms] = ()
    service_terms: Sequence[Terms] = ()
    limit_terms: Terms = field(default_factory=dict)

    def place(self, of: Field, *indices: int) -> str:
        """Return the place of a field."""
        return self.places[of].format(*indices)


class Effect(Enum):
    """What a difference means to callers, the worst first."""

    TAKEN_AWAY = "taken away"
    MOVED = "moved"
    LIMITS = "limits"
    ADDED = "added"


@dataclass(frozen=True, slots=True)
class Difference:
    """One difference of a new document from an earlier one."""

    effect: Effect
    part: str
    name: str
    message: str
