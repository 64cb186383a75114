"""Keeps the background tasks of an entry instance running when one of them fails."""

import traceback
from collections.abc import Awaitable, Callable

import trio

from ..observability.logs import get_logger

_log = get_logger(__name__)
_FIRST_RESTART_DELAY_SECONDS = 0.05
_MAXIMUM_RESTART_DELAY_SECONDS = 1.0
#: A task that has run for this long before it fails is restarted after the first delay again.
_STABLE_SECONDS = 5.0


async def supervise(task: Callable[[], Awaitable[None]], name: str) -> None:
    """Runs a task that must go on, and restarts it after a pause whenever it fails.

    An error in a background task would otherwise end the process, with all requests that it has.

    Args:
        task: The task; it must be able to start again after an error at any of its steps.
        name: Name of the task in the log.
    """
    delay = _FIRST_RESTART_DELAY_SECONDS
    while True:
        started = trio.current_time()
        try:
            await task()
        except Exception as error:
            lines = traceback.format_exception(error)
            _log.error('task_failed', task=name, reason=repr(error), error=''.join(lines))
        else:
            return
        if trio.current_time() - started > _STABLE_SECONDS:
            delay = _FIRST_RESTART_DELAY_SECONDS
        await trio.sleep(delay)
        delay = min(delay * 2, _MAXIMUM_RESTART_DELAY_SECONDS)
