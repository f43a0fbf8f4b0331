"""The sidecar: the process beside an engine, by which others call it from its own host."""
