"""Limit of a stream's silence, after which it is resumed over a new connection."""

from bluebellrun.declarations import Configuration

SILENCE_LIMIT_TOKEN_GAPS = 10.0
MIN_SILENCE_LIMIT_S = 1.0


def silence_limit_s(
    configuration: Configuration | None, priority: int, max_silence_s: float
) -> float:
    """Return the limit for one priority, in seconds: a multiple of its declared token gap.

    Resuming a stream that was only slow is harmless, so urgent work does not wait for
    ``max_silence_s``, the longest silence allowed for any work.
    """
    if configuration is None:
        return max_silence_s
    gap_s = configuration.priority_rule(priority).token_gap_s
    return min(max_silence_s, max(MIN_SILENCE_LIMIT_S, SILENCE_LIMIT_TOKEN_GAPS * gap_s))
