"""Transfer of answers: bounded send buffer, byte offsets, end mark and running digest."""

from bluebellrun.answers._assembly import AnswerAssembly, AnswerGapError
from bluebellrun.answers._buffer import AnswerBuffer, BufferOverrunError, EndMark

__all__ = ["AnswerAssembly", "AnswerBuffer", "AnswerGapError", "BufferOverrunError", "EndMark"]
