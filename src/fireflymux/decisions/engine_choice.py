"""Chooses the engine for a prompt: an early first event, and prompts where they are kept.

Answers the load of long prompts that share parts, on engines that read prompts in order of
arrival: each token read twice is capacity that others wait for, and a prompt whose answer
comes late has used up the time of others for little.
"""

from collections.abc import Callable, Iterable, Sequence

import attrs

from .placing_policy import DEFAULT_POLICY, PlacingPolicy
from .prompts import PromptPart
from .reading import FIRST_EVENT_SECONDS


@attrs.define(kw_only=True)
class EngineView:
    """What is known of one engine when a prompt is placed; not frozen, since many are made.

    Attributes:
        number: Number of the endpoint.
        pending_tokens: Prompt tokens sent to it whose answers have not begun.
        running: Requests on it.
        slots: Requests that run at once on it.
        cached_tokens: Leading tokens of the prompt that it keeps.
        tokens_per_second: Speed at which it works prompts off.
        stay_seconds: Time for which a request occupies a slot.
        is_near: Whether it is in the failure domain of the instance that chooses.
    """

    number: int
    pending_tokens: int
    running: int
    slots: int
    cached_tokens: int
    tokens_per_second: float
    stay_seconds: float = 0.0
    is_near: bool = True

    @property
    def wait_seconds(self) -> float:
        """Predicted time until it begins to read a prompt."""
        reading = self.pending_tokens / self.tokens_per_second
        if self.running < self.slots:
            return reading
        # Slots become free one after the other, a stay divided by the slots apart.
        queued = self.running - self.slots + 1
        return max(reading, queued * self.stay_seconds / self.slots)


@attrs.define(frozen=True)
class Placement:
    """An endpoint for a request.

    Attributes:
        number: Number of the endpoint.
        tokens: Prompt tokens that it has to read.
        wait_seconds: Predicted time until it begins to read them.
        seconds: Predicted time to the first event.
        is_queued: Whether it waits for a slot there.
    """

    number: int
    tokens: int
    wait_seconds: float = 0.0
    seconds: float = 0.0
    is_queued: bool = False


def choose_engine(
    views: Sequence[EngineView],
    parts: Sequence[PromptPart],
    prompt_tokens: int,
    policy: PlacingPolicy = DEFAULT_POLICY,
) -> Placement | None:
    """Chooses the engine with the earliest predicted first event, rereading included.

    Args:
        views: Engines that may be given work.
        parts: Parts of the prompt in order.
        prompt_tokens: Length of the prompt.
        policy: How waiting, rereading and distance are weighed.

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
            cost += policy.home_bias_seconds * min(home_rank, policy.home_ranks)
        if cost < best_cost:
            best_cost = cost
            best = view
    return None if best is None else _predict_placement(best, prompt_tokens)


def choose_fitting_engine(
    views: Sequence[EngineView],
    parts: Sequence[PromptPart],
    prompt_tokens: int,
    is_acceptable: Callable[[Placement], bool],
    *,
    may_leave: bool,
    policy: PlacingPolicy = DEFAULT_POLICY,
) -> Placement | None:
    """Chooses an engine on which a prompt is worth placing.

    Answers accounts short of their share whose prompts are kept by an engine that others fill:
    they are not refused for the sake of what it keeps. The others wait for it, since what they
    would have read again costs everybody.

    Args:
        views: Engines that may be given work.
        parts: Parts of the prompt in order.
        prompt_tokens: Length of the prompt.
        fits: Tells whether a placement is worth it.
        may_leave: Whether any other engine will do where the best one doesn't.
        policy: How waiting, rereading and distance are weighed.

    Returns:
        The placement, or None if there is none.
    """
    placement = choose_engine(views, parts, prompt_tokens, policy)
    if placement is None or is_acceptable(placement):
        return placement
    if not may_leave:
        return None
    acceptable = [view for view in views if is_acceptable(_predict_placement(view, prompt_tokens))]
    return choose_engine(acceptable, parts, prompt_tokens, policy)


def _predict_placement(view: EngineView, prompt_tokens: int) -> Placement:
    tokens = max(prompt_tokens - view.cached_tokens, 1)
    wait = view.wait_seconds
    seconds = FIRST_EVENT_SECONDS + wait + tokens / view.tokens_per_second
    return Placement(view.number, tokens, wait, seconds, view.running >= view.slots)


def _estimate_cost(
    view: EngineView, prompt_tokens: int, shared_tokens: int, policy: PlacingPolicy
) -> float:
    tokens = float(max(prompt_tokens - view.cached_tokens, 1))
    tokens += policy.reread_weight * max(shared_tokens - view.cached_tokens, 0)
    cost = view.wait_seconds + tokens / view.tokens_per_second
    return cost if view.is_near else cost + policy.remote_bias_seconds


def find_least_wait(views: Iterable[EngineView], policy: PlacingPolicy = DEFAULT_POLICY) -> float:
    """Finds the shortest predicted wait over the engines that may hold one request more.

    Args:
        views: Engines that may be given work.
        policy: How many requests an engine may hold.

    Returns:
        Seconds; infinite if there is no such engine.
    """
    least = float('inf')
    for view in views:
        if view.running < policy.held_part * view.slots:
            least = min(least, view.wait_seconds)
    return least


def may_be_placed(
    least_wait_seconds: float,
    *,
    spent_seconds: float,
    target_seconds: float,
    part: float,
    is_late: bool = False,
    policy: PlacingPolicy = DEFAULT_POLICY,
) -> bool:
    """Tells whether any placement of a prompt can be worth it, without looking at its parts.

    Answers many prompts that wait while every engine is busy: most of them need no more.

    Args:
        least_wait_seconds: Shortest predicted wait over the engines.
        spent_seconds: Time since it arrived.
        target_seconds: Latency within which its first event is on time.
        part: Part of the time that it can spare for which it may wait.
        is_late: Whether it can't be on time any more.
        policy: How much may wait before a prompt that is late.

    Returns:
        False only if `is_worth_placing` refuses it on each engine.
    """
    if least_wait_seconds <= policy.late_wait_part * part * target_seconds:
        return True
    if is_late:
        return False
    return least_wait_seconds <= part * (target_seconds - FIRST_EVENT_SECONDS - spent_seconds)


def is_worth_placing(
    placement: Placement,
    *,
    spent_seconds: float,
    target_seconds: float,
    part: float,
    is_late: bool = False,
    policy: PlacingPolicy = DEFAULT_POLICY,
) -> bool:
    """Tells whether a prompt is placed, or left to wait or be refused.

    Args:
        placement: Where it would go.
        spent_seconds: Time since it arrived.
        target_seconds: Latency within which its first event is on time.
        part: Part of the time that it can spare for which it may wait.
        is_late: Whether it can't be on time any more.
        policy: How much may wait before a prompt that is late.

    Returns:
        Whether it waits for no longer than that part of what it can still spare; a prompt that
        is late already, or too long to be on time anywhere, is placed while little waits before
        it.
    """
    late_limit_seconds = policy.late_wait_part * part * target_seconds
    if is_late:
        return not placement.is_queued and placement.wait_seconds <= late_limit_seconds
    unqueued_seconds = placement.seconds - placement.wait_seconds
    if unqueued_seconds >= target_seconds:
        return placement.wait_seconds <= late_limit_seconds
    return placement.wait_seconds <= part * (target_seconds - unqueued_seconds - spent_seconds)


def order_homes(
    views: Sequence[EngineView], parts: Sequence[PromptPart], *, prefers_same_domain: bool = False
) -> Sequence[EngineView]:
    """Orders engines as all instances prefer them for a prompt, by rendezvous hashing.

    Prompts that find no room on the first engine meet again on the second, so that few engines
    spend memory on the same part.

    Args:
        views: Engines that may be given work.
        parts: Parts of the prompt in order.
        prefers_near: Whether those in the failure domain of this instance come first.

    Returns:
        The engines; in the given order if the prompt shares nothing.
    """
    if len(parts) < 2:
        return views
    shared = parts[-2].identifier

    def rank(view: EngineView) -> tuple[bool, int, int]:
        # Hashes of integers are the same in every process.
        return prefers_same_domain and not view.is_near, -hash((shared, view.number)), view.number

    return sorted(views, key=rank)
