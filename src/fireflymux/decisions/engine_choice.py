"""Chooses the engine for a prompt: short waits first, and prompts where they are kept.

Answers the load of long prompts that share parts, on engines that read prompts in order of
arrival: each token read twice is capacity that others wait for.
"""

from collections.abc import Sequence

import attrs

from .prompts import PromptPart

#: Weight of reading a shared part again, against waiting for as long.
_REREAD_WEIGHT = 2.0
#: Wait that another engine must save before a prompt leaves its home, in seconds.
_HOME_BIAS_SECONDS = 0.03


@attrs.define(frozen=True, kw_only=True)
class EngineView:
    """What is known of one engine when a prompt is placed.

    Attributes:
        number: Number of the endpoint.
        pending_tokens: Prompt tokens that it has to read first.
        running: Requests on it.
        slots: Requests that run at once on it.
        cached_tokens: Leading tokens of the prompt that it keeps.
        tokens_per_second: Speed at which it reads prompts.
    """

    number: int
    pending_tokens: int
    running: int
    slots: int
    cached_tokens: int
    tokens_per_second: float

    def wait_seconds(self) -> float:
        """Predicts how long a prompt waits before the engine begins to read it."""
        return self.pending_tokens / self.tokens_per_second


@attrs.define(frozen=True)
class Placement:
    """An engine for a prompt.

    Attributes:
        number: Number of the endpoint.
        tokens: Prompt tokens that it has to read.
        seconds: Predicted time until it has read them.
    """

    number: int
    tokens: int
    seconds: float


def choose_engine(
    views: Sequence[EngineView],
    parts: Sequence[PromptPart],
    prompt_tokens: int,
) -> Placement | None:
    """Chooses the engine with the least predicted wait, reading again included.

    Args:
        views: Engines that may be given work.
        parts: Parts of the prompt in order.
        prompt_tokens: Length of the prompt.

    Returns:
        The placement, or None if every engine is full.
    """
    shared_tokens = sum(part.tokens for part in parts[:-1])
    home = find_home(views, parts)
    best: Placement | None = None
    best_cost = float('inf')
    for view in views:
        if view.running >= view.slots:
            continue
        tokens = max(prompt_tokens - view.cached_tokens, 1)
        seconds = view.wait_seconds() + tokens / view.tokens_per_second
        missing = max(shared_tokens - view.cached_tokens, 0)
        cost = seconds + _REREAD_WEIGHT * missing / view.tokens_per_second
        if view.number != home:
            cost += _HOME_BIAS_SECONDS
        if cost < best_cost:
            best_cost = cost
            best = Placement(view.number, tokens, seconds)
    return best


def find_home(views: Sequence[EngineView], parts: Sequence[PromptPart]) -> int:
    """Finds the engine that all instances prefer for a prompt, by rendezvous hashing.

    Args:
        views: Engines that may be given work.
        parts: Parts of the prompt in order.

    Returns:
        Number of the endpoint; -1 if the prompt shares nothing.
    """
    if len(parts) < 2 or not views:
        return -1
    shared = parts[-2].identifier
    # Hashes of integers are the same in every process.
    return max((hash((shared, view.number)), view.number) for view in views)[1]
