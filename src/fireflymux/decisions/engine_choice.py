"""Chooses the engine for a prompt, by predicted time to the first event and by cached prefix.

An engine processes prompts (prefill) in order of arrival and caches what it has processed. Long
prompts share leading parts, so two things waste capacity that other requests wait for: processing
a part that another engine has cached, and processing a prompt whose response is too late anyway.
"""

from collections.abc import Callable, Iterable, Sequence

import attrs

from .first_event_model import FIRST_EVENT_SECONDS
from .placing_policy import DEFAULT_POLICY, PlacingPolicy
from .prompts import PromptPart


@attrs.define(kw_only=True)
class EngineView:
    """State of one engine when a prompt is placed.

    Not frozen, since many are created and frozen classes are slower to create.

    Attributes:
        number: Number of the endpoint.
        pending_tokens: Prompt tokens sent to it that were not cached there and need prefill, and
            whose responses have not begun.
        running: Requests on it, including those that wait there for a slot; can exceed `slots`.
        slots: Number of requests that it runs at once.
        cached_tokens: Leading tokens of the prompt that its cache holds.
        tokens_per_second: Speed at which it works through pending tokens (`FirstEventModel`).
        slot_seconds: Mean time for which a request occupies a slot.
        is_same_domain: Whether it is in the failure domain of the instance that chooses.
        fetched_tokens: Further tokens of the prompt that it would copy from another engine.
        fetch_seconds: Time that the copy takes.
        source: Number of that other engine; None if it would copy nothing.
    """

    number: int
    pending_tokens: int
    running: int
    slots: int
    cached_tokens: int
    tokens_per_second: float
    slot_seconds: float = 0.0
    is_same_domain: bool = True
    fetched_tokens: int = 0
    fetch_seconds: float = 0.0
    source: int | None = None

    @property
    def wait_seconds(self) -> float:
        """Predicted time until the prefill of a prompt that is sent now begins."""
        prefill_seconds = self.pending_tokens / self.tokens_per_second
        if self.running < self.slots:
            return prefill_seconds
        # With all slots taken, one becomes free every slot_seconds / slots on average.
        queued = self.running - self.slots + 1
        return max(prefill_seconds, queued * self.slot_seconds / self.slots)


@attrs.define(frozen=True)
class Placement:
    """The endpoint chosen for a request, and what is predicted for the request there.

    Attributes:
        number: Number of the endpoint.
        tokens: Prompt tokens of the request that need prefill: neither cached there nor fetched.
        wait_seconds: Predicted time until their prefill begins.
        seconds: Predicted time to the first event: the wait, the fetch, the prefill and the time
            that the first event takes on an idle engine.
        is_queued: Whether the request waits for a slot there.
        source: Number of the engine that it fetches cached parts from; None for none.
    """

    number: int
    tokens: int
    wait_seconds: float = 0.0
    seconds: float = 0.0
    is_queued: bool = False
    source: int | None = None


def choose_engine(
    views: Sequence[EngineView],
    parts: Sequence[PromptPart],
    prompt_tokens: int,
    policy: PlacingPolicy = DEFAULT_POLICY,
) -> Placement | None:
    """Chooses the engine with the lowest cost for a prompt.

    The cost is the predicted wait and prefill time, plus penalties for shared parts that the
    engine has not cached, for a low rank in the prompt's home order (`order_homes`), and for an
    engine in another failure domain.

    Args:
        views: Engines that may be given work.
        parts: Parts of the prompt in order.
        prompt_tokens: Length of the prompt.
        policy: Weights of the penalties, and how many requests an engine may hold.

    Returns:
        The placement, or None if every engine holds as many requests as it may.
    """
    shared_tokens = sum(part.tokens for part in parts[:-1])
    prefers_same_domain = shared_tokens <= policy.small_shared_tokens
    best: EngineView | None = None
    best_cost = float('inf')
    for home_rank, view in enumerate(
        order_homes(views, parts, prefers_same_domain=prefers_same_domain)
    ):
        if view.running >= policy.held_part * view.slots:
            continue
        cost = _estimate_cost(view, prompt_tokens, shared_tokens, policy)
        if shared_tokens:
            bias = policy.home_bias_part * shared_tokens / view.tokens_per_second
            cost += bias * min(home_rank, policy.home_ranks)
        if cost < best_cost:
            best_cost = cost
            best = view
    return None if best is None else _predict_placement(best, prompt_tokens)


def choose_acceptable_engine(
    views: Sequence[EngineView],
    parts: Sequence[PromptPart],
    prompt_tokens: int,
    is_acceptable: Callable[[Placement], bool],
    *,
    may_spill_over: bool,
    policy: PlacingPolicy = DEFAULT_POLICY,
) -> Placement | None:
    """Chooses the engine with the lowest cost, if the placement on it is acceptable.

    If it is not, because other accounts keep that engine busy, an account short of its share may
    use the best acceptable engine instead, and is not refused for the sake of cached parts. Other
    accounts wait for the first engine, since the repeated prefill of their prompts would take
    capacity from everybody.

    Args:
        views: Engines that may be given work.
        parts: Parts of the prompt in order.
        prompt_tokens: Length of the prompt.
        is_acceptable: Tells whether a placement is worth making, as `is_worth_placing` does.
        may_spill_over: Whether another engine may be used if the best one is not acceptable.
        policy: Weights of the penalties, and how many requests an engine may hold.

    Returns:
        The placement, or None if there is no acceptable one.
    """
    placement = choose_engine(views, parts, prompt_tokens, policy)
    if placement is None or is_acceptable(placement):
        return placement
    if not may_spill_over:
        return None
    acceptable = [view for view in views if is_acceptable(_predict_placement(view, prompt_tokens))]
    return choose_engine(acceptable, parts, prompt_tokens, policy)


def _predict_placement(view: EngineView, prompt_tokens: int) -> Placement:
    tokens = _count_prefill_tokens(view, prompt_tokens)
    wait = view.wait_seconds
    seconds = FIRST_EVENT_SECONDS + wait + view.fetch_seconds + tokens / view.tokens_per_second
    is_queued = view.running >= view.slots
    return Placement(view.number, tokens, wait, seconds, is_queued, view.source)


def _count_prefill_tokens(view: EngineView, prompt_tokens: int) -> int:
    return max(prompt_tokens - view.cached_tokens - view.fetched_tokens, 1)


def _estimate_cost(
    view: EngineView, prompt_tokens: int, shared_tokens: int, policy: PlacingPolicy
) -> float:
    available_tokens = view.cached_tokens + view.fetched_tokens
    tokens = float(_count_prefill_tokens(view, prompt_tokens))
    tokens += policy.reread_weight * max(shared_tokens - available_tokens, 0)
    cost = view.wait_seconds + tokens / view.tokens_per_second
    cost += policy.fetch_weight * view.fetch_seconds
    return cost if view.is_same_domain else cost + policy.remote_bias_seconds


def find_least_wait(views: Iterable[EngineView], policy: PlacingPolicy = DEFAULT_POLICY) -> float:
    """Finds the shortest predicted wait among the engines that may hold another request.

    Args:
        views: Engines that may be given work.
        policy: How many requests an engine may hold.

    Returns:
        Seconds; infinite if no engine may hold another request.
    """
    least = float('inf')
    for view in views:
        if view.running < policy.held_part * view.slots:
            least = min(least, view.wait_seconds)
    return least


def may_be_placed(
    least_wait_seconds: float,
    *,
    elapsed_seconds: float,
    target_seconds: float,
    wait_fraction: float,
    is_late: bool = False,
    policy: PlacingPolicy = DEFAULT_POLICY,
) -> bool:
    """Tells whether some placement of a prompt may be acceptable, without looking up caches.

    A cheap check in advance of `is_worth_placing`. While many prompts wait and every engine is
    busy, it rules most of them out.

    Args:
        least_wait_seconds: Shortest predicted wait over the engines.
        elapsed_seconds: Time since the request arrived.
        target_seconds: Target time to the first event.
        wait_fraction: Fraction of its spare time that the request may wait.
        is_late: Whether the request counts as late whatever its spare time, as a caller's retry
            of a refused request does.
        policy: How long a late prompt may wait.

    Returns:
        False only if `is_worth_placing` is false for each engine.
    """
    if least_wait_seconds <= policy.late_wait_part * wait_fraction * target_seconds:
        return True
    if is_late:
        return False
    return least_wait_seconds <= wait_fraction * (
        target_seconds - FIRST_EVENT_SECONDS - elapsed_seconds
    )


def is_worth_placing(
    placement: Placement,
    *,
    elapsed_seconds: float,
    target_seconds: float,
    wait_fraction: float,
    is_late: bool = False,
    policy: PlacingPolicy = DEFAULT_POLICY,
) -> bool:
    """Tells whether a request is placed now, rather than left waiting or refused.

    The spare time of a request is its target, less the time that the first event would take
    without a wait, less the time since it arrived.

    - A request that counts as late (`is_late`) is placed only where a slot is free and the wait is
      short.
    - A request that is too long to meet the target even without a wait is placed only where the
      wait is short.
    - Any other request is placed if it would wait for at most a fraction of its spare time. Once
      that is spent, it is not placed any more.

    Args:
        placement: The placement in question.
        elapsed_seconds: Time since the request arrived.
        target_seconds: Target time to the first event.
        wait_fraction: Fraction of its spare time that the request may wait.
        is_late: Whether the request counts as late whatever its spare time, as a caller's retry
            of a refused request does.
        policy: How long a late prompt may wait.

    Returns:
        Whether the request is placed.
    """
    late_limit_seconds = policy.late_wait_part * wait_fraction * target_seconds
    if is_late:
        return not placement.is_queued and placement.wait_seconds <= late_limit_seconds
    unqueued_seconds = placement.seconds - placement.wait_seconds
    if unqueued_seconds >= target_seconds:
        return placement.wait_seconds <= late_limit_seconds
    return placement.wait_seconds <= wait_fraction * (
        target_seconds - unqueued_seconds - elapsed_seconds
    )


def order_homes(
    views: Sequence[EngineView], parts: Sequence[PromptPart], *, prefers_same_domain: bool = False
) -> Sequence[EngineView]:
    """Orders engines by rendezvous hashing of the last shared part of a prompt.

    All instances compute the same order. Prompts that share a part and find the first engine full
    move on to the same second one, so that few engines cache the same part.

    Args:
        views: Engines that may be given work.
        parts: Parts of the prompt in order; all but the last are shared with other prompts.
        prefers_same_domain: Whether engines in the failure domain of this instance come first.

    Returns:
        The engines, the preferred one first; in the given order if the prompt shares no part.
    """
    if len(parts) < 2:
        return views
    shared = parts[-2].identifier

    def rank(view: EngineView) -> tuple[bool, int, int]:
        # Unlike those of strings, hashes of integers are the same in every process.
        return (
            prefers_same_domain and not view.is_same_domain,
            -hash((shared, view.number)),
            view.number,
        )

    return sorted(views, key=rank)
