"""Queues of requests that wait for an endpoint, and the order in which they are placed."""

from bisect import insort
from collections.abc import Callable, Iterator

import attrs

from .engine_choice import Placement
from .prompts import PromptPart

#: Time after a request for which its account counts as sending requests of that priority.
_PRIORITY_WINDOW_SECONDS = 1.0
#: Requests at the head of a queue that are tried for each placement.
_LOOKAHEAD = 4


@attrs.define(eq=False, kw_only=True)
class WaitingRequest:
    """One request that waits for an endpoint.

    Attributes:
        account: Client account whose share it counts against.
        priority: Its priority; 0 is the most urgent.
        parts: Parts of its prompt in order.
        prompt_tokens: Length of its prompt.
        output_tokens: Expected length of its response.
        arrived_at: Time in seconds at which it was received.
        target_seconds: Target time from its arrival to the first event of its response.
        is_caller_retry: Whether it is a caller's retry of a refused request, and thus already
            late.
        excluded: Numbers of endpoints that must not be chosen, as they were tried before.
        regions: Regions that the endpoint must be in; None for all.
        on_placed: Called once it is placed.
        least_wait_seconds: Shortest predicted wait on any engine that may hold another
            request, at the last attempt to place it. It tells whether engines are compared.
        preferred_engine_wait_seconds: Predicted wait on the engine that the comparison preferred,
            the one with the lowest cost, at that attempt. It is no less than the shortest wait,
            and None if engines were not compared or none may hold another request.
        wait_limit_seconds: Maximum acceptable wait at that attempt, for a prompt that needs no
            prefill.
        placement: Where it goes; None while it waits.
        placed_at: Time in seconds at which it was placed and charged to its account.
        has_more_urgent: Whether its account has recently sent more urgent requests.
        placement_deadline: Time in seconds from which it must not be placed any more.
    """

    account: str
    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    output_tokens: int
    arrived_at: float
    target_seconds: float
    is_caller_retry: bool
    excluded: set[int]
    priority: int = 0
    regions: frozenset[str] | None = None
    on_placed: Callable[[], None] | None = None
    placement: Placement | None = None
    least_wait_seconds: float = 0.0
    preferred_engine_wait_seconds: float | None = None
    wait_limit_seconds: float = 0.0
    placed_at: float = 0.0
    has_more_urgent: bool = False
    placement_deadline: float = float('inf')

    @property
    def cost_tokens(self) -> int:
        """Cost charged to its account: a prompt token counts once, a generated one twice."""
        return self.prompt_tokens + 2 * self.output_tokens


class WaitingRequests:
    """Waiting requests for one service, in one queue for each account.

    Requests are placed in this order:

    - Accounts within their share go before those beyond it, so that a burst of one account does
      not delay the others.
    - Among these, accounts with more urgent requests go first, then those with less usage.
    - Within an account, nothing is placed while a more urgent request waits.
    - Retries of refused requests go last, since they are late already.

    Accounts beyond their share still get the capacity that no other request can use.
    """

    def __init__(self) -> None:
        """Creates empty queues."""
        self._queues: dict[str, list[WaitingRequest]] = {}
        self._caller_retries: list[WaitingRequest] = []
        self._last_seen: dict[str, dict[int, float]] = {}

    def __len__(self) -> int:
        """Returns the number of waiting requests."""
        return sum(map(len, self._queues.values())) + len(self._caller_retries)

    def must_queue(self, waiting: WaitingRequest, *, is_over: Callable[[str], bool]) -> bool:
        """Tells whether a new request must queue behind one that waits already.

        Args:
            waiting: The new request.
            is_over: Tells whether an account has used up its share.

        Returns:
            For a retry of a refused request: whether any request waits that is not such a retry.
            Otherwise: whether a more urgent request waits that is not such a retry, of the same
            account or of one within its share.
        """
        if waiting.is_caller_retry:
            return bool(self._queues)
        return any(
            queue[0].priority < waiting.priority
            and (account == waiting.account or not is_over(account))
            for account, queue in self._queues.items()
        )

    def record_priority(self, waiting: WaitingRequest, now: float) -> None:
        """Records the priority of a new request, and sets its attribute `has_more_urgent`.

        Args:
            waiting: The request.
            now: Time in seconds.
        """
        seen = self._last_seen.setdefault(waiting.account, {})
        seen[waiting.priority] = now
        waiting.has_more_urgent = any(
            priority < waiting.priority and now - last < _PRIORITY_WINDOW_SECONDS
            for priority, last in seen.items()
        )

    def add(self, waiting: WaitingRequest) -> None:
        """Adds a request to the queue of its account, behind those of the same priority."""
        queue = self._caller_retries
        if not waiting.is_caller_retry:
            queue = self._queues.setdefault(waiting.account, [])
        insort(queue, waiting, key=_get_priority)

    def discard(self, waiting: WaitingRequest) -> None:
        """Removes a request, if it is still waiting."""
        if waiting.is_caller_retry:
            if waiting in self._caller_retries:
                self._caller_retries.remove(waiting)
            return
        queue = self._queues.get(waiting.account, [])
        if waiting in queue:
            queue.remove(waiting)
        if not queue:
            self._queues.pop(waiting.account, None)

    def place(
        self,
        choose: Callable[[WaitingRequest], Placement | None],
        *,
        usage: Callable[[str], float],
        is_over: Callable[[str], bool],
    ) -> list[WaitingRequest]:
        """Places requests until none can be placed.

        Args:
            choose: Chooses an endpoint and reserves capacity there, or returns None.
            usage: Returns the recent usage of an account.
            is_over: Tells whether an account has used up its share.

        Returns:
            The placed requests.
        """

        def rank(account: str) -> tuple[bool, int, float]:
            return is_over(account), self._queues[account][0].priority, usage(account)

        placed = list(self._place_accounts(choose, rank))
        placed.extend(self._place_all(self._caller_retries, choose))
        return placed

    def _place_accounts(
        self,
        choose: Callable[[WaitingRequest], Placement | None],
        rank: Callable[[str], tuple[bool, int, float]],
    ) -> Iterator[WaitingRequest]:
        blocked: set[str] = set()
        while len(blocked) < len(self._queues):
            account = min(set(self._queues) - blocked, key=rank)
            waiting = self._place_first(self._queues[account], choose)
            if waiting is None:
                blocked.add(account)
                continue
            yield waiting

    def _place_all(
        self, queue: list[WaitingRequest], choose: Callable[[WaitingRequest], Placement | None]
    ) -> Iterator[WaitingRequest]:
        waiting = self._place_first(queue, choose)
        while waiting is not None:
            yield waiting
            waiting = self._place_first(queue, choose)

    def _place_first(
        self,
        queue: list[WaitingRequest],
        choose: Callable[[WaitingRequest], Placement | None],
    ) -> WaitingRequest | None:
        for waiting in queue[:_LOOKAHEAD]:
            # A less urgent request must not overtake, although it may have arrived later and so
            # have more spare time left.
            if waiting.priority > queue[0].priority:
                return None
            waiting.placement = choose(waiting)
            if waiting.placement is not None:
                self.discard(waiting)
                return waiting
        return None


def _get_priority(waiting: WaitingRequest) -> int:
    return waiting.priority
