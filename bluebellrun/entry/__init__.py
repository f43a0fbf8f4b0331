"""The entry: accepts callers' requests, routes them to upstreams and relays answers."""
