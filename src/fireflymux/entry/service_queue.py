"""Queues of one entry instance: a request waits here until it is placed on an endpoint.

To place a request is to choose its endpoint and to count its load there at once, before it is
sent. A request that no endpoint has room for stays here, where it can still go to any of them.
"""

from collections.abc import Callable, Iterable

import trio

from ..decisions.engine_choice import (
    EngineView,
    Placement,
    choose_acceptable_engine,
    find_least_wait,
    is_worth_placing,
    may_be_placed,
)
from ..decisions.entry_configuration import EngineCapacity
from ..decisions.prefix_transfer import plan_transfers
from ..decisions.slot_choice import PlainEndpointView, choose_plain_endpoint
from ..decisions.waiting import WaitingRequest, WaitingRequests
from .live_endpoint import LiveEndpoint
from .state import EntryState

#: Minimum time between two attempts to place everything that waits.
_DISPATCH_INTERVAL_SECONDS = 0.008


class ServiceQueue:
    """Requests for one service that wait in this instance."""

    def __init__(
        self, state: EntryState, choose: Callable[[WaitingRequest], Placement | None]
    ) -> None:
        """Creates an empty queue.

        Args:
            state: State of the instance.
            choose: Chooses an endpoint for a request; returns None while none has room for it.
        """
        self._state = state
        self._choose = choose
        self._waiting = WaitingRequests()
        self._next_dispatch = float('-inf')

    async def place(self, waiting: WaitingRequest, *, until: float) -> bool:
        """Places a request, after waiting for an endpoint that has room if necessary.

        The first attempt does not depend on `until`, which can be over already if the process was
        held up on the way here, while an endpoint has room.

        Args:
            waiting: The request; its `placement` is set, and its load counted, once it is placed.
            until: Time at which it stops waiting, in seconds.

        Returns:
            Whether it was placed.
        """
        now = trio.current_time()
        self._waiting.record_priority(waiting, now)
        # The requests that wait already are not tried again here: no endpoint had room for them a
        # moment ago.
        if not self._waiting.must_queue(waiting, is_over=self._is_over_at(now)):
            waiting.placement = self._try_place(waiting)
        if waiting.placement is not None:
            return True
        waiting.placement_deadline = min(waiting.placement_deadline, until)
        placed = trio.Event()
        waiting.on_placed = placed.set
        self._waiting.add(waiting)
        try:
            with trio.move_on_at(until):
                await placed.wait()
        except trio.Cancelled:
            # The request may have been placed just before, but will not be sent any more.
            release_placement(self._state, waiting)
            raise
        finally:
            self._waiting.discard(waiting)
        return waiting.placement is not None

    def count_waiting(self) -> int:
        """Counts the requests that wait."""
        return len(self._waiting)

    def dispatch(self) -> None:
        """Places waiting requests that have room now; does nothing if called again too soon."""
        now = trio.current_time()
        if now < self._next_dispatch or not len(self._waiting):
            return
        self._next_dispatch = now + _DISPATCH_INTERVAL_SECONDS
        placed = self._waiting.place(
            self._try_place,
            usage=lambda account: self._state.shares.bucket_deficit_of(account, now),
            is_over=self._is_over_at(now),
        )
        for waiting in placed:
            if waiting.on_placed is not None:
                waiting.on_placed()

    def _is_over_at(self, now: float) -> Callable[[str], bool]:
        """Returns a function that tells whether an account has used more than its share."""
        return lambda account: self._state.shares.is_over(account, now)

    def _try_place(self, waiting: WaitingRequest) -> Placement | None:
        """Places a request if an endpoint has room for it, and counts its load and its cost."""
        now = trio.current_time()
        # After a pause of the process this can run before the request's timeout is delivered.
        if now >= waiting.placement_deadline:
            return None
        placement = self._choose(waiting)
        if placement is None:
            return None
        state = self._state
        state.loads.begin(placement.number, placement.tokens)
        state.shares.charge(waiting.account, waiting.cost_tokens, now)
        waiting.placed_at = now
        live = state.find_endpoint(placement.number)
        if live is not None:
            live.pacer.record_placed(now)
        if live is not None and waiting.parts:
            live.cache.record(waiting.parts)
            placed_prompt = [placement.number]
            for part in waiting.parts:
                placed_prompt.extend((part.identifier, part.tokens))
            state.unreported_placements.append(placed_prompt)
        return placement


def release_placement(state: EntryState, waiting: WaitingRequest) -> None:
    """Undoes a placement whose request was not sent: its load, and its cost to the account.

    Args:
        state: State of the instance.
        waiting: The request; nothing happens if it was not placed.
    """
    placement = waiting.placement
    if placement is None:
        return
    state.loads.end_prefill(placement.number, placement.tokens)
    state.loads.end(placement.number)
    refund_placement(state, waiting)
    state.notify()


def refund_placement(state: EntryState, waiting: WaitingRequest) -> None:
    """Returns the cost of a placed request to its account, for a request that did not run.

    Args:
        state: State of the instance.
        waiting: The request, which was placed.
    """
    state.shares.refund(
        waiting.account,
        waiting.cost_tokens,
        charged_at=waiting.placed_at,
        now=trio.current_time(),
    )


def make_engine_chooser(
    state: EntryState, service: str, capacity: EngineCapacity
) -> Callable[[WaitingRequest], Placement | None]:
    """Builds the function that chooses an engine for the prompts of a service.

    Args:
        state: State of the instance.
        service: Name of the service.
        capacity: Slots and cache size of each of its engines.

    Returns:
        A function that returns a placement, or None while no engine can begin the prompt in time.
        It sets the attributes of the request that hold the predicted waits and the limit on them,
        for the log.
    """
    policy = state.policy

    def choose(waiting: WaitingRequest) -> Placement | None:
        now = trio.current_time()
        elapsed = now - waiting.arrived_at
        is_over = state.shares.is_over(waiting.account, now)
        # Fraction of its remaining time that the request may wait. The functions below count a
        # caller's retry of a refused request as late.
        wait_fraction = policy.wait_fraction(
            has_more_urgent=waiting.has_more_urgent, is_over=is_over
        )
        waiting.wait_limit_seconds = wait_fraction * (waiting.target_seconds - elapsed)
        candidates = state.candidates.select(service, waiting.excluded, waiting.regions)
        views = _view_engines(state, candidates, capacity, state.slot_time_models[service].seconds)
        waiting.least_wait_seconds = find_least_wait(views, policy)
        waiting.preferred_engine_wait_seconds = None
        if not may_be_placed(
            waiting.least_wait_seconds,
            elapsed_seconds=elapsed,
            target_seconds=waiting.target_seconds,
            wait_fraction=wait_fraction,
            is_late=waiting.is_caller_retry,
            policy=policy,
        ):
            return None
        for live, view in zip(candidates, views, strict=True):
            view.cached_tokens = live.cache.count_cached(waiting.parts)
        plan_transfers(views, capacity.transfer)

        def is_acceptable(placement: Placement) -> bool:
            # The first call is for the placement on the engine that suits the prompt best.
            if waiting.preferred_engine_wait_seconds is None:
                waiting.preferred_engine_wait_seconds = placement.wait_seconds
            return is_worth_placing(
                placement,
                elapsed_seconds=elapsed,
                target_seconds=waiting.target_seconds,
                wait_fraction=wait_fraction,
                is_late=waiting.is_caller_retry,
                policy=policy,
            )

        return choose_acceptable_engine(
            views,
            waiting.parts,
            waiting.prompt_tokens,
            is_acceptable,
            may_spill_over=state.shares.is_short(waiting.account, now),
            policy=policy,
        )

    return choose


def make_slot_chooser(
    state: EntryState, service: str
) -> Callable[[WaitingRequest], Placement | None]:
    """Builds the function that chooses an endpoint of a plain service, by its free slots.

    Args:
        state: State of the instance.
        service: Name of the service.

    Returns:
        A function that returns a placement, or None while every slot is taken.
    """

    def choose(waiting: WaitingRequest) -> Placement | None:
        views = [
            PlainEndpointView(
                number=live.number,
                running=state.loads.total(live.number).running,
                slots=max(live.endpoint.slots, 1),
                is_same_domain=live.endpoint.failure_domain == state.settings.failure_domain,
            )
            for live in state.candidates.select(service, waiting.excluded, waiting.regions)
        ]
        chosen = choose_plain_endpoint(views)
        return None if chosen is None else Placement(chosen.number, 0)

    return choose


def _view_engines(
    state: EntryState,
    candidates: Iterable[LiveEndpoint],
    capacity: EngineCapacity,
    slot_seconds: float,
) -> list[EngineView]:
    """Describes the engines that a prompt may be sent to; `cached_tokens` is filled in later."""
    views = []
    for live in candidates:
        load = state.loads.total(live.number)
        views.append(
            EngineView(
                number=live.number,
                pending_tokens=load.pending_tokens,
                running=load.running,
                slots=capacity.slots,
                cached_tokens=0,
                tokens_per_second=live.first_event_model.tokens_per_second,
                slot_seconds=slot_seconds,
                is_same_domain=live.endpoint.failure_domain == state.settings.failure_domain,
            )
        )
    return views
