"""Prompt parts, and a model of which of them an engine has in its prefix cache."""

from collections import OrderedDict
from collections.abc import Sequence

import attrs


@attrs.define(frozen=True)
class PromptPart:
    """One part of a prompt; prompts may have leading parts in common.

    Attributes:
        identifier: Identifier of the content of the part.
        tokens: Length in tokens.
    """

    identifier: int
    tokens: int


class PrefixCache:
    """Model of the prefix cache of one engine, which evicts the least recently used parts.

    A cached part needs no prefill only if all parts before it are cached as well.
    """

    def __init__(self, capacity_tokens: int) -> None:
        """Creates an empty cache.

        Args:
            capacity_tokens: Capacity of the cache in tokens.
        """
        self._capacity_tokens = capacity_tokens
        self._cached: OrderedDict[int, int] = OrderedDict()
        self._cached_tokens = 0

    def resize(self, capacity_tokens: int) -> None:
        """Changes the capacity; a smaller one evicts parts with the next prompt.

        Args:
            capacity_tokens: Capacity of the cache in tokens.
        """
        self._capacity_tokens = capacity_tokens

    def count_cached(self, parts: Sequence[PromptPart]) -> int:
        """Counts the leading tokens of a prompt that are cached.

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
        """Records that the engine processes a prompt, which puts all its parts into the cache.

        Args:
            parts: Parts of the prompt in order.
        """
        # First parts are shared by the most prompts, so they are marked as used most recently.
        for part in reversed(parts):
            if part.identifier in self._cached:
                self._cached.move_to_end(part.identifier)
                continue
            self._cached[part.identifier] = part.tokens
            self._cached_tokens += part.tokens
        while self._cached_tokens > self._capacity_tokens and self._cached:
            _, tokens = self._cached.popitem(last=False)
            self._cached_tokens -= tokens
