"""Records responses that were larger than any may be, and spares the endpoints that sent them."""

import trio

from ..observability.logs import get_logger
from .live_endpoint import LiveEndpoint
from .outcomes import Oversized
from .state import EntryState

_log = get_logger(__name__)


def record_oversized(state: EntryState, live: LiveEndpoint, shape: str, size: int) -> Oversized:
    """Records that an endpoint sent more than a response may have, without completing one.

    After some of them it gets no requests for a time, and few at first when that is over.

    Args:
        state: State of the instance.
        live: The endpoint.
        shape: What it sent.
        size: Bytes that were received or stated, about.

    Returns:
        The outcome of the attempt.
    """
    now = trio.current_time()
    _log.warning('response_too_large', endpoint=live.endpoint.identifier, shape=shape, bytes=size)
    if live.record.record_oversized(now):
        seconds = live.record.refuses_until - now
        _log.warning(
            'endpoint_floods', endpoint=live.endpoint.identifier, seconds=round(seconds, 1)
        )
        state.candidates.warmups.record_possible(live, after_seconds=seconds)
        state.candidates.drop_cache()
    return Oversized(shape, size)
