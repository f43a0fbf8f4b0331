"""Lazy import of a package's heavier modules."""

import importlib
from collections.abc import Callable, Mapping
from typing import Any


def load_at_first_use(package: str, modules: Mapping[str, str]) -> Callable[[str], Any]:
    """Return a package's ``__getattr__``, which imports the module that ``modules`` maps a name to.

    Modules that a process does not use then cost it neither start-up time nor memory.
    """

    def load(name: str) -> Any:
        module = modules.get(name)
        if module is None:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        return getattr(importlib.import_module(f"{package}.{module}"), name)

    return load
