"""Finds requests that no endpoint may get for now, which are refused without waiting."""

import trio

from ..errors import CallFailure, ErrorKind
from .call_failures import build_unavailable_failure
from .calls import Call
from .state import EntryState


def find_unavailability(state: EntryState, call: Call, *, until: float) -> CallFailure | None:
    """Finds out whether no endpoint may get a request as long as it can wait.

    Endpoints that are leaving are left out. Those that cannot be reached do not count as
    unavailable, since they may be reached again at any moment.

    Args:
        state: State of the instance.
        call: The request.
        until: Time until which it can wait, in seconds.

    Returns:
        The reason to refuse it; None if an endpoint may get it, or if none is known.
    """
    now = trio.current_time()
    listed = state.list_endpoints(call.service)
    allowed = state.candidates.list_allowed(call.service, call.regions)
    if any(live.accepts_work(now) for live in allowed):
        return None
    if listed and not allowed:
        return build_unavailable_failure(
            call, ErrorKind.region_unavailable, 'no endpoint is in a region that it may go to'
        )
    staying = [live for live in allowed if not live.endpoint.is_leaving]
    remaining = [live for live in staying if not live.is_evacuated]
    if staying and not remaining:
        return build_unavailable_failure(
            call,
            ErrorKind.endpoints_evacuated,
            'the failure domain of every endpoint is evacuated',
        )
    backoff_end = min((live.record.refuses_until for live in remaining), default=float('-inf'))
    if backoff_end <= until:
        return None
    return build_unavailable_failure(
        call,
        ErrorKind.endpoints_resting,
        'every endpoint asked for a rest',
        retry_after_seconds=backoff_end - now,
    )
