"""Ask processes for what they tell operators."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

import curio
from pydantic import BaseModel, ValidationError

from bluebellrun.core import Address
from bluebellrun.http import ClientTimeouts, HttpClient, TransportError
from bluebellrun.reports._exceptions import ReportError, ReportRefusedError
from bluebellrun.reports._models import Snapshot, Status

OK = 200
REFUSED_STATUSES = frozenset({401, 403})
TIMEOUT_S = 5.0
AT_ONCE = 32

ModelT = TypeVar("ModelT", bound=BaseModel)


@dataclass(frozen=True, slots=True)
class Collected(Generic[ModelT]):
    """The answers that came, and the addresses that gave none with the reason."""

    answers: tuple[ModelT, ...]
    missing: dict[str, str]


async def collect_snapshots(
    entries: Sequence[Address], token: str, tls: Any = None
) -> Collected[Snapshot]:
    """Return the snapshots of entries; raise ``ReportRefusedError`` for a wrong token."""
    return await _collect(entries, "/operators/report", token, Snapshot, tls)


async def collect_statuses(
    entries: Sequence[Address], token: str, tls: Any = None
) -> Collected[Status]:
    """Return the statuses of entries; raise ``ReportRefusedError`` for a wrong token."""
    return await _collect(entries, "/operators/status", token, Status, tls)


async def _collect(
    entries: Sequence[Address], path: str, token: str, model: type[ModelT], tls: Any
) -> Collected[ModelT]:
    """Ask all entries, a few at once."""
    answers: list[ModelT] = []
    missing: dict[str, str] = {}
    for start in range(0, len(entries), AT_ONCE):
        tasks = {}
        for entry in entries[start : start + AT_ONCE]:
            tasks[entry] = await curio.spawn(_ask, entry, path, token, model, tls)
        for entry, task in tasks.items():
            answer = await task.join()
            if isinstance(answer, ReportRefusedError):
                raise answer
            if isinstance(answer, ReportError):
                missing[str(entry)] = str(answer)
            else:
                answers.append(answer)
    return Collected(tuple(answers), missing)


async def _ask(
    entry: Address, path: str, token: str, model: type[ModelT], tls: Any
) -> ModelT | ReportError:
    """Ask one entry; return its answer, or why there is none."""
    try:
        return await _fetch(entry, path, token, model, tls)
    except ReportError as error:
        return error


async def _fetch(entry: Address, path: str, token: str, model: type[ModelT], tls: Any) -> ModelT:
    """Ask one entry; raise ``ReportError`` when there is no answer."""
    limits = ClientTimeouts(TIMEOUT_S, TIMEOUT_S, TIMEOUT_S)
    client = HttpClient(entry, limits, tls=tls)
    try:
        status, data = await client.fetch("GET", path, [("authorization", f"Bearer {token}")])
    except TransportError as error:
        raise ReportError(f"{entry}: {error}") from error
    finally:
        await client.close()
    if status in REFUSED_STATUSES:
        text = f"{entry} refused the token; pass --token or set BLUEBELLRUN_OPERATOR_TOKEN"
        raise ReportRefusedError(text)
    if status != OK:
        raise ReportError(f"{entry} answered {status}")
    try:
        return model.model_validate_json(data)
    except ValidationError as error:
        raise ReportError(f"{entry} sent what cannot be read: {error}") from error
