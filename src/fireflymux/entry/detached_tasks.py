"""Runs tasks that requests start and that outlive them.

What a request starts for the good of others must neither delay its answer nor end with it.
"""

import math
from collections.abc import Awaitable, Callable

import trio

from ..observability.logs import get_logger

_log = get_logger(__name__)

#: A task of its own, which is started once.
DetachedTask = Callable[[], Awaitable[None]]


class DetachedTasks:
    """Tasks that run beside the requests of one instance; a task that fails is logged."""

    def __init__(self) -> None:
        """Prepares to take tasks, which wait until `run` is called."""
        channel = trio.open_memory_channel[tuple[DetachedTask, trio.Event]](math.inf)
        self._sender = channel[0]
        self._receiver = channel[1]

    def start(self, task: DetachedTask) -> trio.Event:
        """Starts a task.

        Args:
            task: The task.

        Returns:
            An event that is set when the task has ended, however it ends.
        """
        done = trio.Event()
        self._sender.send_nowait((task, done))
        return done

    async def run(self) -> None:
        """Runs the tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            async for task, done in self._receiver:
                nursery.start_soon(_run_task, task, done)


async def _run_task(task: DetachedTask, done: trio.Event) -> None:
    try:
        await task()
    except Exception:
        _log.exception('detached_task_failed')
    finally:
        done.set()
