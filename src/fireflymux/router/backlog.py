"""Requests that wait at one router, with a queue for each pool and client account.

The router also counts the running requests of each account here, to enforce the concurrency
limit of its contract.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import attrs
import trio

#: A pool and a client account.
QueueKey = tuple[str, str]


@dataclass(frozen=True, slots=True)
class Placement:
    """The sidecar that a request is sent to.

    Attributes:
        address: URL of the sidecar.
        sidecar_id: Incarnation of the sidecar, that is the ID of its process.
        grant: ID of the accepted grant offer; empty if the router sends the request without
            an offer.
    """

    address: str
    sidecar_id: str
    grant: str = ''


@attrs.define(eq=False)
class PendingRequest:
    """A request that waits for a sidecar.

    Attributes:
        pool: Requested pool.
        account: Client account of the caller.
        placement: The assigned sidecar; None until there is one.
        placed: Set once `placement` is assigned.
        excluded_sidecar_ids: Sidecars to avoid, because an earlier attempt failed there.
        arrival_number: Position in the order of arrival over all queues; 0 for a request that
            was put back at the front of its queue.
    """

    pool: str
    account: str
    placement: Placement | None = None
    placed: trio.Event = attrs.field(factory=trio.Event)
    excluded_sidecar_ids: set[str] = attrs.field(factory=set)
    arrival_number: int = 0

    def place(self, placement: Placement) -> None:
        """Assigns a sidecar and wakes the task that waits for it."""
        self.placement = placement
        self.placed.set()


class Backlog:
    """The queues of one router, and the number of running requests of each account."""

    def __init__(self, *, get_concurrency_limit: Callable[[str], int]) -> None:
        """Creates an empty backlog.

        Args:
            get_concurrency_limit: Returns how many requests of an account may run at once
                through this router.
        """
        self._get_concurrency_limit = get_concurrency_limit
        self._queues: dict[QueueKey, deque[PendingRequest]] = {}
        self._running: dict[str, int] = {}
        self._waiting: dict[str, int] = {}
        self._arrival_count = 0

    @property
    def size(self) -> int:
        """Number of waiting requests."""
        return sum(self._waiting.values())

    def count_waiting(self, account: str) -> int:
        """Returns the number of waiting requests of an account in all pools."""
        return self._waiting.get(account, 0)

    def add(self, pending: PendingRequest, *, at_front: bool = False) -> None:
        """Adds a request to the queue of its pool and account.

        Args:
            pending: The request.
            at_front: Whether to put it ahead of all others, as for a request that is retried.
        """
        queue = self._queues.setdefault((pending.pool, pending.account), deque())
        self._arrival_count += 1
        pending.arrival_number = 0 if at_front else self._arrival_count
        if at_front:
            queue.appendleft(pending)
        else:
            queue.append(pending)
        self._waiting[pending.account] = self._waiting.get(pending.account, 0) + 1

    def remove(self, pending: PendingRequest) -> None:
        """Removes a request; does nothing if it is no longer queued."""
        queue = self._queues.get((pending.pool, pending.account))
        if queue is not None and pending in queue:
            queue.remove(pending)
            self._record_removal(pending)

    def take(self, pool: str, account: str, sidecar_id: str) -> PendingRequest | None:
        """Removes and returns the first request of a queue that may run on a sidecar.

        Args:
            pool: Pool of the queue.
            account: Client account of the queue.
            sidecar_id: ID of the sidecar.

        Returns:
            The request, or None if there is none or the account has no free concurrency.
        """
        if self.free_concurrency(account) == 0:
            return None
        for pending in self._queues.get((pool, account), ()):
            if sidecar_id in pending.excluded_sidecar_ids:
                continue
            self.remove(pending)
            return pending
        return None

    def free_concurrency(self, account: str) -> int:
        """Returns how many more requests of an account may run through this router."""
        return max(self._get_concurrency_limit(account) - self._running.get(account, 0), 0)

    def acquire_concurrency(self, account: str) -> None:
        """Records that a request of an account starts to run."""
        self._running[account] = self._running.get(account, 0) + 1

    def release_concurrency(self, account: str) -> None:
        """Records that a request of an account no longer runs."""
        self._running[account] -= 1
        if self._running[account] == 0:
            self._running.pop(account)

    def count_grantable(self, pool: str, account: str) -> int:
        """Returns how many waiting requests of an account the concurrency limit lets run now."""
        waiting = len(self._queues.get((pool, account), ()))
        return min(waiting, self.free_concurrency(account))

    def count_reservations(self, pool: str) -> dict[str, int]:
        """Returns the reservations of a pool: its grantable requests, counted by account.

        A reservation is the announcement of a waiting request; it reserves nothing. Heartbeats
        and replies to grant offers report them to the sidecars, which then offer slots for them.
        Accounts without a grantable request are left out.
        """
        counts = {key[1]: self.count_grantable(*key) for key in self._queues if key[0] == pool}
        return {account: waiting for account, waiting in counts.items() if waiting > 0}

    def oldest_account(self, pool: str) -> str | None:
        """Returns the account with the oldest request that may run now.

        Args:
            pool: Pool of the queues.

        Returns:
            The account, or None if no request may run. Accounts whose first request is retried
            come first.
        """
        first_arrivals = [
            (queue[0].arrival_number, key[1])
            for key, queue in self._queues.items()
            if key[0] == pool and self.free_concurrency(key[1])
        ]
        return min(first_arrivals)[1] if first_arrivals else None

    def _record_removal(self, pending: PendingRequest) -> None:
        self._waiting[pending.account] -= 1
        if self._waiting[pending.account] == 0:
            self._waiting.pop(pending.account)
        key = (pending.pool, pending.account)
        if not self._queues[key]:
            self._queues.pop(key)
