"""How long an engine's stream may be silent before it is resumed over a new connection."""

from bluebellrun.declarations import Configuration

SILENCE_LIMIT_TOKEN_GAPS = 10.0
MIN_SILENCE_LIMIT_S = 1.0


def silence_limit_s(
    configuration: Configuration | None, priority: int, max_silence_s: float
) -> float:
    """Return the limit for one priority in seconds: a multiple of its declared token gap.

    Resuming a stream that was only slow does no harm, so that urgent work need not wait for the
    longest silence that any work may have.
    """
    if configuration is None:
        return max_silence_s
    gap_s = configuration.priority_rule(priority).token_gap_s
    return min(max_silence_s, max(MIN_SILENCE_LIMIT_S, SILENCE_LIMIT_TOKEN_GAPS * gap_s))
