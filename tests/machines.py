"""How long state machines run: briefly by default, long with HYPOTHESIS_PROFILE=long."""

import os

LONGER = 20


def example_count(quick: int) -> int:
    """Return how many examples a machine tries."""
    return quick * LONGER if os.environ.get("HYPOTHESIS_PROFILE") == "long" else quick
