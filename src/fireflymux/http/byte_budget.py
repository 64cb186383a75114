"""Bounds the bytes from outside that one process keeps, as one sum over all connections.

Each message that is being received, and each that waits for a slow reader, has an account of what
it holds. The sum doesn't depend on how many connections, servers or requests there are:

- From a part of the bound on, messages that hold much are read on one at a time, so that large
  ones still arrive whole. The others pause, and TCP makes their senders wait.
- At the bound, the message that holds most is given up, of those of the source that holds most.

Small messages are never paused, so that they notice nothing of large ones.
"""

from collections import Counter
from collections.abc import Callable

import trio

#: Part of the bound from which on messages that hold much are read on one at a time.
_PAUSE_FRACTION = 0.75
#: Size up to which a message is never paused.
_SMALL_BYTES = 65536
#: Time without input after which a message is given up if others wait for the memory it holds.
BLOCKING_STALL_SECONDS = 0.25
_UNLIMITED = float('inf')


class HeldBytes:
    """What one message holds of the budget, from `ByteBudget.open` to `close`.

    Attributes:
        source: Who sent the message; messages of one source are weighed together.
        size: Memory that it holds, in bytes.
        largest_size: Most that it has held.
        is_given_up: Whether it was given up since the budget was exceeded.
    """

    def __init__(
        self, budget: 'ByteBudget', source: str, give_up: Callable[[], None] | None
    ) -> None:
        """Opens the account of a message that holds nothing yet.

        Args:
            budget: The budget of the process.
            source: Who sends the message.
            give_up: Ends the message; None if it must not be given up.
        """
        self.source = source
        self.size = 0
        self.largest_size = 0
        self.is_given_up = False
        self._budget = budget
        self._give_up = give_up

    @property
    def may_be_given_up(self) -> bool:
        """Whether the message may be ended to make room."""
        return self._give_up is not None and not self.is_given_up

    @property
    def dense_turn(self) -> trio.Lock:
        """Lock under which input of many small units is parsed, by one connection at a time."""
        return self._budget.dense_turn

    @property
    def blocks_others(self) -> bool:
        """Whether it is the one large message that is read on, while others wait for that."""
        return self._budget.is_blocked_by(self)

    def resize(self, size: int) -> None:
        """Records what the message holds now.

        Args:
            size: Memory in bytes.
        """
        self.largest_size = max(self.largest_size, size)
        if not self.is_given_up:
            self._budget.change(self, size - self.size)

    async def wait_for_room(self) -> None:
        """Waits until more of the message may be read."""
        if self.size > _SMALL_BYTES:
            await self._budget.wait_for_turn(self)

    def end(self) -> None:
        """Gives the message up."""
        self.is_given_up = True
        if self._give_up is not None:
            self._give_up()

    def close(self) -> None:
        """Records that nothing of the message is kept any more."""
        self._budget.close(self)


class ByteBudget:
    """The bytes from outside that one process keeps.

    Attributes:
        limit_bytes: Most that all messages may hold together.
        held_bytes: What they hold.
        given_up: Number of messages that were given up.
        dense_turn: Lock under which input of many small units is parsed, by one connection at a
            time.
    """

    def __init__(self, limit_bytes: float = _UNLIMITED) -> None:
        """Creates an empty budget.

        Args:
            limit_bytes: Most that all messages may hold together; infinite for no bound.
        """
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.given_up = 0
        self.dense_turn = trio.Lock()
        self._by_source: Counter[str] = Counter()
        self._messages: set[HeldBytes] = set()
        self._waiting: dict[HeldBytes, trio.Event] = {}
        self._reader: HeldBytes | None = None

    @property
    def is_exceeded(self) -> bool:
        """Whether more is held than may be."""
        return self.held_bytes > self.limit_bytes

    def open(self, source: str, give_up: Callable[[], None] | None = None) -> HeldBytes:
        """Opens the account of a message.

        Args:
            source: Who sends the message.
            give_up: Ends the message if the budget is exceeded; None if it must not be ended.
        """
        return HeldBytes(self, source, give_up)

    def change(self, message: HeldBytes, delta: int) -> None:
        """Adds to what a message holds, and makes room if that exceeds the budget."""
        if not delta:
            return
        message.size += delta
        self.held_bytes += delta
        self._by_source[message.source] += delta
        if message.size:
            self._messages.add(message)
        else:
            self._forget(message)
        if self._reader is message and message.size <= _SMALL_BYTES:
            self._reader = None
        if delta < 0:
            self._wake()
            return
        while self.is_exceeded and self._end_largest():
            self.given_up += 1

    def close(self, message: HeldBytes) -> None:
        """Takes a message that is not kept any more out of the sum."""
        if self._reader is message:
            self._reader = None
        self.change(message, -message.size)

    def is_blocked_by(self, message: HeldBytes) -> bool:
        """Tells whether others wait for the end of a message."""
        return self._reader is message and bool(self._waiting)

    async def wait_for_turn(self, message: HeldBytes) -> None:
        """Waits while much of the budget is used and another large message is read on."""
        while not self._may_read(message):
            event = trio.Event()
            self._waiting[message] = event
            try:
                await event.wait()
            finally:
                self._waiting.pop(message, None)

    def _may_read(self, message: HeldBytes) -> bool:
        """Tells whether more of a large message may be read; it takes the turn if that is free."""
        if message.is_given_up or self._has_room():
            return True
        if self._reader is None:
            self._reader = message
        return self._reader is message

    def _has_room(self) -> bool:
        return self.held_bytes < _PAUSE_FRACTION * self.limit_bytes

    def _wake(self) -> None:
        """Lets waiting messages go on: all if there is room, or the next one otherwise."""
        if not self._waiting:
            return
        if self._has_room():
            for event in self._waiting.values():
                event.set()
        elif self._reader is None:
            # The source that holds least goes first, so that none waits for those of a flood.
            self._reader = min(self._waiting, key=lambda other: self._by_source[other.source])
            self._waiting[self._reader].set()

    def _end_largest(self) -> bool:
        """Gives up the largest message of the source that holds most; False if there is none."""
        candidates = [message for message in self._messages if message.may_be_given_up]
        if not candidates:
            return False
        largest = max(
            candidates, key=lambda message: (self._by_source[message.source], message.size)
        )
        largest.end()
        if largest in self._waiting:
            self._waiting[largest].set()
        # Its task lets go of the bytes when it runs next; until then it must not be counted again.
        self.close(largest)
        return True

    def _forget(self, message: HeldBytes) -> None:
        self._messages.discard(message)
        if not self._by_source[message.source]:
            self._by_source.pop(message.source)
