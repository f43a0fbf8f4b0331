"""Whether a planned change of a map repays its copies. Pure."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WorthSettings:
    """What a plan has to lessen the skew by.

    ``least_gain``, and ``gain_per_copy`` for each expert that a rank copies on average: copying
    slows steps, moves memory, and what is planned for lasts a few seconds. A group with fewer of
    its places taken than ``busy`` has time to spare: it needs more gain, by the square of how much
    less busy it is and ``most_times`` as much at most.
    """

    least_gain: float = 0.12
    gain_per_copy: float = 0.01
    busy: float = 0.8
    most_times: float = 8.0


def needed_gain(copies: int, ranks: int, load: float, settings: WorthSettings) -> float:
    """Return the least gain of a plan; ``load`` is the part of the group's places taken."""
    gain = settings.least_gain + settings.gain_per_copy * copies / max(1, ranks)
    if load <= 0:
        return gain * settings.most_times
    return gain * min(settings.most_times, max(1.0, (settings.busy / load) ** 2))
