"""Settings of the quarantine, and the report of a crash that entries exchange and store."""

from dataclasses import dataclass

import msgspec

# An upstream's instance and its start in Unix milliseconds.
UpstreamIncarnation = tuple[str, int]


@dataclass(frozen=True, slots=True)
class QuarantineSettings:
    """Times in seconds.

    After a crash its reports are awaited for ``settle_s``. A part is quarantined for ``first_s``
    after one crash under an answer that was beginning, for ``repeated_s`` after two crashes, and
    for twice as long after each further one, up to ``max_s``. A crash is forgotten after
    ``retention_s``, and that a part or a whole prompt was answered after ``clearance_s``. A probe
    without a result ends after ``probe_s``. Upstreams that fail together recover from a crash
    within ``max_outage_s``.
    """

    settle_s: float = 0.5
    first_s: float = 60.0
    repeated_s: float = 600.0
    max_s: float = 3_600.0
    retention_s: float = 21_600.0
    clearance_s: float = 600.0
    probe_s: float = 3.0
    max_outage_s: float = 10.0
    max_crashes: int = 32
    max_parts_per_crash: int = 32
    max_cleared_parts: int = 4_096
    max_cleared_prompts: int = 4_096


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """One incarnation of an upstream that ended by itself, and the prompt parts it had then.

    ``beginning`` are the parts of requests whose answers had begun without any content,
    ``waiting`` those of requests without any answer, and ``cleared`` those of either kind that have
    been answered elsewhere. The last part of a prompt is in none of them. ``prompts`` are digests
    of the whole prompts of requests whose answers had begun without any content, none from builds
    that do not tell them. ``age_s`` is the time since the crash in seconds.
    """

    service: str
    instance: str
    started_ms: int
    age_s: float
    beginning: list[str]
    waiting: list[str]
    cleared: list[str] = msgspec.field(default_factory=list)
    prompts: list[str] = msgspec.field(default_factory=list)

    @property
    def incarnation(self) -> UpstreamIncarnation:
        """Return the incarnation that ended."""
        return self.instance, self.started_ms
