"""Stand-ins of the platform, the replicas and the consumers for the cases of the review."""
