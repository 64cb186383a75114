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
        self._capacity = capacity_tokens
        self._kept: OrderedDict[int, int] = OrderedDict()
        self._tokens = 0

    def count_cached(self, parts: Sequence[PromptPart]) -> int:
        """Counts the leading tokens of a prompt that need not be read.

        Args:
            parts: Parts of the prompt in order.

        Returns:
            Tokens.
        """
        cached = 0
        for part in parts:
            if part.identifier not in self._kept:
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
            if part.identifier in self._kept:
                self._kept.move_to_end(part.identifier)
                continue
            self._kept[part.identifier] = part.tokens
            self._tokens += part.tokens
        while self._tokens > self._capacity and self._kept:
            _, tokens = self._kept.popitem(last=False)
            self._tokens -= tokens
