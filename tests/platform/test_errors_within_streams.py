"""Streams that began and broke off, and upstreams that answer their resumption with an error."""

from typing import Any

import pytest

from tests.platform.test_gateway import run_check
from tests.platform.upstreams import (
    Answer,
    Arrival,
    GatewayBench,
    events,
    reply,
    sends,
    sends_and_closes,
    stream,
)

ERROR_TEXT = b'{"error": "the engine failed"}\n\n'


def stamped(status: int, body: bytes, **headers: str) -> bytes:
    return reply(status, body, X_Bluebellrun_Server_Stamp="other", **headers)


ERRORS = {
    "failed": stamped(500, ERROR_TEXT),
    "not found": stamped(404, ERROR_TEXT, Content_Type="text/event-stream"),
    "refused": reply(503, ERROR_TEXT, X_Bluebellrun_Not_Run="1"),
    "misdirected": reply(421, ERROR_TEXT),
    "success in JSON": stamped(200, ERROR_TEXT, Content_Type="application/json"),
    "success in text": stamped(200, ERROR_TEXT, Content_Type="text/plain"),
    "no content": stamped(204, b""),
    "partial content": stamped(206, ERROR_TEXT, Content_Type="text/event-stream"),
    "redirected": stamped(302, ERROR_TEXT),
    "no answer": b"error: the engine failed\r\n\r\n",
    "closed": b"",
}


def breaks_then(answer: bytes) -> Any:
    """Return a script that breaks a stream off after an event, and answers resumptions."""

    async def script(sock: Any, arrival: Arrival) -> None:
        if "last-event-id" in arrival.headers:
            await sock.sendall(answer)
        else:
            await sock.sendall(stream(1, complete=False, partial=b"id: 2\nda"))
        await sock.close()

    return script


def assert_sound(answer: Answer) -> None:
    """Check that a caller got nothing but events, and that only a whole stream looks complete."""
    assert events(1, 2, 3).startswith(answer.body)
    assert answer.body.startswith(events(1))
    assert answer.is_complete == (answer.body == events(1, 2, 3))
    assert answer.headers["x-bluebellrun-server-stamp"] == "st"


# Guards: callers found an error's text in the middle of their stream, or it ended as if complete.
@pytest.mark.parametrize("error", ERRORS.values(), ids=ERRORS)
def test_an_error_at_the_resumption_of_a_stream_does_not_reach_its_caller(error):
    async def check(bench: GatewayBench) -> None:
        assert_sound(await bench.send_request("/talk/a", "POST", b"x"))

    run_check(check, ("u1", breaks_then(error)), ("u2", breaks_then(error)))


@pytest.mark.parametrize("error", ERRORS.values(), ids=ERRORS)
def test_a_stream_is_resumed_at_a_sound_upstream_after_an_error(error):
    resumptions = 0

    async def fails_once(sock: Any, arrival: Arrival) -> None:
        nonlocal resumptions
        if "last-event-id" not in arrival.headers:
            await sock.sendall(stream(1, complete=False))
        else:
            resumptions += 1
            await sock.sendall(error if resumptions == 1 else stream(2, 3))
        await sock.close()

    async def check(bench: GatewayBench) -> None:
        answer = await bench.send_request("/talk/a", "POST", b"x")
        assert_sound(answer)
        assert answer.is_complete

    run_check(check, *((f"u{number}", fails_once) for number in range(4)))


# Guards: an answer that broke off was followed by another upstream's error.
def test_a_large_answer_that_breaks_off_is_not_continued():
    half = stamped(200, b"x" * 600_000)[:500_000]

    async def check(bench: GatewayBench) -> None:
        answer = await bench.send_request("/ask/a")
        assert answer.status == 200
        assert not answer.is_complete
        assert set(answer.body) == set(b"x")

    bench = run_check(check, ("u1", sends_and_closes(half)), ("u2", sends(ERRORS["failed"])))
    assert len(bench.arrivals) <= 2
