"""Convert requests and answers between the platform's headers and the gateway's types."""

import re

from bluebellrun.core import is_whole_number
from bluebellrun.gateway import (
    Attempt,
    BadRequestError,
    CallerRequest,
    LimitNotice,
    NamedLimit,
    NoLimit,
    UnreadableLimit,
    UpstreamAnswer,
)
from bluebellrun.http import (
    AcceptResponse,
    Headers,
    HttpRequest,
    end_to_end,
    header_text,
    header_value,
    read_retry_after_s,
)
from bluebellrun.platform._names import (
    COLD_MS,
    DEADLINE_MS,
    EXPECT_INSTANCE,
    EXPECT_VERSION,
    KEY,
    LAST_EVENT_ID,
    LENGTH_HINT,
    NOT_RUN,
    PRIORITY,
    PROMPT_PARTS,
    REQUEST_ID,
    RETRY_AFTER,
    SERVER_LEAVING,
    SERVER_LIMIT,
    TENANT,
    TOKEN_COUNT,
)

OK = 200
MISDIRECTED = 421
UNAVAILABLE = 503
EVENT_STREAM = "text/event-stream"
LEAVING_VALUE = "1"
# Requests a second, with or without a fraction.
LIMIT = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?")
MAX_LOGGED_CHARACTERS = 60
# Headers that the gateway sets itself or does not forward.
NOT_FORWARDED = frozenset(
    {
        DEADLINE_MS,
        KEY,
        TENANT,
        EXPECT_INSTANCE,
        EXPECT_VERSION,
        PRIORITY,
        LAST_EVENT_ID,
        "expect",
    }
)
LEAST_URGENT_PRIORITY = 9
HEXADECIMAL = frozenset("0123456789abcdef")
MAX_PART_ID_LENGTH = 64
# Upstreams read a deadline of 0 as no deadline.
MIN_DEADLINE_MS = 1


class PlatformWire:
    """Reads and writes the platform's request and answer headers."""

    def read_request(self, request: HttpRequest, received: float) -> CallerRequest:
        """Read a caller's request; raise ``BadRequestError`` for a malformed header."""
        headers = dict(reversed(request.headers))
        prompt, answer = _token_counts(headers.get(TOKEN_COUNT))
        deadline_ms = _number(headers, DEADLINE_MS)
        return CallerRequest(
            id=headers.get(REQUEST_ID, ""),
            method=request.method,
            target=request.target,
            host=headers.get("host", ""),
            headers=[
                (name, value)
                for name, value in end_to_end(request.headers)
                if name not in NOT_FORWARDED
            ],
            body=request.body,
            received=received,
            caller_timeout_s=None if deadline_ms is None else deadline_ms / 1000,
            key=headers.get(KEY),
            prompt_tokens=prompt,
            answer_tokens=answer,
            expected_tokens=_number(headers, LENGTH_HINT) or 0,
            last_event_id=_number(headers, LAST_EVENT_ID),
            prompt_parts=_prompt_parts(headers.get(PROMPT_PARTS)),
        )

    def upstream_headers(self, request: CallerRequest, attempt: Attempt) -> Headers:
        """Return the headers of a request to an upstream."""
        remaining_ms = max(MIN_DEADLINE_MS, int(attempt.remaining_s * 1000))
        headers = [
            *request.headers,
            (DEADLINE_MS, str(remaining_ms)),
            (EXPECT_INSTANCE, header_text(attempt.upstream.instance)),
            (PRIORITY, str(min(LEAST_URGENT_PRIORITY, max(0, attempt.urgency)))),
        ]
        if attempt.customer is not None:
            headers.append((TENANT, header_text(attempt.customer)))
        if attempt.last_event_id is not None:
            headers.append((LAST_EVENT_ID, str(attempt.last_event_id)))
        return headers

    def answers_to(self, request: CallerRequest) -> AcceptResponse:
        """Return a predicate that accepts responses to this request; upstreams echo its id."""

        def accept(status: int, headers: Headers) -> bool:
            echoed = header_value(headers, REQUEST_ID)
            return echoed == request.id or (echoed is None and status >= 300)

        return accept

    def read_answer(self, status: int, headers: Headers) -> UpstreamAnswer:
        """Read the head of an upstream's response."""
        return UpstreamAnswer(
            status=status,
            headers=[(k, v) for k, v in end_to_end(headers) if k != "content-length"],
            not_run=status == MISDIRECTED or header_value(headers, NOT_RUN) is not None,
            misdirected=status == MISDIRECTED,
            leaving=header_value(headers, SERVER_LEAVING) == LEAVING_VALUE,
            retry_after_s=read_retry_after_s(headers) if status == UNAVAILABLE else None,
            limit=_limit(headers),
            cold_s=_cold_s(headers),
            names_request=header_value(headers, REQUEST_ID) is not None,
            is_stream=status == OK and _is_event_stream(headers),
        )

    def refusal_headers(self, request_id: str, retry_after_s: float | None) -> Headers:
        """Return the headers of an answer that the gateway produces itself."""
        headers = [("content-type", "application/json")]
        if request_id:
            headers.append((REQUEST_ID, request_id))
        if retry_after_s is not None:
            headers.append((RETRY_AFTER, f"{retry_after_s:.2f}"))
        return headers


def _is_event_stream(headers: Headers) -> bool:
    """Return whether a body is a series of events, as far as its headers tell."""
    content_type = header_value(headers, "content-type")
    return content_type is None or content_type.partition(";")[0].strip().lower() == EVENT_STREAM


def _limit(headers: Headers) -> LimitNotice:
    """Return what an upstream's answer says of the rate that it accepts."""
    text = header_value(headers, SERVER_LIMIT)
    if text is None:
        return NoLimit()
    if LIMIT.fullmatch(text) is None:
        return UnreadableLimit(text[:MAX_LOGGED_CHARACTERS])
    return NamedLimit(float(text))


def _cold_s(headers: Headers) -> float | None:
    """Return how much longer an upstream is cold, none if its answer does not say."""
    text = header_value(headers, COLD_MS)
    return None if text is None or LIMIT.fullmatch(text) is None else float(text) / 1000


def _number(headers: dict[str, str], name: str) -> int | None:
    """Return a header's integer value, or ``None`` if it is absent."""
    text = headers.get(name)
    if text is None:
        return None
    if not is_whole_number(text.strip()):
        raise BadRequestError(f"{name} is {text!r}; send a whole number")
    return int(text)


def _token_counts(text: str | None) -> tuple[int, int]:
    """Return the prompt's tokens and the answer's maximum tokens; zeros if not given."""
    if text is None:
        return 0, 0
    prompt, _, answer = text.partition(",")
    if not is_whole_number(prompt.strip()) or not is_whole_number(answer.strip()):
        raise BadRequestError(f"{TOKEN_COUNT} is {text!r}; send PROMPT,ANSWER in tokens")
    return int(prompt), int(answer)


def _prompt_parts(text: str | None) -> tuple[str, ...]:
    """Return the ids of a prompt's parts from comma-separated ID:TOKENS entries."""
    if not text:
        return ()
    parts = tuple(entry.partition(":")[0].strip().lower() for entry in text.split(","))
    for part in parts:
        if not 0 < len(part) <= MAX_PART_ID_LENGTH or not HEXADECIMAL.issuperset(part):
            raise BadRequestError(f"{PROMPT_PARTS} has part {part[:40]!r}; send HEX_ID:TOKENS,...")
    return parts
