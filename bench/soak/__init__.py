"""Real processes under random faults from a seed, checked against the stand-ins' own counts."""
