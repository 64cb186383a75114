"""Requests that wait at one router, in one queue for each pool and client account."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import attrs
import trio

#: Pool and client account.
QueueKey = tuple[str, str]


@dataclass(frozen=True, slots=True)
class Placement:
    """Where a request may run.

    Attributes:
        address: URL of the sidecar.
        sidecar: Its incarnation.
        grant: Accepted offer; empty for a direct attempt.
    """

    address: str
    sidecar: str
    grant: str = ''


@attrs.define(eq=False)
class Ticket:
    """One waiting request.

    Attributes:
        pool: The pool it is for.
        account: Its client account.
        placement: Where it may run, once known.
        decided: Set when the placement is known.
        avoid: Sidecar incarnations that failed it.
        number: Place in the order of arrival at this router.
    """

    pool: str
    account: str
    placement: Placement | None = None
    decided: trio.Event = attrs.field(factory=trio.Event)
    avoid: set[str] = attrs.field(factory=set)
    number: int = 0

    def place(self, placement: Placement) -> None:
        """Decides where the request may run."""
        self.placement = placement
        self.decided.set()


class Backlog:
    """Queues of one router."""

    def __init__(self, *, concurrency_of: Callable[[str], int]) -> None:
        """Starts empty.

        Args:
            concurrency_of: Returns how many requests of an account may run through this router.
        """
        self._concurrency_of = concurrency_of
        self._queues: dict[QueueKey, deque[Ticket]] = {}
        self._running: dict[str, int] = {}
        self._waiting: dict[str, int] = {}
        self._arrivals = 0

    @property
    def size(self) -> int:
        """Requests that wait."""
        return sum(self._waiting.values())

    def waiting_of(self, account: str) -> int:
        """Counts the waiting requests of an account over all pools."""
        return self._waiting.get(account, 0)

    def add(self, ticket: Ticket, *, first: bool = False) -> None:
        """Adds a request.

        Args:
            ticket: The request.
            first: Whether it waited before and goes ahead of the others.
        """
        queue = self._queues.setdefault((ticket.pool, ticket.account), deque())
        self._arrivals += 1
        ticket.number = 0 if first else self._arrivals
        if first:
            queue.appendleft(ticket)
        else:
            queue.append(ticket)
        self._waiting[ticket.account] = self._waiting.get(ticket.account, 0) + 1

    def remove(self, ticket: Ticket) -> None:
        """Removes a request that is given up on; one that is gone already is passed over."""
        queue = self._queues.get((ticket.pool, ticket.account))
        if queue is not None and ticket in queue:
            queue.remove(ticket)
            self._count_down(ticket)

    def take(self, pool: str, account: str, sidecar: str) -> Ticket | None:
        """Takes the oldest request that may run on a sidecar.

        Args:
            pool: The pool.
            account: The client account.
            sidecar: The sidecar incarnation.

        Returns:
            The request, or None if there is none or the concurrency is used up.
        """
        if self.free_concurrency(account) == 0:
            return None
        for ticket in self._queues.get((pool, account), ()):
            if sidecar in ticket.avoid:
                continue
            self.remove(ticket)
            return ticket
        return None

    def free_concurrency(self, account: str) -> int:
        """Counts how many more requests of an account may run through this router."""
        return max(self._concurrency_of(account) - self._running.get(account, 0), 0)

    def start(self, account: str) -> None:
        """Counts a request that starts to run."""
        self._running[account] = self._running.get(account, 0) + 1

    def stop(self, account: str) -> None:
        """Counts a request that runs no more."""
        self._running[account] -= 1
        if self._running[account] == 0:
            self._running.pop(account)

    def grantable(self, pool: str, account: str) -> int:
        """Counts the requests of an account that a sidecar may ask for."""
        waiting = len(self._queues.get((pool, account), ()))
        return min(waiting, self.free_concurrency(account))

    def reservations(self, pool: str) -> dict[str, int]:
        """Counts the requests that the sidecars of a pool may ask for, by account."""
        counts = {key[1]: self.grantable(*key) for key in self._queues if key[0] == pool}
        return {account: waiting for account, waiting in counts.items() if waiting > 0}

    def oldest_account(self, pool: str) -> str | None:
        """Returns the account whose request has waited longest and may run."""
        heads = [
            (queue[0].number, key[1])
            for key, queue in self._queues.items()
            if key[0] == pool and self.free_concurrency(key[1])
        ]
        return min(heads)[1] if heads else None

    def _count_down(self, ticket: Ticket) -> None:
        self._waiting[ticket.account] -= 1
        if self._waiting[ticket.account] == 0:
            self._waiting.pop(ticket.account)
        key = (ticket.pool, ticket.account)
        if not self._queues[key]:
            self._queues.pop(key)
