"""How long an engine's stream may be silent before it is resumed over a new connection."""

from bluebellrun.declarations import Configuration

GAPS_IN_SILENCE = 10.0
SHORTEST_SILENCE_S = 1.0


def silence_limit_s(configuration: Configuration | None, priority: int, longest_s: float) -> float:
    """Return the limit for one priority in seconds: a multiple of its declared token gap.

    Resuming a stream that was only slow does no harm, so that urgent work need not wait for the
    longest silence that any work may have.
    """
    if configuration is None:
        return longest_s
    gap_s = configuration.priority_rule(priority).token_gap_s
    return min(longest_s, max(SHORTEST_SILENCE_S, GAPS_IN_SILENCE * gap_s))
