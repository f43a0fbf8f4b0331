"""The agent: the sidecar of one upstream, which enforces its limits."""
