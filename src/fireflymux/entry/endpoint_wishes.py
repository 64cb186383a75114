"""Applies what endpoints state in their responses about taking further requests.

With `Server-Leaving`, an endpoint states that it is leaving: it is shutting down and takes no new
requests. With status 503 and `Retry-After`, it requests a backoff: it takes no requests for the
stated time. Log events, metrics and errors call such a backoff a rest. The backoff that follows a
failed connection is another one, and is not handled here. With `X-Warmup-Ms`, it states that it
warms up and bears only few requests.
"""

from collections.abc import Iterable

import trio

from ..observability.logs import get_logger
from ..platform.call_headers import ResponseMetadata
from .live_endpoint import LiveEndpoint
from .state import EntryState

_log = get_logger(__name__)


def mark_leaving(state: EntryState, numbers: Iterable[int], source: str) -> None:
    """Marks endpoints as leaving, so that they get no new requests whatever the store says.

    Args:
        state: State of the instance.
        numbers: Numbers of the endpoints; they need not be listed yet.
        source: Endpoint or instance that said so, for the log.
    """
    new = [number for number in numbers if not state.members.is_leaving(number)]
    for number in new:
        _log.info('endpoint_said_to_leave', number=number, source=source)
        state.members.mark_leaving(number, trio.current_time())
    if new:
        state.update_endpoints()


def apply_response_signals(
    state: EntryState, live: LiveEndpoint, metadata: ResponseMetadata
) -> None:
    """Applies what a response states about leaving, and a backoff that it requests.

    Args:
        state: State of the instance.
        live: The endpoint.
        metadata: Decoded head of its response.
    """
    if metadata.is_leaving:
        mark_leaving(state, [live.number], live.endpoint.identifier)
    state.candidates.warmups.record(live, metadata.warmup_seconds, is_stated=True)
    if metadata.requested_backoff_seconds:
        _log.info(
            'endpoint_rests',
            endpoint=live.endpoint.identifier,
            seconds=metadata.requested_backoff_seconds,
        )
        live.record.record_requested_backoff(
            trio.current_time() + metadata.requested_backoff_seconds
        )


def count_requested_backoffs(state: EntryState) -> int:
    """Counts the endpoints in a backoff that they have requested, not that after a failure."""
    now = trio.current_time()
    return sum(live.record.requested_backoff_until > now for live in state.list_endpoints())
