"""Relays the stream that answers an attempt, and learns from its times."""

import trio

from ..http.connection_pool import UpstreamConnection
from ..http.messages import HeaderFields, ResponseHead
from ..http.response_parser import IncomingResponse
from ..http.response_reader import ConnectionBroken
from ..platform.call_headers import filter_response_headers
from .event_relay import EventRelay
from .outcomes import Outcome, Relayed
from .running_attempt import Attempt, end_prefill
from .state import EntryState


async def relay_events(
    state: EntryState,
    attempt: Attempt,
    connection: UpstreamConnection,
    response: IncomingResponse,
) -> Outcome:
    """Relays a stream to its end, and observes its first bytes and how long it took a slot."""
    relay = attempt.relay
    # Cannot be None: the only caller has checked it.
    if relay is None:
        raise ConnectionBroken('the answer is not a stream')
    started_at = trio.current_time()
    head: ResponseHead = response.head
    fields = filter_response_headers(head, attempt.metadata.attempt)
    relay.begin_attempt(head.status, fields)
    while True:
        part = await connection.next_body_part(response)
        if not part:
            break
        if attempt.is_prefilling:
            _observe_first_event(attempt)
            end_prefill(state, attempt)
        connection.keep(relay.partial_bytes + len(part))
        await _forward_part(attempt, relay, part, head.status, fields)
        connection.keep(relay.partial_bytes)
    if response.ends_at_close and not relay.is_between_events:
        raise ConnectionBroken('the stream ended within an event')
    prefill_seconds = attempt.placement.tokens / attempt.live.first_event_model.tokens_per_second
    slot_time_model = state.slot_time_models[attempt.live.endpoint.service]
    slot_time_model.observe(trio.current_time() - started_at + prefill_seconds)
    # The endpoint has done its part; only the caller may delay the end now.
    attempt.stall_scope.deadline = float('inf')
    await relay.end(head.status, fields)
    return Relayed()


async def _forward_part(
    attempt: Attempt, relay: EventRelay, part: bytes, status: int, fields: HeaderFields
) -> None:
    """Forwards a part of a stream to the caller and updates the deadline for the next event.

    The deadline is suspended while the caller reads, and is extended only if the part held an
    event: comments that keep the connection open are no progress.
    """
    scope = attempt.stall_scope
    stall_deadline = scope.deadline
    writes_before = relay.event_writes
    scope.deadline = float('inf')
    await relay.forward(part, status, fields)
    is_progress = relay.event_writes > writes_before
    scope.deadline = trio.current_time() + attempt.stall_seconds if is_progress else stall_deadline


def _observe_first_event(attempt: Attempt) -> None:
    """Observes the time to the first event, as a metric and to learn the engine's speed.

    It ends at the first bytes of the stream, which can be a comment or a part of an event.
    """
    placement = attempt.placement
    model = attempt.live.first_event_model
    seconds = trio.current_time() - attempt.sent_at
    attempt.metrics.first_event.observe({'service': attempt.live.endpoint.service}, seconds)
    if placement.is_queued:
        # The time includes a wait for a slot, which says nothing about the prefill speed.
        return
    # The prompt's own tokens, and those that were predicted to be processed before it.
    tokens = placement.tokens + placement.wait_seconds * model.tokens_per_second
    model.observe(tokens, seconds)
