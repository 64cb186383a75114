"""Requests that wait for an endpoint, and the order in which they are placed."""

from bisect import insort
from collections.abc import Callable, Iterator

import attrs

from .engine_choice import Placement
from .prompts import PromptPart

#: Time for which room is left after a more urgent request, in seconds.
_PRIORITY_WINDOW_SECONDS = 1.0
#: Waiting requests of one account that are looked at for each placement.
_LOOKAHEAD = 4


@attrs.define(eq=False, kw_only=True)
class Waiting:
    """One request that waits for an endpoint.

    Attributes:
        account: Client account that it counts for.
        priority: Its rank; 0 is the most urgent.
        parts: Parts of its prompt in order.
        prompt_tokens: Length of its prompt.
        output_tokens: Expected length of its answer.
        arrived_at: Time at which it was received, in seconds.
        target_seconds: Latency within which its answer is on time.
        is_return: Whether it was refused before, so that it is late already.
        excluded: Endpoints that must not be chosen again.
        on_placed: Called once it is placed.
        predicted_seconds: Least predicted wait on an engine, when it was last looked at.
        preferred_seconds: Predicted wait on the engine that suits its prompt best; None if it was
            not worth a look.
        limit_seconds: Longest wait with which it would be placed then, had it nothing to read.
        placement: Where it goes; None while it waits.
        placed_at: Time at which it was placed, and counted against its account's share.
        yields: Whether its account sent more urgent requests lately.
        gives_up_at: Time from which it must not be placed any more, in seconds.
    """

    account: str
    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    output_tokens: int
    arrived_at: float
    target_seconds: float
    is_return: bool
    excluded: set[int]
    priority: int = 0
    on_placed: Callable[[], None] | None = None
    placement: Placement | None = None
    predicted_seconds: float = 0.0
    preferred_seconds: float | None = None
    limit_seconds: float = 0.0
    placed_at: float = 0.0
    yields: bool = False
    gives_up_at: float = float('inf')

    @property
    def cost_tokens(self) -> int:
        """Tokens that it counts for: each one read once, each one generated twice."""
        return self.prompt_tokens + 2 * self.output_tokens


class WaitingRequests:
    """Requests by account; accounts within their share go first, the more urgent before others.

    Answers bursts of one account: its requests wait behind those of accounts that were given
    less, and no place stays free while any request fits it. Answers bulk work beside urgent
    requests as well: of one account nothing is placed while something more urgent of it waits,
    and accounts whose requests are more urgent go first until they were given their share.
    Requests that come back follow when none of the others fits.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self._queues: dict[str, list[Waiting]] = {}
        self._caller_retries: list[Waiting] = []
        self._last_seen: dict[str, dict[int, float]] = {}

    def __len__(self) -> int:
        """Returns the number of waiting requests."""
        return sum(map(len, self._queues.values())) + len(self._caller_retries)

    def goes_before(self, waiting: Waiting, *, is_over: Callable[[str], bool]) -> bool:
        """Tells whether a request waits already that must be placed before a new one.

        Args:
            waiting: The new request.
            is_over: Tells whether an account was given its share.

        Returns:
            Whether one can still be on time while the new one came back, or is more urgent and
            of the same account, or of one that was not given its share yet.
        """
        if waiting.is_return:
            return bool(self._queues)
        return any(
            queue[0].priority < waiting.priority
            and (account == waiting.account or not is_over(account))
            for account, queue in self._queues.items()
        )

    def note_urgency(self, waiting: Waiting, now: float) -> None:
        """Notes that a request came, and whether its account sent more urgent ones lately.

        Args:
            waiting: The request; `yields` is set.
            now: Time in seconds.
        """
        seen = self._last_seen.setdefault(waiting.account, {})
        seen[waiting.priority] = now
        waiting.yields = any(
            priority < waiting.priority and now - last < _PRIORITY_WINDOW_SECONDS
            for priority, last in seen.items()
        )

    def add(self, waiting: Waiting) -> None:
        """Adds a request behind those of its account that are as urgent."""
        queue = self._caller_retries
        if not waiting.is_return:
            queue = self._queues.setdefault(waiting.account, [])
        insort(queue, waiting, key=_get_priority)

    def discard(self, waiting: Waiting) -> None:
        """Removes a request, if it still waits."""
        if waiting.is_return:
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
        choose: Callable[[Waiting], Placement | None],
        *,
        usage: Callable[[str], float],
        is_over: Callable[[str], bool],
    ) -> list[Waiting]:
        """Places requests until none fits.

        Args:
            choose: Chooses an endpoint and takes its place, or returns None.
            usage: Returns what an account was given lately.
            is_over: Tells whether that is its share already.

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
        choose: Callable[[Waiting], Placement | None],
        rank: Callable[[str], tuple[bool, int, float]],
    ) -> Iterator[Waiting]:
        blocked: set[str] = set()
        while len(blocked) < len(self._queues):
            account = min(set(self._queues) - blocked, key=rank)
            waiting = self._place_first(self._queues[account], choose)
            if waiting is None:
                blocked.add(account)
                continue
            yield waiting

    def _place_all(
        self, queue: list[Waiting], choose: Callable[[Waiting], Placement | None]
    ) -> Iterator[Waiting]:
        waiting = self._place_first(queue, choose)
        while waiting is not None:
            yield waiting
            waiting = self._place_first(queue, choose)

    def _place_first(
        self,
        queue: list[Waiting],
        choose: Callable[[Waiting], Placement | None],
    ) -> Waiting | None:
        for waiting in queue[:_LOOKAHEAD]:
            # A newer but less urgent request would fit, since it has waited for less.
            if waiting.priority > queue[0].priority:
                return None
            waiting.placement = choose(waiting)
            if waiting.placement is not None:
                self.discard(waiting)
                return waiting
        return None


def _get_priority(waiting: Waiting) -> int:
    return waiting.priority
