"""The part of the processor that parsing bodies in many small pieces may take. Pure."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WorkSettings:
    """Bounds on the work for a request's body.

    After ``free_pieces`` pieces of a body, parsing further ones of all bodies together takes at
    most ``share`` of the time. A turn parses at most ``pieces_per_turn``, about half a millisecond
    of work. A body of the largest size in pieces of 16 KiB has 256.
    """

    free_pieces: int = 512
    pieces_per_turn: int = 64
    share: float = 0.25


class WorkLimit:
    """Spreads the work of all connections that send bodies in small pieces. Times in seconds."""

    def __init__(self, settings: WorkSettings | None = None) -> None:
        self._settings = settings or WorkSettings()
        self._free_from = 0.0

    @property
    def settings(self) -> WorkSettings:
        """Return the bounds."""
        return self._settings

    def pause_s(self, pieces: int, spent_s: float, now: float) -> float:
        """Return how long a connection pauses after a turn of ``spent_s`` seconds.

        ``pieces`` is how many its body has had so far.
        """
        if pieces <= self._settings.free_pieces:
            return 0.0
        self._free_from = max(now, self._free_from) + spent_s / self._settings.share
        return self._free_from - now
