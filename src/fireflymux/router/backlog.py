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
    sidecar_id: str
    grant: str = ''


@attrs.define(eq=False)
class PendingRequest:
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
    placed: trio.Event = attrs.field(factory=trio.Event)
    excluded_sidecar_ids: set[str] = attrs.field(factory=set)
    arrival_number: int = 0

    def place(self, placement: Placement) -> None:
        """Decides where the request may run."""
        self.placement = placement
        self.placed.set()


class Backlog:
    """Queues of one router."""

    def __init__(self, *, concurrency_of: Callable[[str], int]) -> None:
        """Starts empty.

        Args:
            concurrency_of: Returns how many requests of an account may run through this router.
        """
        self._concurrency_of = concurrency_of
        self._queues: dict[QueueKey, deque[PendingRequest]] = {}
        self._running: dict[str, int] = {}
        self._waiting: dict[str, int] = {}
        self._arrival_count = 0

    @property
    def size(self) -> int:
        """Requests that wait."""
        return sum(self._waiting.values())

    def count_waiting(self, account: str) -> int:
        """Counts the waiting requests of an account over all pools."""
        return self._waiting.get(account, 0)

    def add(self, pending: PendingRequest, *, at_front: bool = False) -> None:
        """Adds a request.

        Args:
            ticket: The request.
            first: Whether it waited before and goes ahead of the others.
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
        """Removes a request that is given up on; one that is gone already is passed over."""
        queue = self._queues.get((pending.pool, pending.account))
        if queue is not None and pending in queue:
            queue.remove(pending)
            self._record_removal(pending)

    def take(self, pool: str, account: str, sidecar_id: str) -> PendingRequest | None:
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
        for pending in self._queues.get((pool, account), ()):
            if sidecar_id in pending.excluded_sidecar_ids:
                continue
            self.remove(pending)
            return pending
        return None

    def free_concurrency(self, account: str) -> int:
        """Counts how many more requests of an account may run through this router."""
        return max(self._concurrency_of(account) - self._running.get(account, 0), 0)

    def acquire_concurrency(self, account: str) -> None:
        """Counts a request that starts to run."""
        self._running[account] = self._running.get(account, 0) + 1

    def release_concurrency(self, account: str) -> None:
        """Counts a request that runs no more."""
        self._running[account] -= 1
        if self._running[account] == 0:
            self._running.pop(account)

    def count_grantable(self, pool: str, account: str) -> int:
        """Counts the requests of an account that a sidecar may ask for."""
        waiting = len(self._queues.get((pool, account), ()))
        return min(waiting, self.free_concurrency(account))

    def count_reservations(self, pool: str) -> dict[str, int]:
        """Counts the requests that the sidecars of a pool may ask for, by account."""
        counts = {key[1]: self.count_grantable(*key) for key in self._queues if key[0] == pool}
        return {account: waiting for account, waiting in counts.items() if waiting > 0}

    def oldest_account(self, pool: str) -> str | None:
        """Returns the account whose request has waited longest and may run."""
        oldest_by_account = [
            (queue[0].arrival_number, key[1])
            for key, queue in self._queues.items()
            if key[0] == pool and self.free_concurrency(key[1])
        ]
        return min(oldest_by_account)[1] if oldest_by_account else None

    def _record_removal(self, pending: PendingRequest) -> None:
        self._waiting[pending.account] -= 1
        if self._waiting[pending.account] == 0:
            self._waiting.pop(pending.account)
        key = (pending.pool, pending.account)
        if not self._queues[key]:
            self._queues.pop(key)
