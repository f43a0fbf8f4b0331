"""Upstreams' own protocols: model engines and plain services behind one port."""

from bluebellrun.engines._client import UpstreamAnswer, UpstreamClient, UpstreamRequest
from bluebellrun.engines._exceptions import (
    AnswerBrokenError,
    EngineError,
    NothingSentError,
    RequestDeclinedError,
    UpstreamSilentError,
)
from bluebellrun.engines._load import EngineLoad, LoadClient, LoadReportError, parse_load
from bluebellrun.engines._models import ModelEngine, PlainService, UpstreamKind, UpstreamTimeouts
from bluebellrun.engines._orders import (
    EngineStateError,
    OrderClient,
    OrderError,
    OrderInDoubtError,
    OrderNotSentError,
    OrderRejectedError,
)
from bluebellrun.engines._sse import DoneWatcher

__all__ = [
    "AnswerBrokenError",
    "DoneWatcher",
    "EngineError",
    "EngineLoad",
    "EngineStateError",
    "LoadClient",
    "LoadReportError",
    "ModelEngine",
    "NothingSentError",
    "OrderClient",
    "OrderError",
    "OrderInDoubtError",
    "OrderNotSentError",
    "OrderRejectedError",
    "PlainService",
    "RequestDeclinedError",
    "UpstreamAnswer",
    "UpstreamClient",
    "UpstreamKind",
    "UpstreamRequest",
    "UpstreamSilentError",
    "UpstreamTimeouts",
    "parse_load",
]
