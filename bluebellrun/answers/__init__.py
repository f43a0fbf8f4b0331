"""Answers in transit: byte offsets, bounded buffers, an end mark and a running digest."""

from bluebellrun.answers._assembly import AnswerAssembly, AnswerGapError
from bluebellrun.answers._buffer import AnswerBuffer, BufferOverrunError, EndMark

__all__ = ["AnswerAssembly", "AnswerBuffer", "AnswerGapError", "BufferOverrunError", "EndMark"]
