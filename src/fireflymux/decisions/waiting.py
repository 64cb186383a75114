"""Requests that wait for an endpoint, and the order in which they are placed."""

from collections import deque
from collections.abc import Callable

import attrs

from ..account_choice import choose_account
from .engine_choice import Placement
from .prompts import PromptPart

#: Waiting requests of one account that are looked at for each placement.
_LOOK_AHEAD = 4


@attrs.define(eq=False, kw_only=True)
class Waiting:
    """One request that waits for an endpoint.

    Attributes:
        account: Client account that it counts for.
        parts: Parts of its prompt in order.
        prompt_tokens: Length of its prompt.
        output_tokens: Expected length of its answer.
        arrived_at: Time at which it was received, in seconds.
        target_seconds: Latency within which its answer is on time.
        excluded: Endpoints that must not be chosen again.
        on_placed: Called once it is placed.
        placement: Where it goes; None while it waits.
    """

    account: str
    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    output_tokens: int
    arrived_at: float
    target_seconds: float
    excluded: set[int]
    on_placed: Callable[[], None] | None = None
    placement: Placement | None = None

    @property
    def cost_tokens(self) -> int:
        """Tokens that it counts for: each one read once, each one generated twice."""
        return self.prompt_tokens + 2 * self.output_tokens


class WaitingRequests:
    """Requests by client account; the account with the least usage is served first.

    Answers bursts of one account: its requests wait behind those of accounts that were given
    less, and no place stays free while any request fits it.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self._by_account: dict[str, deque[Waiting]] = {}
        self._count = 0

    def __len__(self) -> int:
        """Returns the number of waiting requests."""
        return self._count

    def add(self, waiting: Waiting) -> None:
        """Adds a request behind the others of its account."""
        self._by_account.setdefault(waiting.account, deque()).append(waiting)
        self._count += 1

    def discard(self, waiting: Waiting) -> None:
        """Removes a request, if it still waits."""
        queue = self._by_account.get(waiting.account)
        if queue is None or waiting not in queue:
            return
        queue.remove(waiting)
        self._count -= 1
        if not queue:
            self._by_account.pop(waiting.account)

    def place(
        self,
        choose: Callable[[Waiting], Placement | None],
        usage: Callable[[str], float],
    ) -> list[Waiting]:
        """Places requests until none fits.

        Args:
            choose: Chooses an endpoint and takes its place, or returns None.
            usage: Returns what an account was given lately.

        Returns:
            The placed requests.
        """
        placed: list[Waiting] = []
        stuck: set[str] = set()
        while len(stuck) < len(self._by_account):
            ready = [account for account in self._by_account if account not in stuck]
            account = choose_account(ready, usage) or ''
            waiting = self._place_first(account, choose)
            if waiting is None:
                stuck.add(account)
                continue
            placed.append(waiting)
        return placed

    def _place_first(
        self, account: str, choose: Callable[[Waiting], Placement | None]
    ) -> Waiting | None:
        for waiting in list(self._by_account[account])[:_LOOK_AHEAD]:
            waiting.placement = choose(waiting)
            if waiting.placement is not None:
                self.discard(waiting)
                return waiting
        return None
