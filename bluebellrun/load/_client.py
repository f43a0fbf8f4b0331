"""Send arrivals at their times and record what came back."""

import json
from dataclasses import dataclass, field

import curio

from bluebellrun.core import Address
from bluebellrun.http import (
    ClientTimeouts,
    HttpClient,
    HttpResponse,
    TransportError,
    header_value,
)
from bluebellrun.load._arrivals import Arrival
from bluebellrun.load._verification import verify_stream, verify_whole

OK = 200
DONE = b"data: [DONE]"


@dataclass(slots=True)
class Sample:
    """What became of one request; times in seconds.

    ``first_byte_s`` and ``total_s`` count from the planned arrival, not from the sending.
    ``gap_s`` is the longest wait between two pieces of the answer.
    """

    stream: str
    at_s: float
    sent_late_s: float = 0.0
    status: int = 0
    outcome: str = ""
    detail: str = ""
    first_byte_s: float = 0.0
    total_s: float = 0.0
    gap_s: float = 0.0
    tokens: int = 0
    whole: bool = False
    key: str = ""
    request_id: str = ""
    gaps: list[float] = field(default_factory=list)
    verified: bool | None = None

    def on_time(self, arrival: Arrival) -> bool:
        """Return whether the answer was whole and within its deadlines."""
        stream = arrival.stream
        if not self.whole or self.total_s > stream.deadline_s:
            return False
        return self.first_byte_s <= stream.first_token_s


async def run_arrivals(
    arrivals: list[Arrival],
    entries: list[Address],
    patience_s: float = 90.0,
    verify: bool = False,
) -> list[Sample]:
    """Send each arrival at its time, entries in turn; return a sample for each.

    With ``verify``, answers are kept until the end and checked then, so that the checks don't
    disturb the load; one with a wrong digest does not count as whole.
    """
    timeouts = ClientTimeouts(connect_s=5.0, first_byte_s=patience_s, whole_s=patience_s)
    clients = [HttpClient(entry, timeouts, max_idle=512) for entry in entries]
    samples = [Sample(arrival.stream.name, arrival.at_s) for arrival in arrivals]
    bodies: dict[int, bytes] = {}
    start = await curio.clock()
    tasks = []
    for index, arrival in enumerate(arrivals):
        await curio.sleep(max(0.0, start + arrival.at_s - await curio.clock()))
        client = clients[index % len(clients)]
        keep = bodies if verify else None
        sending = _send(client, arrival, samples[index], start, index, keep)
        tasks.append(await curio.spawn(sending))
    for task in tasks:
        await task.join()
    for client in clients:
        await client.close()
    for index, body in bodies.items():
        _verify(arrivals[index], samples[index], body)
    return samples


def _verify(arrival: Arrival, sample: Sample, body: bytes) -> None:
    """Check a whole answer against the digest it carries."""
    if not sample.whole:
        return
    if body.rstrip().endswith(DONE):
        sample.verified = verify_stream(_messages(arrival), body)
    else:
        request = _request(arrival, sample)[3]
        sample.verified = verify_whole(_messages(arrival), request, body)
    if sample.verified is False:
        sample.whole, sample.outcome = False, "wrong"


async def _send(
    client: HttpClient,
    arrival: Arrival,
    sample: Sample,
    start: float,
    index: int,
    bodies: dict[int, bytes] | None,
) -> None:
    """Send one request and fill in its sample; keep its answer where there is a place for it."""
    planned = start + arrival.at_s
    sample.sent_late_s = await curio.clock() - planned
    try:
        response = await client.open(*_request(arrival, sample))
        try:
            body = await _read(response, sample, planned, bodies is not None)
            if bodies is not None:
                bodies[index] = body
        finally:
            if not sample.whole:
                await response.close()
    except TransportError as error:
        sample.outcome = sample.outcome or "broken"
        sample.detail = str(error)
    sample.total_s = await curio.clock() - planned


def _request(arrival: Arrival, sample: Sample) -> tuple[str, str, list[tuple[str, str]], bytes]:
    """Return method, target, headers and body."""
    stream = arrival.stream
    headers = [
        ("authorization", f"Bearer {stream.key}"),
        ("content-type", "application/json"),
        ("priority", f"u={stream.priority}"),
        ("request-timeout-ms", str(round(stream.deadline_s * 1000))),
    ]
    if stream.keyed:
        sample.key = f"{stream.name}-{arrival.number}-{arrival.at_s:.6f}"
        headers.append(("idempotency-key", sample.key))
    body = {
        "model": stream.model,
        "messages": _messages(arrival),
        "max_tokens": arrival.answer_tokens,
        "stream": True,
    }
    return stream.method, stream.path, headers, json.dumps(body).encode()


def _messages(arrival: Arrival) -> list[dict[str, str]]:
    """Return the prompt as messages."""
    return [{"role": "user", "content": arrival.prompt}]


async def _read(response: HttpResponse, sample: Sample, planned: float, keep: bool) -> bytes:
    """Read the answer and note its times and whether it is whole; return what is kept of it."""
    sample.status = response.status
    sample.request_id = header_value(response.headers, "request-id") or ""
    stream = "event-stream" in (header_value(response.headers, "content-type") or "")
    last = planned
    tail, body = b"", bytearray()
    while data := await response.read(90.0):
        now = await curio.clock()
        if sample.first_byte_s == 0.0:
            sample.first_byte_s = now - planned
        else:
            sample.gaps.append(now - last)
        last = now
        sample.tokens += data.count(b"\n\n")
        tail = (tail + data)[-64:]
        if keep or not stream:
            body += data
    sample.gap_s = max(sample.gaps, default=0.0)
    if response.status != OK:
        _read_problem(bytes(body), sample)
        return b""
    sample.whole = tail.rstrip().endswith(DONE) if stream else True
    sample.outcome = "ran" if sample.whole else "cut"
    return bytes(body)


def _read_problem(body: bytes, sample: Sample) -> None:
    """Note the outcome that a problem document names."""
    try:
        problem = json.loads(body)
        sample.outcome, sample.detail = problem["outcome"], problem["detail"]
    except (ValueError, KeyError, TypeError):
        sample.outcome = "error"
