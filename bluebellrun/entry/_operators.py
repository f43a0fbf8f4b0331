"""Endpoints for operators, authenticated by a declared token."""

from bluebellrun.declarations import Configuration
from bluebellrun.entry._callers import BEARER, refuse
from bluebellrun.entry._service_levels import ServiceLevels
from bluebellrun.http import HttpExchange, HttpRequest

OPERATORS_PREFIX = "/operators/"
STATUS_PATH = "/operators/status"
REPORT_PATH = "/operators/report"
VIEWER_ROLES = frozenset({"viewer", "planner", "confirmer"})


class OperatorEndpoints:
    """Serve an entry's status and report to operators."""

    def __init__(self, levels: ServiceLevels) -> None:
        self._levels = levels

    async def answer(self, exchange: HttpExchange, configuration: Configuration) -> None:
        """Answer an operator's request; raise ``CallerError`` if it is unauthorized or invalid."""
        check_operator(configuration, exchange.request)
        if exchange.request.method != "GET":
            raise refuse(405, f"{exchange.request.path} takes GET, not {exchange.request.method}")
        match exchange.request.path:
            case "/operators/status":
                text = self._levels.status(configuration.version).model_dump_json()
            case "/operators/report":
                text = (await self._levels.snapshot(configuration)).model_dump_json()
            case path:
                raise refuse(404, f"nothing at {path}; see {STATUS_PATH} and {REPORT_PATH}")
        await exchange.answer(200, [("content-type", "application/json")], text.encode())


def check_operator(configuration: Configuration, request: HttpRequest) -> str:
    """Return the operator's name; raise ``CallerError`` if the token or role is insufficient."""
    authorization = request.header("authorization") or ""
    if not authorization.lower().startswith(BEARER):
        raise refuse(401, "send Authorization: Bearer TOKEN with an operator's token")
    operator = configuration.find_operator(authorization[len(BEARER) :].strip())
    if operator is None:
        raise refuse(401, "the token is not known; declare an operator with its hash")
    if not operator.roles & VIEWER_ROLES:
        raise refuse(403, f"operator {operator.name} has no role; declare one of viewer, planner")
    return operator.name
