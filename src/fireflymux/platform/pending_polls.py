"""Calls that wait for changes of the store's tables (long polls), while no response has come."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import attrs
import trio

from ..decisions.poll_timing import EVIDENCE_GRACE_SECONDS
from ..decisions.store_changes import ListedChanges
from ..decisions.store_version import StoreVersion

#: Time after which an instance that relies on others checks again whether it relies on the store.
_RELIANCE_CHECK_SECONDS = 0.05


@attrs.define(eq=False)
class PendingPoll:
    """One call that waits for changes.

    Attributes:
        after: Version up to which the changes of its table are known.
        ends_at: Time at which its wait ends, in seconds.
        may_repeat: Tells whether the instance still relies on the store for the changes.
        scope: Cancels it.
        must_repeat: Is set when the call has to be repeated before it is overdue.
    """

    after: StoreVersion
    ends_at: float
    may_repeat: Callable[[], bool]
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    must_repeat: trio.Event = attrs.field(factory=trio.Event)

    async def wait_for_repeat(self) -> None:
        """Waits until the call has to be repeated, and for the time that it then still has."""
        await self.must_repeat.wait()
        await trio.sleep(EVIDENCE_GRACE_SECONDS)
        while not self.may_repeat():
            await trio.sleep(_RELIANCE_CHECK_SECONDS)
        # A further repetition needs another reason.
        self.must_repeat = trio.Event()


class PendingPolls:
    """The pending calls of one process, one for each table."""

    def __init__(self) -> None:
        """Creates an empty list."""
        self._polls: set[PendingPoll] = set()

    @contextmanager
    def add(self, poll: PendingPoll) -> Iterator[None]:
        """Lists a call, and cancels it if `cancel` is called, until the block ends."""
        with poll.scope:
            self._polls.add(poll)
            try:
                yield
            finally:
                self._polls.discard(poll)

    def list_ends(self) -> list[float]:
        """Lists the times at which the waits end, in seconds."""
        return [poll.ends_at for poll in self._polls]

    def record_changes(self, changes: ListedChanges) -> None:
        """Has the calls repeated that could have missed a change.

        Args:
            changes: What a response about any table shows of the changes of the store.
        """
        for poll in self._polls:
            poll.after = changes.advance(poll.after)
            if poll.after < changes.newest:
                poll.must_repeat.set()

    def repeat_all(self) -> None:
        """Has all calls repeated, since one of them got no response in time."""
        for poll in self._polls:
            poll.must_repeat.set()

    def cancel(self) -> None:
        """Cancels all calls."""
        for poll in self._polls:
            poll.scope.cancel()
