"""Shares between the customers of one priority, by virtual time.

Start-time fair queueing: a customer's next request starts, in virtual time, where its last one
ended, and the earliest start goes first. A customer that was idle starts up to one burst before the
current virtual time: enough for the bursts of a customer within its share, while its other unused
capacity is lent, not saved. When nothing waits, all customers are reset to the same start, so usage
while capacity was free is not charged. Tokens that an entry sent to other upstreams for the
customer move its start forward, which keeps its share over all of them.
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
        self._typical_cost = 0.0
        self._reset_start = 0.0
        self._latest_start = 0.0

    def __len__(self) -> int:
        """Return how many requests wait."""
        return self._waiting

    @property
    def cost(self) -> float:
        """Return the cost in tokens of all that waits."""
        return self._cost

    @property
    def _idle_start(self) -> float:
        """Return the virtual time at which a customer that was idle starts."""
        return max(self._reset_start, self._virtual_time - BURST_REQUESTS * self._typical_cost)

    def cost_ahead(self, work: Work) -> float:
        """Return the tokens that run before a new request of a customer would."""
        customer = self._customers.get(work.customer)
        own_cost, start = 0.0, self._virtual_time
        if customer is not None:
            own_cost = customer.cost
            start = max(self._idle_start, customer.next_start) + own_cost / work.share
        others = (item for item in self._backlogged.values() if item is not customer)
        return own_cost + sum(_cost_before(item, start) for item in others)

    def charge_elsewhere(self, work: Work) -> None:
        """Charge a customer for usage at other upstreams, also if its work is refused here.

        The charge counts from the end of its last work here, not from the current virtual time: the
        other customers advanced by as much meanwhile.
        """
        customer = self._customer(work)
        start = max(customer.next_start, self._reset_start)
        customer.next_start = start + work.served_elsewhere / work.share
        self._latest_start = max(self._latest_start, customer.next_start)

    def add(self, work: Work) -> None:
        """Queue work behind its customer's other work."""
        customer = self._customer(work)
        if not customer.works:
            customer.next_start = max(customer.next_start, self._idle_start)
            self._backlogged[work.customer] = customer
        customer.works[work.attempt] = work
        self._typical_cost = self._typical_cost or work.cost
        self._typical_cost += COST_LEARNING_RATE * (work.cost - self._typical_cost)
        self._update_totals(customer, work.cost, 1)

    def head(self) -> Work | None:
        """Return the work that goes next."""
        customer = self._next_customer()
        return None if customer is None else next(iter(customer.works.values()))

    def pop(self) -> Work | None:
        """Remove and return the work that goes next."""
        customer = self._next_customer()
        if customer is None:
            return None
        work = next(iter(customer.works.values()))
        self._virtual_time = max(self._virtual_time, customer.next_start)
        customer.next_start += work.cost / work.share
        self._latest_start = max(self._latest_start, customer.next_start)
        self._remove_work(customer, work)
        return work

    def newest_of_largest(self) -> Work | None:
        """Return the newest work of the customer that has most waiting for its share."""
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
        self._remove_work(self._customers[work.customer], work)

    def correct(self, work: Work, cost: float) -> None:
        """Replace the estimated cost of finished work by its actual cost."""
        customer = self._customers.get(work.customer)
        if customer is not None:
            customer.next_start += (cost - work.cost) / work.share

    def _customer(self, work: Work) -> _Customer:
        """Return the customer of work, created if unknown."""
        customer = self._customers.setdefault(work.customer, _Customer(work.customer))
        self._customers.move_to_end(work.customer)
        customer.share = work.share
        self._drop_idle()
        return customer

    def _next_customer(self) -> _Customer | None:
        """Return the backlogged customer that is furthest behind."""
        if not self._backlogged:
            return None
        return min(self._backlogged.values(), key=lambda item: item.next_start)

    def _remove_work(self, customer: _Customer, work: Work) -> None:
        """Remove work from its customer's queue."""
        del customer.works[work.attempt]
        self._update_totals(customer, -work.cost, -1)
        if not customer.works:
            customer.cost = 0.0
            del self._backlogged[customer.name]
        if not self._backlogged:
            self._cost = 0.0
            self._reset_starts()

    def _reset_starts(self) -> None:
        """Reset all customers to the same virtual start."""
        self._virtual_time = self._reset_start = max(self._virtual_time, self._latest_start)

    def _update_totals(self, customer: _Customer, cost: float, number: int) -> None:
        """Update the totals of waiting work."""
        customer.cost += cost
        self._cost += cost
        self._waiting += number

    def _drop_idle(self) -> None:
        """Drop the customer that has been idle longest, if there are too many."""
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
