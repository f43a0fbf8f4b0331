"""How configuration, members and host states reach every process."""

from bluebellrun.distribution._configuration import ConfigurationFollower
from bluebellrun.distribution._directory import Contact, Directory
from bluebellrun.distribution._documents import (
    Delta,
    DocumentItem,
    DocumentName,
    DocumentSet,
    decode_delta,
    encode_delta,
)
from bluebellrun.distribution._exceptions import (
    DistributionError,
    GapError,
    MalformedDocumentsError,
)
from bluebellrun.distribution._node import Node
from bluebellrun.distribution._settings import NodeSettings, NodeTiming
from bluebellrun.distribution._survey import DomainSurvey, FleetSurvey, fetch_status, survey_fleet
from bluebellrun.distribution._wiring import link_timing, make_node

__all__ = [
    "ConfigurationFollower",
    "Contact",
    "Delta",
    "Directory",
    "DistributionError",
    "DocumentItem",
    "DocumentName",
    "DocumentSet",
    "DomainSurvey",
    "FleetSurvey",
    "GapError",
    "MalformedDocumentsError",
    "Node",
    "NodeSettings",
    "NodeTiming",
    "decode_delta",
    "encode_delta",
    "fetch_status",
    "link_timing",
    "make_node",
    "survey_fleet",
]
