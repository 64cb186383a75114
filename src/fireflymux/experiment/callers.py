"""Callers of a play: they send a prompt, note what they get, and come back when refused."""

import random
from collections.abc import Iterable, Sequence

import attrs
import trio

from ..entry.exchange import RequestHandler
from ..http.response_writer import ResponseWriter
from ..http.messages import Request, find_header
from ..platform.call_headers import RequestMetadata
from .fleet import HOST, account_name
from .load import Prompt
from .plan import LoadTerms

_OK = 200


@attrs.define(kw_only=True)
class CallerResult:
    """What a caller got for one prompt.

    Attributes:
        prompt: The prompt.
        first_seconds: Time from the first attempt to the first event; infinite for none.
        longest_pause: Longest time between two events, in seconds.
        is_whole: Whether the answer came to its end.
        refusals: How often it was refused.
    """

    prompt: Prompt
    first_event_seconds: float = float('inf')
    longest_pause: float = 0.0
    is_whole: bool = False
    refusals: int = 0

    def is_on_time(self, terms: LoadTerms) -> bool:
        """Tells whether the answer is whole, began in time and never paused for long."""
        if not self.is_whole or self.first_event_seconds > terms.target_seconds:
            return False
        return self.longest_pause <= terms.pause_seconds


class _ResultWriter(ResponseWriter):
    """Notes an answer in place of sending it."""

    def __init__(self, result: CallerResult, sent_at: float) -> None:
        """Begins before the answer; there is no socket."""
        self.must_close = False
        self.is_broken = False
        self.status = 0
        self.retry_after = 0.0
        self._result = result
        self._sent_at = sent_at
        self._last_event_at = 0.0

    def has_caller_disconnected(self) -> bool:
        """Callers leave by being cancelled."""
        return False

    async def answer(
        self, status: int, fields: Iterable[tuple[bytes, bytes]], content: bytes
    ) -> None:
        """Notes a whole answer."""
        self.status = status
        self.retry_after = float(find_header(fields, b'retry-after') or 0)

    async def start(
        self, status: int, fields: Iterable[tuple[bytes, bytes]], first_chunk: bytes
    ) -> None:
        """Notes the first event."""
        self.status = status
        self._last_event_at = trio.current_time()
        self._result.first_event_seconds = self._last_event_at - self._sent_at

    async def send_chunk(self, content: bytes) -> None:
        """Notes a further event."""
        now = trio.current_time()
        self._result.longest_pause = max(self._result.longest_pause, now - self._last_event_at)
        self._last_event_at = now

    async def end(self) -> None:
        """Notes the end."""
        self._result.is_whole = True


async def send_prompt(
    prompt: Prompt,
    terms: LoadTerms,
    instances: Sequence[RequestHandler],
    rng: random.Random,
) -> CallerResult:
    """Sends a prompt, and again when it was refused and there is time left.

    Args:
        prompt: The prompt.
        terms: Its load.
        instances: The instances; the caller's own first, then any.
        rng: Source of the choice among them.

    Returns:
        What the caller got.
    """
    result = CallerResult(prompt=prompt)
    sent_at = trio.current_time()
    instance = instances[prompt.caller % len(instances)]
    with trio.move_on_after(terms.deadline_seconds) as deadline_scope:
        for _ in range(terms.retries + 1):
            writer = _ResultWriter(result, sent_at)
            remaining_seconds = deadline_scope.deadline - trio.current_time()
            await instance.answer(
                _build_request(prompt), _build_metadata(prompt, remaining_seconds), writer
            )
            if writer.status == _OK or not writer.retry_after:
                break
            result.refusals += 1
            await trio.sleep(writer.retry_after)
            instance = rng.choice(instances)
    return result


def _build_request(prompt: Prompt) -> Request:
    return Request(
        method=b'POST',
        target=prompt.target,
        fields=[(b'Host', HOST.encode())],
        received_at=trio.current_time(),
    )


def _build_metadata(prompt: Prompt, deadline_seconds: float) -> RequestMetadata:
    return RequestMetadata(
        attempt=prompt.attempt,
        deadline_seconds=deadline_seconds,
        key=account_name(prompt.account),
        prompt_tokens=prompt.tokens,
        output_tokens=prompt.hint_tokens,
        parts=prompt.parts,
        resume_after=-1,
    )
