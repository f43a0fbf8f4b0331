"""Whether a planned change of an expert map is worth its copies. Pure."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RequiredGainSettings:
    """The reduction of the skew that a plan has to achieve.

    It is ``min_gain`` plus ``gain_per_copy`` for each expert that a rank copies on average,
    because copying slows steps and moves memory, and the demand that was planned for lasts only a
    few seconds. A group with a lower load than ``busy_load`` benefits less from a better map: its
    required gain grows with the square of ``busy_load`` over its load, up to ``max_factor``.
    """

    min_gain: float = 0.12
    gain_per_copy: float = 0.01
    busy_load: float = 0.8
    max_factor: float = 8.0


def required_gain(copies: int, ranks: int, load: float, settings: RequiredGainSettings) -> float:
    """Return the minimum gain of a plan; ``load`` is the used fraction of the group's slots."""
    gain = settings.min_gain + settings.gain_per_copy * copies / max(1, ranks)
    if load <= 0:
        return gain * settings.max_factor
    return gain * min(settings.max_factor, max(1.0, (settings.busy_load / load) ** 2))
