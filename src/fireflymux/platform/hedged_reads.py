"""Repeats a read on another connection while it gets no response, and takes the first response.

A response can be lost without a notice, and a call can be sent to a store that does not respond.
Neither the caller nor the network tells; only a repetition finds out that the store responds again.
"""

from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

import trio

from ..decisions.poll_timing import RepeatPlan

_ResponseT = TypeVar('_ResponseT')
#: Sends the read once and returns its response; gets whether this is a repetition.
SendRead = Callable[[bool], Awaitable[_ResponseT]]
#: Waits for a reason to repeat the read before it is overdue.
WaitForRepeat = Callable[[], Awaitable[None]]


def _ignore() -> None:
    """Does nothing when a call is overdue."""


class HedgedRead(Generic[_ResponseT]):
    """One read of the store, which is sent until there is a response or its plan is over."""

    def __init__(self, send: SendRead[_ResponseT], *, failures: tuple[type[Exception], ...]):
        """Prepares the read.

        Args:
            send: Sends it once.
            failures: Errors that `send` may raise.
        """
        self._send = send
        self._failures = failures
        self._responses: list[_ResponseT] = []
        self._errors: list[Exception] = []
        self._sent = 0
        self._scope = trio.CancelScope()

    async def run(
        self,
        plan: RepeatPlan,
        *,
        wait_for_repeat: WaitForRepeat = trio.sleep_forever,
        on_overdue: Callable[[], None] = _ignore,
    ) -> _ResponseT:
        """Sends the read until there is a response.

        Args:
            plan: When it is repeated.
            wait_for_repeat: Returns when the read has to be repeated earlier than planned.
            on_overdue: Is called each time that a response is overdue by the plan.

        Returns:
            The first response.

        Raises:
            Exception: The error of the first call to fail, if all calls that were sent have failed.
            trio.TooSlowError: No call got a response.
        """
        with self._scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._try_once)
                seconds = plan.overdue_seconds
                for _ in range(plan.repetitions):
                    await _wait(seconds, wait_for_repeat, on_overdue)
                    nursery.start_soon(self._try_once)
                    seconds = plan.repeat_seconds
                await trio.sleep(seconds)
                self._scope.cancel()
        if self._responses:
            return self._responses[0]
        if self._errors:
            raise self._errors[0]
        raise trio.TooSlowError

    async def _try_once(self) -> None:
        self._sent += 1
        try:
            response = await self._send(self._sent > 1)
        except self._failures as error:
            self._errors.append(error)
            # Others that were sent may still get a response.
            if len(self._errors) == self._sent:
                self._scope.cancel()
            return
        self._responses.append(response)
        self._scope.cancel()


async def _wait(
    seconds: float, wait_for_repeat: WaitForRepeat, on_overdue: Callable[[], None]
) -> None:
    """Waits until a read has to be repeated, and tells if that is since it is overdue."""
    with trio.move_on_after(seconds):
        await wait_for_repeat()
        return
    on_overdue()
