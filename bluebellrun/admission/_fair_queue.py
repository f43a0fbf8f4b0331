"""Shares between the customers of one priority, by virtual time.

Start-time fair queueing: a customer's next request starts, in virtual time, where its last one
ended, and the least start goes first. A customer that was idle starts at the present virtual
time, so that what it did not use is lent and not saved up. Tokens that an entry sent to other
upstreams for the customer move its start forward, which keeps its share over all of them.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

from bluebellrun.admission._models import Work

MAX_IDLE_CUSTOMERS = 4_096
BURST_REQUESTS = 32.0
COST_LEARNING_RATE = 0.05


@dataclass(slots=True)
class _Customer:
    """The waiting work of one customer and where its next request starts in virtual time."""

    name: str
    share: float = 1.0
    next_start: float = 0.0
    cost: float = 0.0
    works: "OrderedDict[str, Work]" = field(default_factory=OrderedDict)


class FairQueue:
    """The waiting work of one priority."""

    def __init__(self) -> None:
        self._customers: OrderedDict[str, _Customer] = OrderedDict()
        self._backlogged: dict[str, _Customer] = {}
        self._virtual_time = 0.0
        self._cost = 0.0
        self._waiting = 0
        self._usual_cost = 0.0

    def __len__(self) -> int:
        """Return how many requests wait."""
        return self._waiting

    @property
    def cost(self) -> float:
        """Return the cost in tokens of all that waits."""
        return self._cost

    @property
    def _burst(self) -> float:
        """Return how far before the present virtual time an idle customer may start, in tokens."""
        return BURST_REQUESTS * self._usual_cost

    def cost_ahead(self, work: Work) -> float:
        """Return the tokens that run before a new request of a customer would."""
        customer = self._customers.get(work.customer)
        own_cost, start = 0.0, self._virtual_time
        if customer is not None:
            own_cost = customer.cost
            earliest = start - self._burst
            start = max(earliest, customer.next_start) + own_cost / work.share
        others = (item for item in self._backlogged.values() if item is not customer)
        return own_cost + sum(_cost_before(item, start) for item in others)

    def note_elsewhere(self, work: Work) -> None:
        """Move a customer back by what it used elsewhere, whether its work is taken or not.

        What it used counts from where its last work here ended, not from the present virtual time:
        the others moved on by as much meanwhile.
        """
        self._customer(work).next_start += work.served_elsewhere / work.share

    def add(self, work: Work) -> None:
        """Queue work behind its customer's other work."""
        customer = self._customer(work)
        if not customer.works:
            earliest = self._virtual_time - self._burst
            customer.next_start = max(customer.next_start, earliest)
            self._backlogged[work.customer] = customer
        customer.works[work.attempt] = work
        self._usual_cost = self._usual_cost or work.cost
        self._usual_cost += COST_LEARNING_RATE * (work.cost - self._usual_cost)
        self._count(customer, work.cost, 1)

    def head(self) -> Work | None:
        """Return the work that goes next."""
        customer = self._next_customer()
        return None if customer is None else next(iter(customer.works.values()))

    def pop(self) -> Work | None:
        """Take the work that goes next."""
        customer = self._next_customer()
        if customer is None:
            return None
        work = next(iter(customer.works.values()))
        self._virtual_time = max(self._virtual_time, customer.next_start)
        customer.next_start += work.cost / work.share
        self._drop(customer, work)
        return work

    def youngest_of_largest(self) -> Work | None:
        """Return the last work of the customer that has most waiting for its share."""
        if not self._backlogged:
            return None
        largest = max(self._backlogged.values(), key=lambda item: item.cost / item.share)
        return next(reversed(largest.works.values()))

    def weight_of(self, customer: str, share: float) -> float:
        """Return how much a customer has waiting for its share."""
        known = self._backlogged.get(customer)
        return 0.0 if known is None else known.cost / share

    def remove(self, work: Work) -> None:
        """Remove waiting work."""
        self._drop(self._customers[work.customer], work)

    def correct(self, work: Work, cost: float) -> None:
        """Charge a customer for what its finished work cost instead of the estimate."""
        customer = self._customers.get(work.customer)
        if customer is not None:
            customer.next_start += (cost - work.cost) / work.share

    def _customer(self, work: Work) -> _Customer:
        """Return the customer of work, made where it is not known."""
        customer = self._customers.setdefault(work.customer, _Customer(work.customer))
        self._customers.move_to_end(work.customer)
        customer.share = work.share
        self._forget_idle()
        return customer

    def _next_customer(self) -> _Customer | None:
        """Return the backlogged customer that is furthest behind."""
        if not self._backlogged:
            return None
        return min(self._backlogged.values(), key=lambda item: item.next_start)

    def _drop(self, customer: _Customer, work: Work) -> None:
        """Take work out of its customer's queue."""
        del customer.works[work.attempt]
        self._count(customer, -work.cost, -1)
        if not customer.works:
            customer.cost = 0.0
            del self._backlogged[customer.name]
        if not self._backlogged:
            self._cost = 0.0

    def _count(self, customer: _Customer, cost: float, number: int) -> None:
        """Change the sums of what waits."""
        customer.cost += cost
        self._cost += cost
        self._waiting += number

    def _forget_idle(self) -> None:
        """Forget the customers that have been idle longest."""
        if len(self._customers) <= MAX_IDLE_CUSTOMERS:
            return
        for name, customer in self._customers.items():
            if not customer.works:
                del self._customers[name]
                return


def _cost_before(customer: _Customer, start: float) -> float:
    """Return the tokens of a backlogged customer that run before a virtual start."""
    if customer.next_start > start:
        return 0.0
    head = next(iter(customer.works.values())).cost
    return min(customer.cost, (start - customer.next_start) * customer.share + head)
