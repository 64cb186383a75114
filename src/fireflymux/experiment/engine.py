"""Model of an engine in simulated time: continuous batching, chunked prefill and a prefix cache.

An engine works in steps. Each step reads a chunk of the prompts and generates one token for each
running request whose prompt has been read.
"""

from collections import deque
from collections.abc import Sequence

import attrs
import trio

from ..decisions.prompts import PrefixCache, PromptPart
from .plan import EngineModel


@attrs.define(eq=False, kw_only=True)
class EngineRun:
    """One request that waits or runs on an engine.

    Attributes:
        unread_tokens: Prompt tokens that have not been read yet.
        output_tokens: Length of the response in tokens.
        generated_tokens: Tokens generated so far.
        events: Events of the response that are ready.
        is_finished: Whether the response is complete or was cancelled.
    """

    unread_tokens: int
    output_tokens: int
    generated_tokens: int = 0
    events: int = 0
    is_finished: bool = False
    _progress: trio.Event = attrs.field(factory=trio.Event)

    async def wait_for_event(self, seen: int) -> None:
        """Waits until more than `seen` events are ready, or the request is finished."""
        while self.events <= seen and not self.is_finished:
            await self._progress.wait()

    def generate_token(self, event_tokens: int) -> None:
        """Generates a token; an event is ready once it has `event_tokens` or the response ends."""
        self.generated_tokens += 1
        self.is_finished = self.generated_tokens >= self.output_tokens
        if self.is_finished or self.generated_tokens % event_tokens == 0:
            self.events += 1
            self._progress.set()
            self._progress = trio.Event()


class SimulatedEngine:
    """One engine with its queue and prefix cache.

    Attributes:
        read_tokens: Prompt tokens of all requests that were not cached and had to be read.
        reread_tokens: Tokens of shared prompt parts among them.
        busy_seconds: Time in which it had requests to run.
    """

    def __init__(self, model: EngineModel, slow_factor: float) -> None:
        """Creates an idle engine.

        Args:
            model: Parameters that all engines share.
            slow_factor: Factor on the duration of its steps.
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
        """Queues a request, and puts its prompt into the cache.

        Args:
            parts: Parts of the prompt in order; all but the last are shared.
            tokens: Length of the prompt in tokens.
            output_tokens: Length of the response in tokens.

        Returns:
            The queued request.
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

    async def fetch(self, parts: Sequence[PromptPart], source: 'SimulatedEngine') -> None:
        """Copies the leading parts of a prompt that another engine has cached and this one has not.

        Args:
            parts: Parts of the prompt in order.
            source: The other engine.
        """
        tokens = source.count_cached(parts)
        missing = tokens - self._cache.count_cached(parts)
        if missing <= 0:
            return
        await trio.sleep(self._model.transfer.estimate_seconds(missing))
        copied = []
        for part in parts:
            if tokens < part.tokens:
                break
            tokens -= part.tokens
            copied.append(part)
        self._cache.record(copied)

    def count_cached(self, parts: Sequence[PromptPart]) -> int:
        """Counts the leading tokens of a prompt that are cached."""
        return self._cache.count_cached(parts)

    def cancel(self, run: EngineRun) -> None:
        """Cancels a request; if it is running, its slot is free after the current step."""
        run.is_finished = True
        if run in self._waiting:
            self._waiting.remove(run)

    async def work(self) -> None:
        """Runs requests until cancelled."""
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
