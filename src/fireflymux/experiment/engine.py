"""A model of an engine in simulated time: batches, prompts read in chunks, kept prompt parts."""

from collections import deque
from collections.abc import Sequence

import attrs
import trio

from ..decisions.prompts import PrefixCache, PromptPart
from .plan import EngineModel


@attrs.define(eq=False, kw_only=True)
class EngineRun:
    """One request on an engine.

    Attributes:
        unread_tokens: Prompt tokens that are still to be read.
        output_tokens: Length of the answer.
        made_tokens: Tokens made so far.
        events: Events made so far.
        is_over: Whether the answer is whole.
    """

    unread_tokens: int
    output_tokens: int
    generated_tokens: int = 0
    events: int = 0
    is_finished: bool = False
    _progress: trio.Event = attrs.field(factory=trio.Event)

    async def wait_event(self, seen: int) -> None:
        """Waits until more events than `seen` were made, or the answer is whole."""
        while self.events <= seen and not self.is_finished:
            await self._progress.wait()

    def generate_token(self, event_tokens: int) -> None:
        """Makes one token; an event is ready when it is full or the answer ends."""
        self.generated_tokens += 1
        self.is_finished = self.generated_tokens >= self.output_tokens
        if self.is_finished or self.generated_tokens % event_tokens == 0:
            self.events += 1
            self._progress.set()
            self._progress = trio.Event()


class SimulatedEngine:
    """One engine.

    Attributes:
        read_tokens: Prompt tokens read so far.
        reread_tokens: Those of them that it had read and no longer kept, or that another
            engine keeps.
        busy_seconds: Time in which it had work.
    """

    def __init__(self, model: EngineModel, slow_factor: float) -> None:
        """Starts idle.

        Args:
            model: What all engines share.
            slowness: How many times longer its steps take.
        """
        self.read_tokens = 0
        self.reread_tokens = 0
        self.busy_seconds = 0.0
        self._model = model
        self._slow_factor = slow_factor
        self._cache = PrefixCache(model.cache_tokens)
        self._waiting: deque[EngineRun] = deque()
        self._running: list[EngineRun] = []
        self._work_available = trio.Event()

    def begin(self, parts: Sequence[PromptPart], tokens: int, output_tokens: int) -> EngineRun:
        """Queues a request.

        Args:
            parts: Parts of its prompt in order.
            tokens: Length of its prompt.
            output_tokens: Length of its answer.

        Returns:
            The run.
        """
        cached = self._cache.count_cached(parts)
        self._cache.record(parts)
        shared = sum(part.tokens for part in parts[:-1])
        self.reread_tokens += max(shared - cached, 0)
        run = EngineRun(unread_tokens=max(tokens - cached, 1), output_tokens=max(output_tokens, 1))
        self.read_tokens += run.unread_tokens
        self._waiting.append(run)
        self._work_available.set()
        return run

    def cancel(self, run: EngineRun) -> None:
        """Drops a run whose caller has left."""
        run.is_finished = True
        if run in self._waiting:
            self._waiting.remove(run)

    async def work(self) -> None:
        """Works step by step until cancelled."""
        while True:
            self._admit()
            if not self._running:
                self._work_available = trio.Event()
                await self._work_available.wait()
                continue
            await self._step()

    def _admit(self) -> None:
        self._running = [run for run in self._running if not run.is_finished]
        while self._waiting and len(self._running) < self._model.slots:
            self._running.append(self._waiting.popleft())

    async def _step(self) -> None:
        model = self._model
        chunk_left = model.chunk_tokens
        generating = []
        for run in self._running:
            taken_tokens = min(run.unread_tokens, chunk_left)
            run.unread_tokens -= taken_tokens
            chunk_left -= taken_tokens
            if not run.unread_tokens:
                generating.append(run)
        step_tokens = model.chunk_tokens - chunk_left
        seconds = model.step_seconds + model.request_seconds * len(self._running)
        seconds = self._slow_factor * (seconds + step_tokens / model.prompt_tokens_per_second)
        self.busy_seconds += seconds
        await trio.sleep(seconds)
        for run in generating:
            if not run.is_finished:
                run.generate_token(model.event_tokens)
