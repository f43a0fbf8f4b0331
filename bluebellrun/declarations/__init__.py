"""Operators' documents: validated at the border, turned into a configuration inside."""

from bluebellrun.declarations._checks import Violation, check_documents, references
from bluebellrun.declarations._configuration import (
    Configuration,
    ModelGroupRule,
    ModelVersionRule,
    Objective,
    OperatorRule,
    PriorityRule,
    build_configuration,
)
from bluebellrun.declarations._exceptions import DeclarationError, Problem
from bluebellrun.declarations._formatter import format_text
from bluebellrun.declarations._models import (
    KINDS,
    CustomerDocument,
    Document,
    ModelGroupDocument,
    ModelVersionDocument,
    ObjectiveDocument,
    OperatorDocument,
    PriorityDocument,
    ServiceDocument,
    ShareDocument,
    UpstreamDocument,
)
from bluebellrun.declarations._reader import read_folder
from bluebellrun.declarations._relocation import relocate
from bluebellrun.declarations._schema import json_schema
from bluebellrun.declarations._stored import (
    MAX_VALUE_BYTES,
    decode_documents,
    encode_documents,
    pack,
    unpack,
)

__all__ = [
    "KINDS",
    "MAX_VALUE_BYTES",
    "Configuration",
    "CustomerDocument",
    "DeclarationError",
    "Document",
    "ModelGroupDocument",
    "ModelGroupRule",
    "ModelVersionDocument",
    "ModelVersionRule",
    "Objective",
    "ObjectiveDocument",
    "OperatorDocument",
    "OperatorRule",
    "PriorityDocument",
    "PriorityRule",
    "Problem",
    "ServiceDocument",
    "ShareDocument",
    "UpstreamDocument",
    "Violation",
    "build_configuration",
    "check_documents",
    "decode_documents",
    "encode_documents",
    "format_text",
    "json_schema",
    "pack",
    "read_folder",
    "references",
    "relocate",
    "unpack",
]
