"""Simulated callers, which send prompts, retry refused ones and record the responses."""

import random
from collections.abc import Iterable, Sequence

import attrs
import trio

from ..entry.exchange import RequestHandler
from ..http.messages import Request, find_header
from ..http.response_writer import ResponsePhase, ResponseWriter
from ..platform.call_headers import RequestMetadata
from .fleet import HOST, account_name
from .load import Prompt
from .plan import LoadTerms

_OK = 200


@attrs.define(kw_only=True)
class CallerResult:
    """Responses to one prompt, over all attempts of its caller.

    Attributes:
        prompt: The prompt.
        first_event_seconds: Time from the first attempt to the first event; infinite if there
            was no event.
        longest_pause: Longest time between two events, in seconds.
        is_whole: Whether the response was complete.
        refusals: Number of attempts that were refused.
    """

    prompt: Prompt
    first_event_seconds: float = float('inf')
    longest_pause: float = 0.0
    is_whole: bool = False
    refusals: int = 0

    def is_on_time(self, terms: LoadTerms) -> bool:
        """Tells whether the response is complete and met its load's target and pause limit."""
        if not self.is_whole or self.first_event_seconds > terms.target_seconds:
            return False
        return self.longest_pause <= terms.pause_seconds


class _ResultWriter(ResponseWriter):
    """Records a response instead of sending it."""

    def __init__(self, result: CallerResult, sent_at: float) -> None:
        """Starts without a response.

        Does not call the base class, whose socket has no counterpart here.

        Args:
            result: Result to record the response in.
            sent_at: Time of the caller's first attempt.
        """
        self.must_close = False
        self.status = 0
        self.retry_after = 0.0
        self._result = result
        self._sent_at = sent_at
        self._last_event_at = 0.0
        self._phase = ResponsePhase.pending

    def has_caller_disconnected(self) -> bool:
        """Returns False: a caller whose deadline passes cancels the request instead."""
        return False

    async def answer(
        self, status: int, fields: Iterable[tuple[bytes, bytes]], content: bytes
    ) -> None:
        """Records a response that is not streamed, which is a refusal or another error."""
        self._phase = ResponsePhase.complete
        self.status = status
        self.retry_after = float(find_header(fields, b'retry-after') or 0)

    async def start(
        self, status: int, fields: Iterable[tuple[bytes, bytes]], first_chunk: bytes
    ) -> None:
        """Records the first event of a streamed response."""
        self._phase = ResponsePhase.body
        self.status = status
        self._last_event_at = trio.current_time()
        self._result.first_event_seconds = self._last_event_at - self._sent_at

    async def send_chunk(self, content: bytes) -> None:
        """Records a further event."""
        now = trio.current_time()
        self._result.longest_pause = max(self._result.longest_pause, now - self._last_event_at)
        self._last_event_at = now

    async def end(self) -> None:
        """Records that the response is complete."""
        self._phase = ResponsePhase.complete
        self._result.is_whole = True


async def send_prompt(
    prompt: Prompt,
    terms: LoadTerms,
    instances: Sequence[RequestHandler],
    rng: random.Random,
) -> CallerResult:
    """Sends a prompt, and retries it while it is refused and its deadline has not passed.

    Args:
        prompt: The prompt.
        terms: Terms of the load that the prompt belongs to.
        instances: Instances of the fleet. The first attempt goes to the instance that the caller
            is assigned to, each retry to a random one.
        rng: Source of the choice of instances.

    Returns:
        What the caller received.
    """
    result = CallerResult(prompt=prompt)
    sent_at = trio.current_time()
    instance = instances[prompt.caller % len(instances)]
    with trio.move_on_after(terms.deadline_seconds) as deadline_scope:
        for _ in range(terms.retries + 1):
            writer = _ResultWriter(result, sent_at)
            remaining_seconds = deadline_scope.deadline - trio.current_time()
            await instance.handle_decoded(
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
