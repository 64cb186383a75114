"""Runs one attempt of a request: sends it to an endpoint and reads or relays the response.

An engine first processes the whole prompt (prefill), then streams the events of the response. The
attempt takes the prompt off the endpoint's load when the first bytes of a stream arrive, and the
request itself when the attempt ends. The first bytes count as the first event, although they can
be a comment or a part of an event. For a response that is not a stream, both end with the attempt.
"""

from collections.abc import Callable

import attrs
import trio

from ..decisions.engine_choice import Placement
from ..decisions.retry import AttemptHistory
from ..http.client_connection import ConnectFailed, ConnectionBroken
from ..http.connection_pool import UpstreamConnection
from ..http.messages import HeaderFields, Request, ResponseHead
from ..http.response_parser import IncomingResponse
from ..platform.call_headers import (
    RequestMetadata,
    ResponseMetadata,
    build_request_headers,
    filter_response_headers,
)
from .endpoint_wishes import apply_response_signals
from .entry_metrics import EntryMetrics
from .event_relay import EventRelay, EventTooLarge, StreamNotResumed
from .live_endpoint import LiveEndpoint
from .matching_response import MAXIMUM_RESPONSE_BYTES, read_matching_response
from .outcomes import (
    Abandoned,
    Broken,
    NotResumed,
    NotSent,
    Outcome,
    Rejected,
    Relayed,
    Whole,
)
from .state import EntryState

#: Largest body without a stated length, which might never end.
_MAXIMUM_UNSIZED_RESPONSE_BYTES = 1048576
_FIRST_SUCCESS_STATUS = 200
_FIRST_REDIRECT_STATUS = 300
#: Status by which another endpoint at the same address rejects a request. Whether that response
#: states a shutdown or a backoff does not concern the endpoint that the request was meant for.
_MISDIRECTED_STATUS = 421


@attrs.define(eq=False, kw_only=True)
class Attempt:
    """One attempt of a request on one endpoint.

    Attributes:
        request: The caller's request.
        metadata: What its header fields say; `metadata.attempt` is the identifier that the caller
            gave its own attempt, which may comprise several of these.
        account: Client account; empty for requests without a key.
        live: The endpoint.
        placement: Load that the request counts for on the endpoint.
        deadline: Time at which the caller's deadline or the route's timeout ends, in seconds.
        relay: Forwards the events of the response; None if the route does not stream.
        metrics: Metrics of the instance.
        has_caller_disconnected: Tells whether the caller closed its connection.
        history: Attempts of the request, in which its sends are recorded.
        stall_seconds: Time without an event after which a stream is given up.
        is_prefilling: Whether the prompt counts for the endpoint's load: no bytes of a stream have
            arrived yet, and the attempt has not ended.
        sent_at: Time at which the request was sent, in seconds.
        stall_scope: Cancels the attempt when the stream stalls.
    """

    request: Request
    metadata: RequestMetadata
    account: str
    live: LiveEndpoint
    placement: Placement
    deadline: float
    relay: EventRelay | None
    metrics: EntryMetrics
    has_caller_disconnected: Callable[[], bool]
    history: AttemptHistory
    stall_seconds: float = float('inf')
    is_prefilling: bool = True
    sent_at: float = 0.0
    stall_scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)


async def run_attempt(state: EntryState, attempt: Attempt) -> Outcome:
    """Runs an attempt, and records its result and the end of its load on the endpoint.

    Args:
        state: State of the instance.
        attempt: The attempt; its load was counted on the endpoint when it was placed.

    Returns:
        How it ended.
    """
    live = attempt.live
    try:
        outcome = await _connect_and_exchange(state, attempt)
    finally:
        _end_prefill(state, attempt)
        state.loads.end(live.number)
        state.notify()
    if isinstance(outcome, Abandoned):
        return outcome
    if isinstance(outcome, NotSent):
        if not outcome.is_local:
            state.record_connect_failure(live)
        return outcome
    failed = isinstance(outcome, Broken | NotResumed | Rejected)
    state.record_result(live, failed=failed or (isinstance(outcome, Whole) and outcome.is_failure))
    return outcome


async def _connect_and_exchange(state: EntryState, attempt: Attempt) -> Outcome:
    """Sends the request and handles the response; reuses the connection only if both succeed."""
    live = attempt.live
    try:
        connection = await live.pool.take(attempt.metadata.attempt)
    except ConnectFailed as error:
        return NotSent(str(error), is_local=error.is_local)
    if attempt.has_caller_disconnected():
        live.pool.release_connection(connection, None)
        return Abandoned()
    now = trio.current_time()
    if not (live.accepts_work(now) and state.candidates.warmups.may_send(live, now)):
        # After being listed as a candidate, the endpoint was seen leaving, evacuated or warming up,
        # or requested a backoff.
        live.pool.release_connection(connection, None)
        return NotSent('the endpoint takes no work any more', is_local=True)
    idle_seconds = None
    is_complete = False
    try:
        with attempt.stall_scope:
            await _send(state, attempt, connection)
            response, metadata = await read_matching_response(connection, attempt.metadata.attempt)
            if response.head.status != _MISDIRECTED_STATUS:
                apply_response_signals(state, live, metadata)
            outcome = await _read_response_body(state, attempt, connection, response, metadata)
            connection.drop(response)
            idle_seconds = metadata.idle_seconds
            is_complete = True
    except (ConnectionBroken, EventTooLarge) as error:
        return Broken(str(error))
    except StreamNotResumed as error:
        return NotResumed(str(error))
    finally:
        if not is_complete:
            connection.close()
    if not is_complete:
        return Broken('no event for {0:.1f} s'.format(attempt.stall_seconds))
    live.pool.release_connection(connection, idle_seconds)
    return outcome


async def _send(state: EntryState, attempt: Attempt, connection: UpstreamConnection) -> None:
    request = attempt.request
    # -1 adds no Last-Event-Id; one that the caller sent is then forwarded as it is.
    resume_after = -1 if attempt.relay is None else attempt.relay.last_event_id
    fields = build_request_headers(
        request,
        endpoint=attempt.live.endpoint.identifier,
        account=attempt.account,
        remaining_seconds=attempt.deadline - trio.current_time(),
        resume_after=resume_after,
        fetch_address=_find_fetch_address(state, attempt.placement),
    )
    start_line = b'%b %b HTTP/1.1' % (request.method, request.target)
    attempt.sent_at = trio.current_time()
    attempt.live.pacer.record_sent(attempt.sent_at)
    if attempt.relay is not None:
        attempt.stall_scope.deadline = attempt.sent_at + attempt.stall_seconds
    attempt.history.record_send()
    await connection.send(start_line, fields, request.content)


def _find_fetch_address(state: EntryState, placement: Placement) -> str:
    """Returns the address of the engine to fetch cached parts from; empty if it is gone."""
    source = None if placement.source is None else state.find_endpoint(placement.source)
    if source is None or not source.is_available(trio.current_time()):
        return ''
    return '{0}:{1}'.format(source.endpoint.host, source.endpoint.port)


async def _read_response_body(
    state: EntryState,
    attempt: Attempt,
    connection: UpstreamConnection,
    response: IncomingResponse,
    metadata: ResponseMetadata,
) -> Outcome:
    """Reads a response to its end, or relays it if the route streams and the status is a success.

    A success must be signed, and encoded only if the caller accepts that. An error to a request that
    resumes a stream is not forwarded, as the caller has the head of a success already. A response
    that is not relayed and states that the request was not executed counts as rejected, even if it
    is unsigned and no success. Any other must be signed.
    """
    head = response.head
    is_success = _FIRST_SUCCESS_STATUS <= head.status < _FIRST_REDIRECT_STATUS
    if is_success and not metadata.has_signature:
        raise ConnectionBroken('the answer is not signed')
    if is_success and metadata.is_encoded and not attempt.metadata.accepts_encodings:
        raise ConnectionBroken('the answer has an encoding that its caller does not accept')
    if is_success and attempt.relay is not None:
        return await _relay_events(state, attempt, connection, response)
    states_length = head.content_length is not None
    maximum_bytes = MAXIMUM_RESPONSE_BYTES if states_length else _MAXIMUM_UNSIZED_RESPONSE_BYTES
    content = await connection.read_full_body(response, maximum_bytes)
    if metadata.was_not_executed:
        attempt.history.record_rejection()
        return Rejected(head.status)
    if not metadata.has_signature:
        raise ConnectionBroken('the answer is not signed')
    if attempt.relay is not None and attempt.relay.is_begun:
        return NotResumed('it has status {0}'.format(head.status))
    fields = filter_response_headers(head, attempt.metadata.attempt)
    return Whole(head.status, fields, content)


async def _relay_events(
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
            _end_prefill(state, attempt)
        await _forward_part(attempt, relay, part, head.status, fields)
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


def _end_prefill(state: EntryState, attempt: Attempt) -> None:
    """Takes the prompt off the endpoint's load, if it still counts there."""
    if not attempt.is_prefilling:
        return
    attempt.is_prefilling = False
    state.loads.end_prefill(attempt.live.number, attempt.placement.tokens)
    state.notify()
