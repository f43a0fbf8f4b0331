"""The entry: takes callers' requests, chooses upstreams and relays answers."""
