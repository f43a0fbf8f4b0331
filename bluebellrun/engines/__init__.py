"""Clients of upstreams: model engines and plain HTTP services behind one interface."""

from bluebellrun.engines._client import UpstreamAnswer, UpstreamClient, UpstreamRequest
from bluebellrun.engines._exceptions import (
    AnswerBrokenError,
    EngineError,
    RequestDeclinedError,
    RequestNotSentError,
    UpstreamTimeoutError,
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
    "OrderClient",
    "OrderError",
    "OrderInDoubtError",
    "OrderNotSentError",
    "OrderRejectedError",
    "PlainService",
    "RequestDeclinedError",
    "RequestNotSentError",
    "UpstreamAnswer",
    "UpstreamClient",
    "UpstreamKind",
    "UpstreamRequest",
    "UpstreamTimeoutError",
    "UpstreamTimeouts",
    "parse_load",
]
