"""A soak of the programs of the users' platform: real processes, stand-ins, faults from outside."""
