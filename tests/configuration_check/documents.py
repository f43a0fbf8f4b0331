"""Documents for tests of the check: a clean one, and changes to copies of it."""

import copy
import json
from typing import Any

CLEAN: dict[str, Any] = {
    "version": 3,
    "routes": [
        {
            "name": "ask",
            "host": "h.example",
            "prefix": "/ask/",
            "kind": "idempotent",
            "timeout_ms": 900,
            "goal_ms": 300,
            "service": "s",
            "attempts": 2,
        },
        {
            "name": "talk",
            "host": "h.example",
            "prefix": "/talk/",
            "kind": "stream",
            "timeout_ms": 8000,
            "gap_goal_ms": 120,
            "split": [{"service": "s", "weight": 3}, {"service": "t", "weight": 1}],
            "attempts": 3,
            "can_resume": True,
        },
        {
            "name": "once",
            "host": "h.example",
            "prefix": "/once/",
            "kind": "non_idempotent",
            "timeout_ms": 2000,
            "service": "t",
        },
    ],
    "services": [
        {"name": "s", "health_path": "/health", "max_conns": 50, "engine": {"slots": 4}},
        {"name": "t"},
    ],
    "tenants": [
        {"name": "board", "api_keys": ["k1", "k2"], "priority": 3},
        {"name": "club", "api_keys": ["k3"]},
    ],
}


def clean() -> dict[str, Any]:
    """Return a copy of the clean document."""
    return copy.deepcopy(CLEAN)


def encode(document: Any) -> bytes:
    """Return a document as the content of a file."""
    return json.dumps(document).encode()


def changed(path: str, value: Any) -> dict[str, Any]:
    """Return the clean document with one value set, at a path such as ``routes.0.name``."""
    document = clean()
    *steps, last = [int(step) if step.isdigit() else step for step in path.split(".")]
    inner: Any = document
    for step in steps:
        inner = inner[step]
    inner[last] = value
    return document
