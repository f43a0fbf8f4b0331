"""Queue the requests that wait for their service, the most urgent first. Pure."""

from itertools import count

# A request's urgency and its number by arrival.
Ticket = tuple[int, int]


class WaitingQueue:
    """The requests of one service that wait to be sent by this process."""

    def __init__(self) -> None:
        self._numbers = count()
        self._waiting: set[Ticket] = set()

    def join(self, urgency: int) -> Ticket:
        """Join behind those that are as urgent; return the request's ticket."""
        ticket = (urgency, next(self._numbers))
        self._waiting.add(ticket)
        return ticket

    def leave(self, ticket: Ticket) -> None:
        """Leave the queue, wherever the request stands in it."""
        self._waiting.discard(ticket)

    def ahead_of(self, ticket: Ticket) -> int:
        """Return how many requests go before this one."""
        return sum(other < ticket for other in self._waiting)
