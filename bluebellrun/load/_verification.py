"""Check that an answer is the one to its own request.

A model engine that takes part puts ``answer_sha256`` into the last event of a stream, or into the
whole answer: the digest of the prompt and the text. A plain service does the same for the body it
was sent, as ``body_sha256``. Without such a digest an answer cannot be verified.
"""

import hashlib
import json
from typing import Any

EVENT_PREFIX = b"data: "
DONE = b"[DONE]"


def verify_stream(messages: object, body: bytes) -> bool | None:
    """Return whether a streamed answer is right; none when it carries no digest."""
    text, digest = [], None
    for line in body.split(b"\n"):
        payload = line.removeprefix(EVENT_PREFIX)
        if payload == line or payload.strip() == DONE:
            continue
        try:
            event = json.loads(payload)
            text += [_delta(choice) for choice in event.get("choices", [])]
            digest = event.get("answer_sha256", digest)
        except (ValueError, AttributeError, TypeError):
            return False
    return None if digest is None else digest == digest_of(messages, "".join(text))


def verify_whole(messages: object, request: bytes, body: bytes) -> bool | None:
    """Return whether a whole answer is right; none when it carries no digest."""
    try:
        answer = json.loads(body)
    except ValueError:
        return None
    if not isinstance(answer, dict):
        return None
    if "body_sha256" in answer:
        return bool(answer["body_sha256"] == hashlib.sha256(request).hexdigest())
    if "answer_sha256" not in answer:
        return None
    text = "".join(str(choice.get("text", "")) for choice in answer.get("choices", []))
    return bool(answer["answer_sha256"] == digest_of(messages, text))


def digest_of(messages: object, text: str) -> str:
    """Return the digest of a prompt and the text that answers it."""
    return hashlib.sha256(json.dumps(messages).encode() + text.encode()).hexdigest()


def _delta(choice: dict[str, Any]) -> str:
    """Return the text of a part of a streamed answer."""
    return str(choice.get("delta", {}).get("content") or "")
