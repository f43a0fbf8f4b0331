"""The agent: the process beside each upstream, where limits are enforced."""
