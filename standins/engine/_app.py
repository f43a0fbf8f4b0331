"""The engine's HTTP API: completions, models, load, faults and records."""

import hashlib
import json
import os
import time
from typing import Any

import curio

from bluebellrun.http import HttpExchange
from standins._serving import not_found
from standins.engine._batching import Batcher, EngineSettings, Sequence
from standins.engine._faults import EngineFaults
from standins.engine._streams import STREAMS_PATH, AnswerRecord, StreamTable, answer_digest

CRASH_STATUS = 70


class EngineApp:
    """Serve an OpenAI-style API from a batcher."""

    def __init__(self, name: str, models: list[str], settings: EngineSettings) -> None:
        self.name = name
        self.models = models
        self.settings = settings
        self.faults = EngineFaults()
        self.batcher = Batcher(settings, self.faults)
        self.streams = StreamTable(self.faults)
        self.records: dict[str, AnswerRecord] = {}

    async def handle(self, exchange: HttpExchange) -> None:
        """Answer one request."""
        match exchange.request.path:
            case "/v1/chat/completions" | "/v1/completions":
                await self._complete(exchange)
            case "/v1/models":
                listed = [{"id": model, "object": "model"} for model in self.models]
                await exchange.answer_json(200, {"object": "list", "data": listed})
            case "/metrics":
                text = self._metrics().encode()
                await exchange.answer(200, [("content-type", "text/plain")], text)
            case "/standin/faults":
                self._order_faults(json.loads(exchange.request.body))
                await exchange.answer_json(200, {})
            case "/cache/events":
                await self._answer_cache_events(exchange)
            case "/standin/records":
                records = {key: self._record(value) for key, value in self.records.items()}
                await exchange.answer_json(200, records)
            case path if path.startswith(STREAMS_PATH):
                await self.streams.handle(exchange, path.removeprefix(STREAMS_PATH))
            case _:
                await not_found(exchange)

    async def _answer_cache_events(self, exchange: HttpExchange) -> None:
        """Answer the cache events that are visible by now, after the number in ``after=``."""
        after = int(exchange.request.target.partition("after=")[2] or 0)
        visible = self.batcher.cache.visible_events(after, time.monotonic())
        events = [{"number": e.number, "kind": e.kind, "block": e.block} for e in visible]
        await exchange.answer_json(200, {"events": events})

    def _order_faults(self, body: dict[str, Any]) -> None:
        """Set faults; ``stall_s`` stalls all steps for so many seconds."""
        for name, value in body.items():
            if name == "stall_s":
                self.faults.stall_until = time.monotonic() + float(value)
            else:
                setattr(self.faults, name, value)

    def _record(self, record: AnswerRecord) -> dict[str, object]:
        """Return a record in its wire form."""
        return {
            "runs": record.runs,
            "sha256": record.sha256,
            "length": record.length,
            "complete": record.complete,
        }

    def _metrics(self) -> str:
        """Return the load in the Prometheus text format."""
        waiting, running = self.batcher.lagging_load(time.monotonic())
        return (
            f"engine_requests_waiting {waiting}\n"
            f"engine_requests_running {running}\n"
            f"engine_step_seconds {self.batcher.step_s}\n"
            f"engine_tokens_total {self.batcher.tokens}\n"
            f"engine_prompt_tokens_total {self.batcher.cache.prompt_tokens}\n"
            f"engine_prefix_hit_tokens_total {self.batcher.cache.hit_tokens}\n"
            f"engine_preemptions_total {self.batcher.preempted}\n"
        )

    async def _complete(self, exchange: HttpExchange) -> None:
        """Run one completion."""
        if self.faults.decline:
            await exchange.answer_json(503, {"error": {"message": "overloaded"}})
            return
        try:
            body = json.loads(exchange.request.body)
            sequence = self._sequence(exchange, body)
        except (ValueError, TypeError, AttributeError) as error:
            await exchange.answer_json(400, {"error": {"message": f"bad request: {error}"}})
            return
        record = self.records.setdefault(sequence.request, AnswerRecord())
        record.runs += 1
        await curio.sleep(self.faults.late_s)
        await self.batcher.add(sequence)
        crash_text = self.faults.crash_text.encode()
        if crash_text and crash_text in sequence.prompt:
            await curio.spawn(self._crash_under, sequence, daemon=True)
        try:
            if body.get("stream"):
                await self.streams.send(exchange, self.streams.open(sequence, record), 0)
                return
            await self._whole(exchange, sequence, record)
        finally:
            if not body.get("stream"):
                sequence.cancelled = True

    async def _crash_under(self, sequence: Sequence) -> None:
        """End the process as the answer to a sequence begins."""
        await self._wait(sequence, 0)
        os._exit(CRASH_STATUS)

    def _sequence(self, exchange: HttpExchange, body: dict[str, Any]) -> Sequence:
        """Return the sequence that a request asks for."""
        prompt = json.dumps(body.get("messages") or body.get("prompt") or "").encode()
        field = exchange.request.header("priority") or "u=3"
        return Sequence(
            request=exchange.request.header("x-request-id") or "?",
            prompt=prompt,
            max_tokens=int(body.get("max_tokens") or self.settings.default_tokens),
            priority=int(field.partition("u=")[2][:1] or 3),
        )

    async def _whole(
        self, exchange: HttpExchange, sequence: Sequence, record: AnswerRecord
    ) -> None:
        """Send the answer as one JSON document."""
        while not sequence.finished:
            await self._wait(sequence, sequence.produced)
        text = "".join(sequence.token(i) for i in range(sequence.max_tokens))
        choice = {"index": 0, "message": {"role": "assistant", "content": text}, "text": text}
        usage = {
            "prompt_tokens": len(sequence.prompt) // 4,
            "completion_tokens": sequence.max_tokens,
        }
        answer = {
            "id": sequence.request,
            "choices": [choice],
            "usage": usage,
            "answer_sha256": answer_digest(sequence),
        }
        body = json.dumps(answer).encode()
        record.sha256 = hashlib.sha256(body).hexdigest()
        record.length = len(body)
        await exchange.answer(200, [("content-type", "application/json")], body)
        record.complete = True

    async def _wait(self, sequence: Sequence, seen: int) -> None:
        """Wait until a sequence has more tokens than were seen."""
        while sequence.produced <= seen:
            sequence.changed.clear()
            await sequence.changed.wait()
