import curio

from bluebellrun.admission import Work
from bluebellrun.agent._execution import Execution
from bluebellrun.agent._session import MAX_BATCH_BYTES, Session
from bluebellrun.messages import Chunk, Hello, Load, Submit, decode_agent_batch

ANSWER_BYTES = 300_000
ATTEMPTS = 20


class FakeCall:
    def __init__(self) -> None:
        self.sent: list[bytes] = []

    async def send(self, message: bytes) -> None:
        self.sent.append(message)

    async def receive(self) -> None:
        await curio.sleep(0.2)


class FakeAgent:
    def hello(self) -> Hello:
        return Hello("a", "life", False, 1)

    def load(self) -> Load:
        return Load(0, 0, 0.0, 1, 0.0, False)

    def forget(self, execution: Execution) -> None:
        pass

    def keep_for_resume(self, executions: list[Execution]) -> None:
        pass


async def completed_execution(attempt: str) -> Execution:
    submit = Submit(attempt, "r", "life", "c", "s", 3, "POST", "/", [], b"", True, 10.0)
    execution = Execution(submit, Work(attempt, "c", 3, 0.0, 10.0), ANSWER_BYTES)
    execution.start()
    execution.mark_sent()
    execution.record_head(200, [])
    await execution.append(bytes(ANSWER_BYTES))
    execution.complete()
    return execution


def test_many_complete_answers_are_sent_in_batches_of_bounded_size():
    async def main() -> list[bytes]:
        call = FakeCall()
        session = Session(FakeAgent(), call, 0.0)
        for number in range(ATTEMPTS):
            attempt = f"r.{number}"
            session._executions[attempt] = await completed_execution(attempt)
        await session.run()
        return call.sent

    sent = curio.run(main)
    events = [event for message in sent for event in decode_agent_batch(message).events]
    received_bytes = sum(len(event.data) for event in events if isinstance(event, Chunk))
    assert received_bytes == ANSWER_BYTES * ATTEMPTS
    assert max(len(message) for message in sent) < MAX_BATCH_BYTES + 65_536
