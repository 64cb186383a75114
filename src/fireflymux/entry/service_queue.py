"""Queues of one entry instance: a request waits here until an endpoint can take it."""

from collections.abc import Callable, Iterable

import trio

from ..decisions.engine_choice import (
    EngineView,
    Placement,
    choose_fitting_engine,
    find_least_wait,
    is_worth_placing,
    may_be_placed,
)
from ..decisions.routes import EngineTerms
from ..decisions.slot_choice import SlotView, choose_slot
from ..decisions.waiting import Waiting, WaitingRequests
from .state import EntryState, LiveEndpoint

#: Shortest time between two looks at everything that waits.
_DISPATCH_INTERVAL_SECONDS = 0.008


class ServiceQueue:
    """Requests for one service that wait in this instance."""

    def __init__(self, state: EntryState, choose: Callable[[Waiting], Placement | None]) -> None:
        """Starts empty.

        Args:
            state: Beliefs of the instance.
            choose: Chooses an endpoint for a request, or returns None while none fits.
        """
        self._state = state
        self._choose = choose
        self._waiting = WaitingRequests()
        self._next_dispatch = float('-inf')

    async def place(self, waiting: Waiting, *, until: float) -> bool:
        """Waits until a request is placed.

        Args:
            waiting: The request; its load is counted on the endpoint once it is placed.
            until: Time at which it is given up, in seconds.

        Returns:
            Whether it was placed.
        """
        waiting.gives_up_at = until
        now = trio.current_time()
        self._waiting.note_urgency(waiting, now)
        # What waits already fitted nowhere a moment ago: only the new request is tried.
        if not self._waiting.goes_before(waiting, is_over=self._is_over_at(now)):
            waiting.placement = self._try_place(waiting)
        if waiting.placement is not None:
            return True
        placed = trio.Event()
        waiting.on_placed = placed.set
        self._waiting.add(waiting)
        try:
            with trio.move_on_at(until):
                await placed.wait()
        except trio.Cancelled:
            release_placement(self._state, waiting)
            raise
        finally:
            self._waiting.discard(waiting)
        return waiting.placement is not None

    def count_waiting(self) -> int:
        """Counts the requests that wait."""
        return len(self._waiting)

    def dispatch(self) -> None:
        """Places whatever fits now, unless that was tried a moment ago."""
        now = trio.current_time()
        if now < self._next_dispatch or not len(self._waiting):
            return
        self._next_dispatch = now + _DISPATCH_INTERVAL_SECONDS
        placed = self._waiting.place(
            self._try_place,
            usage=lambda account: self._state.shares.usage_of(account, now),
            is_over=self._is_over_at(now),
        )
        for waiting in placed:
            if waiting.on_placed is not None:
                waiting.on_placed()

    def _is_over_at(self, now: float) -> Callable[[str], bool]:
        return lambda account: self._state.shares.is_over(account, now)

    def _try_place(self, waiting: Waiting) -> Placement | None:
        now = trio.current_time()
        # After a pause of the process this can run before the timeout of the request does.
        if now >= waiting.gives_up_at:
            return None
        placement = self._choose(waiting)
        if placement is None:
            return None
        state = self._state
        state.loads.begin(placement.number, placement.tokens)
        state.shares.charge(waiting.account, waiting.cost_tokens, now)
        waiting.placed_at = now
        live = state.find_endpoint(placement.number)
        if live is not None and waiting.parts:
            live.cache.record(waiting.parts)
            placed_prompt = [placement.number]
            for part in waiting.parts:
                placed_prompt.extend((part.identifier, part.tokens))
            state.unreported_placements.append(placed_prompt)
        return placement


def release_placement(state: EntryState, waiting: Waiting) -> None:
    """Takes a placement that was not used off its endpoint, and off its account's share.

    Args:
        state: Beliefs of the instance.
        waiting: The request; nothing happens if it was not placed.
    """
    placement = waiting.placement
    if placement is None:
        return
    state.loads.end_reading(placement.number, placement.tokens)
    state.loads.end(placement.number)
    refund_placement(state, waiting)
    state.notify()


def refund_placement(state: EntryState, waiting: Waiting) -> None:
    """Takes a placement that no endpoint ran off its account's share.

    Args:
        state: Beliefs of the instance.
        waiting: The request.
    """
    state.shares.refund(
        waiting.account,
        waiting.cost_tokens,
        charged_at=waiting.placed_at,
        now=trio.current_time(),
    )


def make_engine_chooser(
    state: EntryState, service: str, terms: EngineTerms
) -> Callable[[Waiting], Placement | None]:
    """Returns the choice of an engine for the prompts of a service.

    Args:
        state: Beliefs of the instance.
        service: Name of the service.
        terms: What its engines share.

    Returns:
        The choice.
    """
    policy = state.policy

    def choose(waiting: Waiting) -> Placement | None:
        now = trio.current_time()
        elapsed = now - waiting.arrived_at
        is_over = state.shares.is_over(waiting.account, now)
        wait_part = policy.part_of(yields=waiting.yields, is_over=is_over)
        waiting.limit_seconds = wait_part * (waiting.target_seconds - elapsed)
        workers = state.list_candidates(service, waiting.excluded)
        views = _view_engines(state, workers, terms, state.slot_durations[service].seconds)
        waiting.predicted_seconds = find_least_wait(views, policy)
        waiting.preferred_seconds = None
        if not may_be_placed(
            waiting.predicted_seconds,
            spent_seconds=elapsed,
            target_seconds=waiting.target_seconds,
            part=wait_part,
            is_late=waiting.is_return,
            policy=policy,
        ):
            return None
        for live, view in zip(workers, views, strict=True):
            view.cached_tokens = live.cache.count_cached(waiting.parts)

        def fits(placement: Placement) -> bool:
            # The engine that suits the prompt best is looked at first.
            if waiting.preferred_seconds is None:
                waiting.preferred_seconds = placement.wait_seconds
            return is_worth_placing(
                placement,
                spent_seconds=elapsed,
                target_seconds=waiting.target_seconds,
                part=wait_part,
                is_late=waiting.is_return,
                policy=policy,
            )

        return choose_fitting_engine(
            views,
            waiting.parts,
            waiting.prompt_tokens,
            fits,
            may_leave=state.shares.is_short(waiting.account, now),
            policy=policy,
        )

    return choose


def make_slot_chooser(state: EntryState, service: str) -> Callable[[Waiting], Placement | None]:
    """Returns the choice of an endpoint for the requests of a plain service.

    Args:
        state: Beliefs of the instance.
        service: Name of the service.

    Returns:
        The choice.
    """

    def choose(waiting: Waiting) -> Placement | None:
        views = [
            SlotView(
                number=live.number,
                running=state.loads.total(live.number).running,
                slots=max(live.endpoint.slots, 1),
                is_near=live.endpoint.failure_domain == state.settings.failure_domain,
            )
            for live in state.list_candidates(service, waiting.excluded)
        ]
        chosen = choose_slot(views)
        return None if chosen is None else Placement(chosen.number, 0)

    return choose


def _view_engines(
    state: EntryState, workers: Iterable[LiveEndpoint], terms: EngineTerms, stay_seconds: float
) -> list[EngineView]:
    """Returns what is known of engines, without the prompts that they keep."""
    views = []
    for live in workers:
        load = state.loads.total(live.number)
        views.append(
            EngineView(
                number=live.number,
                pending_tokens=load.pending_tokens,
                running=load.running,
                slots=terms.slots,
                cached_tokens=0,
                tokens_per_second=live.first_event_model.tokens_per_second,
                stay_seconds=stay_seconds,
                is_near=live.endpoint.failure_domain == state.settings.failure_domain,
            )
        )
    return views
