"""Faults of an engine that can be ordered."""

from dataclasses import dataclass


@dataclass(slots=True)
class EngineFaults:
    """What goes wrong now.

    ``stall_until`` is a monotonic time in seconds; ``silence`` is raised by one to make all
    connections with an open stream go silent for good; ``break_after`` cuts each connection after
    so many tokens of a stream; ``decline`` answers 503 to new requests; ``slow_factor`` lengthens
    steps. The process ends as it begins to answer a prompt that contains ``crash_text``.
    """

    stall_until: float = 0.0
    late_s: float = 0.0
    silence: int = 0
    break_after: int = 0
    decline: bool = False
    slow_factor: float = 1.0
    crash_text: str = ""
