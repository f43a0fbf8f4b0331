"""Model test: an answer stays intact if chunks are lost, repeated, reordered, late or resumed."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from bluebellrun.answers import AnswerAssembly, AnswerBuffer, AnswerGapError
from tests.machines import example_count

CAPACITY = 32


class AnswerTransfer(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.buffer = AnswerBuffer(CAPACITY)
        self.assembly = AnswerAssembly()
        self.written = b""
        self.received = b""
        self.in_transit: list[tuple[int, bytes]] = []
        self.gaps = 0

    @precondition(lambda self: self.buffer.end is None and self.buffer.free_capacity)
    @rule(data=st.binary(min_size=1, max_size=12))
    def append_to_the_buffer(self, data):
        data = data[: self.buffer.free_capacity]
        self.buffer.append(data)
        self.written += data

    @rule()
    def finish_the_buffer(self):
        self.buffer.finish()

    @rule(limit=st.integers(1, 10))
    def send_a_chunk(self, limit):
        offset, data = self.buffer.read_unsent(limit)
        if data:
            self.in_transit.append((offset, data))

    @precondition(lambda self: self.in_transit)
    @rule(pick=st.integers(0, 100), lost=st.booleans(), repeated=st.booleans())
    def deliver_a_chunk(self, pick, lost, repeated):
        offset, data = self.in_transit[pick % len(self.in_transit)]
        if not repeated:
            self.in_transit.remove((offset, data))
        if lost:
            return
        try:
            self.received += self.assembly.accept(offset, data)
        except AnswerGapError:
            self.gaps += 1

    @rule()
    def confirm_received_bytes(self):
        self.buffer.confirm(self.assembly.offset)

    @rule()
    def lose_the_link_and_resume(self):
        self.in_transit.clear()
        assert self.buffer.rewind(self.assembly.offset)

    @invariant()
    def received_bytes_are_a_prefix_of_written_bytes(self):
        assert self.written.startswith(self.received)

    @invariant()
    def the_buffer_is_bounded(self):
        assert self.buffer.appended - self.buffer.confirmed <= CAPACITY

    def teardown(self):
        end = self.buffer.finish()
        self.lose_the_link_and_resume()
        while not self.buffer.all_sent:
            self.received += self.assembly.accept(*self.buffer.read_unsent(7))
        assert self.assembly.finish(end)
        assert self.received == self.written


AnswerTransfer.TestCase.settings = settings(max_examples=example_count(100), stateful_step_count=40)
TestAnswerTransfer = AnswerTransfer.TestCase
