"""Prompt parts and a model of which of them each engine keeps in memory."""

from collections import OrderedDict
from collections.abc import Sequence

import attrs


@attrs.define(frozen=True)
class PromptPart:
    """One part of a prompt; requests share leading parts.

    Attributes:
        identifier: Identifier of the part's content.
        tokens: Its length in tokens.
    """

    identifier: int
    tokens: int


class PrefixCache:
    """Parts that one engine is believed to keep; the least recently used ones yield.

    A part saves reading only where all parts before it are kept as well.
    """

    def __init__(self, capacity_tokens: int) -> None:
        """Starts empty.

        Args:
            capacity_tokens: Tokens that the engine keeps.
        """
        self._capacity_tokens = capacity_tokens
        self._cached: OrderedDict[int, int] = OrderedDict()
        self._cached_tokens = 0

    def count_cached(self, parts: Sequence[PromptPart]) -> int:
        """Counts the leading tokens of a prompt that need not be read.

        Args:
            parts: Parts of the prompt in order.

        Returns:
            Tokens.
        """
        cached = 0
        for part in parts:
            if part.identifier not in self._cached:
                break
            cached += part.tokens
        return cached

    def record(self, parts: Sequence[PromptPart]) -> None:
        """Notes that the engine reads a prompt.

        Args:
            parts: Parts of the prompt in order.
        """
        # The first parts are the most shared: they are marked as used last.
        for part in reversed(parts):
            if part.identifier in self._cached:
                self._cached.move_to_end(part.identifier)
                continue
            self._cached[part.identifier] = part.tokens
            self._cached_tokens += part.tokens
        while self._cached_tokens > self._capacity_tokens and self._cached:
            _, tokens = self._cached.popitem(last=False)
            self._cached_tokens -= tokens
