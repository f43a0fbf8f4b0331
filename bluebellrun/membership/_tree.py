"""The relay tree of one failure domain, computed from its members' names alone. Pure.

Members are arranged in layers by rendezvous weight: a few watchers, then layers each ``fanout``
times as large. A member's parents are those of the layer above that have the greatest weight for
its name. When a member is replaced, its children move, and those of one member at each layer
boundary.
"""

from collections.abc import Iterable, Iterator, Sequence
from itertools import islice

from bluebellrun.membership._rendezvous import rank_by_weight

WATCHERS = 3
FANOUT = 8
PARENTS = 2


class RelayTree:
    """Layers of the given names and each member's parents."""

    def __init__(
        self, names: Iterable[str], watchers: int = WATCHERS, fanout: int = FANOUT
    ) -> None:
        ranked = rank_by_weight("watcher", names)
        self._layers: list[list[str]] = []
        size = watchers
        while ranked:
            self._layers.append(ranked[:size])
            ranked = ranked[size:]
            size *= fanout
        self._layer_by_name = {
            name: number for number, layer in enumerate(self._layers) for name in layer
        }

    @property
    def watchers(self) -> Sequence[str]:
        """Return the members that watch the key-value service, by rank."""
        return self._layers[0] if self._layers else []

    @property
    def depth(self) -> int:
        """Return the most hops from a watcher to a member."""
        return max(0, len(self._layers) - 1)

    def layer(self, name: str) -> int | None:
        """Return a member's layer, or none for an unknown member."""
        return self._layer_by_name.get(name)

    def candidates(self, name: str) -> Iterator[str]:
        """Yield the members that may be a member's parents, the best first.

        They are the members of the layer above, then of the layers above that. A watcher's
        are the other watchers; an unknown member's are those of the lowest layer.
        """
        number = self._layer_by_name.get(name, len(self._layers))
        if number == 0:
            yield from (other for other in self.watchers if other != name)
            return
        for layer in reversed(self._layers[:number]):
            yield from rank_by_weight(name, layer)

    def parents(self, name: str, count: int = PARENTS) -> list[str]:
        """Return the members that are a member's parents, the best first."""
        return list(islice(self.candidates(name), count))
