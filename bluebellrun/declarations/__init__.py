"""Operators' documents: validated at the border, turned into a configuration inside."""

from bluebellrun.declarations._configuration import Configuration, build_configuration
from bluebellrun.declarations._exceptions import DeclarationError, Problem
from bluebellrun.declarations._models import (
    KINDS,
    CustomerDocument,
    Document,
    PriorityDocument,
    ServiceDocument,
    UpstreamDocument,
)
from bluebellrun.declarations._reader import read_folder
from bluebellrun.declarations._stored import decode_documents, encode_documents

__all__ = [
    "KINDS",
    "Configuration",
    "CustomerDocument",
    "DeclarationError",
    "Document",
    "PriorityDocument",
    "Problem",
    "ServiceDocument",
    "UpstreamDocument",
    "build_configuration",
    "decode_documents",
    "encode_documents",
    "read_folder",
]
