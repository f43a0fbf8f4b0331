"""Which upstreams an entry keeps links to, by rendezvous hashing. Pure.

The choice is made from the upstream's side: each upstream picks some of the entries. So every
upstream is reached by the same number of entries, and the replacement of one entry or upstream
moves only the links that end there.
"""

from collections.abc import Iterable

from bluebellrun.membership._rendezvous import rank_by_weight

ENTRIES_PER_UPSTREAM = 3


def choose_subset(
    entry: str,
    entries: Iterable[str],
    upstreams: Iterable[str],
    entries_per_upstream: int = ENTRIES_PER_UPSTREAM,
) -> frozenset[str]:
    """Return the upstreams that an entry serves, among those of its region.

    ``entries`` are the entries of its failure domain. With no more of them than
    ``entries_per_upstream`` every entry serves every upstream.
    """
    names = sorted({*entries, entry})
    if len(names) <= entries_per_upstream:
        return frozenset(upstreams)
    return frozenset(
        upstream
        for upstream in upstreams
        if entry in rank_by_weight(upstream, names)[:entries_per_upstream]
    )
