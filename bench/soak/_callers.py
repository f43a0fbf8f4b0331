"""Callers: threads that send requests through both entries and repeat keyed ones."""

import hashlib
import http.client
import json
import threading
import time
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from bench.soak._records import Diary, Kind, Told

KEY = "soak-key"
PATIENCE_S = 60.0
REPEAT_PAUSE_S = 0.3
MAX_REPEATS = 8
UNREACHED_PAUSE_S = 0.05
REPEAT_AFTER_SUCCESS = 0.3
READ_BYTES = 4_096
OK = 200
FINAL = frozenset({"ran", "already_ran"})


@dataclass(frozen=True, slots=True)
class Request:
    """A request of a soak; ``key`` is empty where it has none."""

    kind: Kind
    path: str
    body: bytes
    key: str
    priority: int


def send(entry: str, request: Request) -> Told:
    """Send a request to an entry and return what the caller was told."""
    started = time.monotonic()
    headers = {
        "Authorization": f"Bearer {KEY}",
        "Content-Type": "application/json",
        "Priority": f"u={request.priority}",
    }
    if request.key:
        headers["Idempotency-Key"] = request.key
    connection = http.client.HTTPConnection(entry, timeout=PATIENCE_S)
    status, request_id, replayed, body, outcome = 0, "", False, b"", "unreached"
    detail = ""
    try:
        connection.connect()
        outcome = "silent"
        connection.request("POST", request.path, request.body, headers)
        response = connection.getresponse()
        status = response.status
        request_id = response.headers.get("request-id", "")
        replayed = response.headers.get("idempotency-replayed") == "true"
        outcome = "cut"
        while data := response.read1(READ_BYTES):
            body += data
        outcome, detail = _outcome(status, body)
    except (OSError, http.client.HTTPException) as error:
        detail = repr(error)
    finally:
        connection.close()
    return Told(
        kind=request.kind,
        key=request.key,
        request_id=request_id,
        status=status,
        outcome=outcome,
        detail=detail,
        digest=hashlib.sha256(body).hexdigest(),
        replayed=replayed,
        started=started,
        ended=time.monotonic(),
    )


def _outcome(status: int, body: bytes) -> tuple[str, str]:
    """Return the outcome that a whole answer tells, and its detail."""
    if status == OK:
        return "ran", ""
    try:
        problem = json.loads(body)
        return str(problem["outcome"]), str(problem["detail"])
    except (ValueError, KeyError, TypeError):
        return "malformed", body[:200].decode("utf-8", "replace")


class Caller(threading.Thread):
    """One caller that sends requests one after another until told to stop."""

    def __init__(
        self, number: int, seed: int, entries: Sequence[str], diary: Diary, pause_s: float
    ) -> None:
        super().__init__(daemon=True, name=f"caller-{number}")
        self._number = number
        self._random = Random(f"{seed}/{number}")
        self._entries = list(entries)
        self._diary = diary
        self._pause_s = pause_s
        self._sent = 0
        self.stopping = threading.Event()

    def run(self) -> None:
        """Send requests until told to stop."""
        while not self.stopping.is_set():
            request = self._next()
            if request.kind is Kind.KEYED_ORDER:
                self._send_keyed(request)
            else:
                self._diary.add(self._send(request))
            time.sleep(self._random.expovariate(1 / self._pause_s))

    def _send(self, request: Request) -> Told:
        """Send a request to some entry that accepts connections, as a balancer would."""
        told = send(self._random.choice(self._entries), request)
        while told.outcome == "unreached":
            time.sleep(UNREACHED_PAUSE_S)
            told = send(self._random.choice(self._entries), request)
        return told

    def _next(self) -> Request:
        """Return the next request."""
        self._sent += 1
        mark = f"{self._number}-{self._sent}"
        kinds = [Kind.KEYED_ORDER, Kind.ORDER, Kind.STREAM, Kind.DOCUMENT]
        kind = self._random.choices(kinds, weights=[5, 2, 4, 1])[0]
        priority = self._random.choice([1, 3, 6])
        if kind in (Kind.KEYED_ORDER, Kind.ORDER):
            key = f"key-{mark}" if kind is Kind.KEYED_ORDER else ""
            body = json.dumps({"reel": mark}).encode()
            return Request(kind, "/services/job-ledger/jobs", body, key, priority)
        chat = {
            "model": "draft-large",
            "messages": [{"role": "user", "content": f"label {mark}"}],
            "max_tokens": self._random.randint(5, 120),
            "stream": kind is Kind.STREAM,
        }
        return Request(kind, "/v1/chat/completions", json.dumps(chat).encode(), "", priority)

    def _send_keyed(self, request: Request) -> None:
        """Send a keyed order; repeat it after a doubt, and at times at once or for no reason."""
        if self._random.random() < 0.15:
            self._send_twice_at_once(request)
        for _ in range(MAX_REPEATS):
            told = self._send(request)
            self._diary.add(told)
            if told.outcome in FINAL and self._random.random() > REPEAT_AFTER_SUCCESS:
                return
            time.sleep(REPEAT_PAUSE_S * self._random.random() * 2)

    def _send_twice_at_once(self, request: Request) -> None:
        """Send the same order twice at the same time, mostly through two entries."""
        other = threading.Thread(target=lambda: self._diary.add(self._send(request)))
        other.start()
        self._diary.add(self._send(request))
        other.join()
