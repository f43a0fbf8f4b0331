"""Give the upstreams of an example the addresses that their agents have here."""

from collections.abc import Iterable, Mapping

from bluebellrun.core import Address
from bluebellrun.declarations._models import Document, UpstreamDocument


def relocate(documents: Iterable[Document], agents: Mapping[str, Address]) -> list[Document]:
    """Return documents with the agents' addresses by upstream name.

    Upstreams that have no address here are left out.
    """
    moved: list[Document] = []
    for document in documents:
        if not isinstance(document, UpstreamDocument):
            moved.append(document)
        elif document.name in agents:
            address = str(agents[document.name])
            moved.append(document.model_copy(update={"agent": address}))
    return moved
