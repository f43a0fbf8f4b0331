"""Read the operator's configuration with the places of its fields, and the one in force."""

import json
from collections.abc import Iterator, Mapping
from functools import cache
from itertools import islice
from types import UnionType
from typing import Any, get_args, get_origin

import msgspec

from bluebellrun.configuration_check import Field, Finding, View
from bluebellrun.core import Address, decode
from bluebellrun.platform._configuration import (
    ConfigurationError,
    _Configuration,
    _decoder,
    _service,
    read_configuration,
)
from bluebellrun.platform._names import CONFIGURATION_KEY
from bluebellrun.platform._store import PlatformStore
from bluebellrun.store import StoreTimeouts

KINDS = ("idempotent", "non_idempotent", "stream")
# A file of wrong values holds millions of problems; people read the first ones.
MAX_PROBLEMS = 1_000
MAX_NAME_CHARACTERS = 80
# Names, addresses and targets are compared by their meaning, not as limits.
NO_ROUTE_TERMS = frozenset({"name", "host", "prefix", "service", "split", "public"})
NO_SERVICE_TERMS = frozenset({"name"})

PLACES: Mapping[Field, str] = {
    Field.VERSION: "version",
    Field.ROUTE_NAME: "routes[{}].name",
    Field.ROUTE_HOST: "routes[{}].host",
    Field.ROUTE_PREFIX: "routes[{}].prefix",
    Field.ROUTE_SERVICE: "routes[{}].service",
    Field.ROUTE_SHARES: "routes[{}].split",
    Field.SHARE_SERVICE: "routes[{}].split[{}].service",
    Field.SHARE_WEIGHT: "routes[{}].split[{}].weight",
    Field.ROUTE_TIMEOUT: "routes[{}].timeout_ms",
    Field.ROUTE_OBJECTIVE: "routes[{}].goal_ms",
    Field.ROUTE_LONGEST_PAUSE: "routes[{}].gap_goal_ms",
    Field.ROUTE_ATTEMPTS: "routes[{}].attempts",
    Field.SERVICE_NAME: "services[{}].name",
    Field.CUSTOMER_NAME: "tenants[{}].name",
    Field.CUSTOMER_KEY: "tenants[{}].api_keys[{}]",
    Field.BODY_LIMIT: "limits.max_body_bytes",
}


def view_configuration(data: bytes) -> View:
    """Return a document as it stands in its file; raise ``ConfigurationError`` if it is not JSON.

    Gateways' own reading decides whether the document is accepted; the places of wrong fields come
    from a second look at the same types.
    """
    repeated: dict[int, list[str]] = {}
    raw = _parse(data, repeated)
    problems = list(islice(_walk(raw, _Configuration, "", repeated), MAX_PROBLEMS))
    try:
        deployment = read_configuration(data, 0)
    except ConfigurationError as error:
        problems.insert(0, Finding("", f"gateways refuse the document: {error}"))
        return View(problems, None, (), frozenset(), PLACES)
    stored: _Configuration = decode(_decoder, data)
    problems += islice(_route_problems(stored), MAX_PROBLEMS)
    plain = msgspec.to_builtins(stored)
    return View(
        problems,
        deployment,
        [_service(service) for service in stored.services],
        frozenset(index for index, route in enumerate(stored.routes) if route.split),
        PLACES,
        [dict(_terms(route, NO_ROUTE_TERMS)) for route in plain["routes"]],
        [dict(_terms(service, NO_SERVICE_TERMS)) for service in plain["services"]],
        dict(_terms(plain["limits"])),
    )


async def read_configuration_in_force(address: Address, timeout_s: float) -> bytes | None:
    """Read the stored configuration once, or none if the store holds none."""
    store = PlatformStore(address, StoreTimeouts(timeout_s))
    try:
        items = (await store.get(CONFIGURATION_KEY)).items
    finally:
        await store.close()
    return items[0].value if items else None


def _parse(data: bytes, repeated: dict[int, list[str]]) -> Any:
    """Return the JSON value; record the fields that an object holds twice by the object's id."""

    def build(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        found: dict[str, Any] = {}
        twice = []
        for name, value in pairs:
            if name in found:
                twice.append(name)
            found[name] = value
        # A value that a repeated field replaced is freed, and its id is given out again.
        repeated.pop(id(found), None)
        if twice:
            repeated[id(found)] = twice
        return found

    def refuse(name: str) -> None:
        raise ValueError(f"{name} is not a JSON value")

    try:
        return json.loads(data.decode(), object_pairs_hook=build, parse_constant=refuse)
    except (ValueError, RecursionError) as error:
        raise ConfigurationError(f"not a JSON document: {error}") from error


def _walk(
    value: Any, annotation: Any, place: str, repeated: Mapping[int, list[str]]
) -> Iterator[Finding]:
    """Yield the unknown, missing and repeated fields and the wrong types below a place."""
    inner = _inner_type(annotation)
    if inner is None:
        try:
            msgspec.convert(value, annotation, strict=False)
        except (msgspec.MsgspecError, ValueError, OverflowError) as error:
            yield Finding(place, f"wrong type or value: {error}")
        return
    if value is None and inner is not annotation:
        return
    if get_origin(inner) is list:
        if not isinstance(value, list):
            yield Finding(place, f"wrong type: a list is expected, not {_kind(value)}")
            return
        (item_type,) = get_args(inner)
        for index, item in enumerate(value):
            yield from _walk(item, item_type, f"{place}[{index}]", repeated)
    elif not isinstance(value, dict):
        yield Finding(place, f"wrong type: an object is expected, not {_kind(value)}")
    else:
        known = _fields(inner)
        before = f"{place}." if place else ""
        for name in repeated.get(id(value), ()):
            yield Finding(before + name[:MAX_NAME_CHARACTERS], "the field stands here twice")
        for name, item in value.items():
            if name not in known:
                yield Finding(before + name[:MAX_NAME_CHARACTERS], "unknown field")
            # Whole numbers may be out of range, other values of the same type always fit.
            elif type(item) is not known[name].type or type(item) is int:
                yield from _walk(item, known[name].type, before + name, repeated)
        for name in _required(inner):
            if name not in value:
                yield Finding(before + name, "the field is missing")


def _kind(value: Any) -> str:
    """Return what JSON calls the type of a value."""
    names = {dict: "an object", list: "a list", str: "a string", bool: "a boolean"}
    return "null" if value is None else names.get(type(value), "a number")


@cache
def _inner_type(annotation: Any) -> Any:
    """Return the list or structure of a type, without its ``None``, or none for a plain value."""
    options = get_args(annotation) if isinstance(annotation, UnionType) else (annotation,)
    for part in options:
        if get_origin(part) is list or (
            isinstance(part, type) and issubclass(part, msgspec.Struct)
        ):
            return part
    return None


@cache
def _fields(struct: Any) -> dict[str, msgspec.structs.FieldInfo]:
    """Return the fields of a structure by their names in the file."""
    return {field.encode_name: field for field in msgspec.structs.fields(struct)}


@cache
def _required(struct: Any) -> tuple[str, ...]:
    """Return the names of the fields that a structure cannot do without."""
    return tuple(name for name, field in _fields(struct).items() if field.required)


def _terms(
    value: Any, left_out: frozenset[str] = frozenset(), place: str = ""
) -> Iterator[tuple[str, Any]]:
    """Yield the places and plain values within an object or list."""
    for name, item in value.items() if isinstance(value, dict) else enumerate(value):
        if name in left_out:
            continue
        inner = f"{place}[{name}]" if isinstance(value, list) else f"{place}.{name}".lstrip(".")
        if isinstance(item, dict | list):
            yield from _terms(item, place=inner)
        else:
            yield inner, item


def _route_problems(stored: _Configuration) -> Iterator[Finding]:
    """Yield the values of routes that gateways accept but do not use as they stand."""
    for index, route in enumerate(stored.routes):
        if route.kind not in KINDS:
            kind = route.kind[:MAX_NAME_CHARACTERS]
            yield Finding(f"routes[{index}].kind", f"{kind!r} is none of {', '.join(KINDS)}")
        if route.service and route.split:
            yield Finding(f"routes[{index}].service", "not used, as the route has a split")
        if route.attempts < 1:
            yield Finding(f"routes[{index}].attempts", f"{route.attempts} is under 1")
