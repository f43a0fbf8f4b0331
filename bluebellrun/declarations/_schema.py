"""JSON Schema of the documents, for editors and other tools."""

from typing import Any

from bluebellrun.declarations._models import KINDS

DIALECT = "https://json-schema.org/draft/2020-12/schema"


def json_schema(kind: str | None = None) -> dict[str, Any]:
    """Return the schema of one kind, or of a document of any kind.

    Raises ``ValueError`` for a kind that is not known.
    """
    if kind is None:
        return {"$schema": DIALECT, "oneOf": [_schema_of(name) for name in sorted(KINDS)]}
    if kind not in KINDS:
        raise ValueError(f"kind {kind!r} is not known; use one of {', '.join(sorted(KINDS))}")
    return {"$schema": DIALECT, **_schema_of(kind)}


def _schema_of(kind: str) -> dict[str, Any]:
    """Return the schema of a kind, which requires that the document names its kind."""
    schema = KINDS[kind].model_json_schema()
    schema["required"] = sorted({"kind", *schema.get("required", [])})
    return schema
