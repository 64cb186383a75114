"""Runs one attempt of a request: sends it to an endpoint and reads or relays the response.

An engine first processes the whole prompt (prefill), then streams the events of the response. The
attempt takes the prompt off the endpoint's load when the first bytes of a stream arrive, and the
request itself when the attempt ends. The first bytes count as the first event, although they can
be a comment or a part of an event. For a response that is not a stream, both end with the attempt.
"""

import trio

from ..decisions.engine_choice import Placement
from ..http.client_connection import ConnectFailed
from ..http.connection_pool import UpstreamConnection
from ..http.response_parser import IncomingResponse
from ..http.response_reader import ConnectionBroken, ResponseTooLarge
from ..platform.call_headers import (
    ResponseMetadata,
    build_request_headers,
    filter_response_headers,
)
from .attempt_relay import relay_events
from .endpoint_wishes import apply_response_signals
from .event_relay import StreamNotResumed
from .matching_response import MAXIMUM_RESPONSE_BYTES, read_matching_response
from .outcomes import (
    Abandoned,
    Broken,
    NotResumed,
    NotSent,
    Outcome,
    Oversized,
    Rejected,
    Whole,
)
from .oversized_responses import record_oversized
from .running_attempt import Attempt, end_prefill
from .state import EntryState

#: Largest body without a stated length, which might never end.
_MAXIMUM_UNSIZED_RESPONSE_BYTES = 1048576
#: Shape of a response that was given up to make room, as the log calls it.
_LARGEST_SHAPE = 'the most of all that is held'
_FIRST_SUCCESS_STATUS = 200
_FIRST_REDIRECT_STATUS = 300
#: Status by which another endpoint at the same address rejects a request. Whether that response
#: states a shutdown or a backoff does not concern the endpoint that the request was meant for.
_MISDIRECTED_STATUS = 421


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
        end_prefill(state, attempt)
        state.loads.end(live.number)
        state.notify()
    if isinstance(outcome, Abandoned):
        return outcome
    if isinstance(outcome, NotSent):
        if not outcome.is_local:
            state.record_connect_failure(live)
        return outcome
    failed = isinstance(outcome, Broken | Oversized | NotResumed | Rejected)
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
    return await _exchange(state, attempt, connection)


async def _exchange(
    state: EntryState, attempt: Attempt, connection: UpstreamConnection
) -> Outcome:
    """Sends the request and handles the response, and keeps or closes the connection."""
    outcome: Outcome | None = None
    idle_seconds = None
    held = connection.hold(attempt.stall_scope.cancel)
    try:
        with attempt.stall_scope:
            outcome, idle_seconds = await _send_and_read(state, attempt, connection)
    except ResponseTooLarge as error:
        return record_oversized(state, attempt.live, error.shape, error.size)
    except ConnectionBroken as error:
        return Broken(str(error))
    except StreamNotResumed as error:
        return NotResumed(str(error))
    finally:
        held.close()
        if outcome is None:
            connection.close()
    if outcome is not None:
        attempt.live.pool.release_connection(connection, idle_seconds)
        return outcome
    if held.is_given_up:
        return record_oversized(state, attempt.live, _LARGEST_SHAPE, held.largest_size)
    return Broken('no event for {0:.1f} s'.format(attempt.stall_seconds))


async def _send_and_read(
    state: EntryState, attempt: Attempt, connection: UpstreamConnection
) -> tuple[Outcome, float | None]:
    """Sends the request and handles the response.

    Returns:
        How the attempt ended, and the idle timeout of the connection in seconds, if it is stated.
    """
    await _send(state, attempt, connection)
    response, metadata = await read_matching_response(connection, attempt.metadata.attempt)
    if response.head.status != _MISDIRECTED_STATUS:
        apply_response_signals(state, attempt.live, metadata)
    outcome = await _read_response_body(state, attempt, connection, response, metadata)
    connection.drop(response)
    return outcome, metadata.idle_seconds


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
        return await relay_events(state, attempt, connection, response)
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
