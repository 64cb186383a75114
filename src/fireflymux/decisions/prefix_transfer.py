"""Decides which engine fetches the cached parts of a prompt from which other engine.

An engine can copy what another one has cached of a prompt, which takes far less time than to process
it again. It answers the load of sessions that move to a second engine because the first is busy:
without a copy, their shared parts are processed again each time.
"""

from collections.abc import Sequence

import attrs

from .engine_choice import EngineView

#: Time that a transfer takes besides that of its bytes.
_SETUP_SECONDS = 0.004
_BITS_PER_BYTE = 8.0
_BITS_PER_MEGABIT = 1e6


@attrs.define(frozen=True, kw_only=True)
class TransferRate:
    """How fast engines copy cached tokens from each other.

    Attributes:
        token_bytes: Size of one cached token.
        link_bits_per_second: Bandwidth of an engine's link; zero if engines cannot copy.
    """

    token_bytes: float = 0.0
    link_bits_per_second: float = 0.0

    @classmethod
    def from_megabits(cls, *, token_bytes: float, link_megabits: float) -> 'TransferRate':
        """Creates a rate from a bandwidth in megabits per second.

        Args:
            token_bytes: Size of one cached token.
            link_megabits: Bandwidth of an engine's link; zero if engines cannot copy.
        """
        return cls(token_bytes=token_bytes, link_bits_per_second=link_megabits * _BITS_PER_MEGABIT)

    def estimate_seconds(self, tokens: int) -> float:
        """Estimates how long a transfer takes.

        Args:
            tokens: Number of tokens.

        Returns:
            Seconds; infinite if engines cannot copy.
        """
        if not self.link_bits_per_second:
            return float('inf')
        return (
            _SETUP_SECONDS + tokens * self.token_bytes * _BITS_PER_BYTE / self.link_bits_per_second
        )


def plan_transfers(views: Sequence[EngineView], rate: TransferRate) -> None:
    """Sets for each engine from which other one it would fetch a prompt, where that is faster.

    Args:
        views: Engines that may be given work, with `cached_tokens` of the prompt; their attributes
            about the transfer are set.
        rate: How fast engines copy from each other.
    """
    most = max((view.cached_tokens for view in views), default=0)
    if not most:
        return
    sources = [view for view in views if view.cached_tokens == most]
    for view in views:
        missing = most - view.cached_tokens
        seconds = rate.estimate_seconds(missing)
        if not missing or seconds >= missing / view.tokens_per_second:
            continue
        view.fetched_tokens = missing
        view.fetch_seconds = seconds
        view.source = _choose_source(sources, view).number


def _choose_source(sources: Sequence[EngineView], target: EngineView) -> EngineView:
    """Chooses a source, preferring the failure domain of the target and engines with little work."""
    return min(
        sources,
        key=lambda source: (
            source.is_same_domain != target.is_same_domain,
            source.pending_tokens,
            source.number,
        ),
    )
