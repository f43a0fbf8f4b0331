"""One answer over many links: chunks lost, repeated, reordered and late, then resumed."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from bluebellrun.answers import AnswerAssembly, AnswerBuffer, AnswerGapError
from tests.machines import example_count

CAPACITY = 32


class OneAnswer(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.buffer = AnswerBuffer(CAPACITY)
        self.assembly = AnswerAssembly()
        self.written = b""
        self.received = b""
        self.flying: list[tuple[int, bytes]] = []
        self.gaps = 0

    @precondition(lambda self: self.buffer.end is None and self.buffer.free_capacity)
    @rule(data=st.binary(min_size=1, max_size=12))
    def the_engine_writes(self, data):
        data = data[: self.buffer.free_capacity]
        self.buffer.append(data)
        self.written += data

    @rule()
    def the_engine_ends(self):
        self.buffer.finish()

    @rule(limit=st.integers(1, 10))
    def a_chunk_is_sent(self, limit):
        offset, data = self.buffer.read_unsent(limit)
        if data:
            self.flying.append((offset, data))

    @precondition(lambda self: self.flying)
    @rule(pick=st.integers(0, 100), lost=st.booleans(), again=st.booleans())
    def a_chunk_arrives(self, pick, lost, again):
        offset, data = self.flying[pick % len(self.flying)]
        if not again:
            self.flying.remove((offset, data))
        if lost:
            return
        try:
            self.received += self.assembly.accept(offset, data)
        except AnswerGapError:
            self.gaps += 1

    @rule()
    def the_receiver_confirms(self):
        self.buffer.confirm(self.assembly.offset)

    @rule()
    def the_link_is_lost_and_the_answer_resumed(self):
        self.flying.clear()
        assert self.buffer.rewind(self.assembly.offset)

    @invariant()
    def what_was_received_is_a_prefix_of_what_was_written(self):
        assert self.written.startswith(self.received)

    @invariant()
    def the_buffer_is_bounded(self):
        assert self.buffer.appended - self.buffer.confirmed <= CAPACITY

    def teardown(self):
        end = self.buffer.finish()
        self.the_link_is_lost_and_the_answer_resumed()
        while not self.buffer.all_sent:
            self.received += self.assembly.accept(*self.buffer.read_unsent(7))
        assert self.assembly.finish(end)
        assert self.received == self.written


OneAnswer.TestCase.settings = settings(max_examples=example_count(100), stateful_step_count=40)
TestOneAnswer = OneAnswer.TestCase
