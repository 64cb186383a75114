"""Keeps requests that crash endpoints from being sent, by what all instances have seen.

A broken connection alone is no crash: a response can be cut, a link can fail. An endpoint has ended
if it accepts no new connection right after, or if its list entry is replaced by that of another
incarnation shortly after.
"""

from functools import partial

import trio

from ..decisions.crash_counts import CrashCount
from ..decisions.endpoint_ends import BrokenAttempt
from ..errors import CallFailure, ErrorKind, ExecutionStatus
from ..http.client_connection import ClientConnection, ConnectFailed
from .calls import Call
from .detached_tasks import DetachedTasks
from .endpoint_crashes import record_endpoint_crash
from .live_endpoint import LiveEndpoint
from .outcomes import Broken, Outcome, Relayed, Whole
from .state import EntryState

#: Time in which an endpoint that runs accepts a connection.
_PROBE_SECONDS = 0.15


def find_quarantine(state: EntryState, call: Call) -> CallFailure | None:
    """Finds out whether a request must not be sent, since such requests crash endpoints.

    Args:
        state: State of the instance.
        call: The call.

    Returns:
        The failure to report, which is true about what the call itself has run; None if it may be
        sent.
    """
    if state.crashes.is_empty:
        return None
    now = trio.current_time()
    if state.crashes.must_refuse(call.fingerprint(), now):
        # It was sent before, by another attempt of its caller, so that nothing is promised.
        return CallFailure(ErrorKind.endpoint_crashed, 'it broke off on several endpoints')
    cause = state.part_crashes.find_cause(call.part_fingerprints(), now)
    if cause is None:
        return None
    detail = 'part {0} of its prompt crashed endpoints {1}'.format(
        call.describe_part(cause), _describe_crashes(state, cause, now)
    )
    ran = ExecutionStatus.unknown if call.may_have_run else ExecutionStatus.no
    return CallFailure(ErrorKind.prompt_quarantined, detail, ran=ran)


def record_crash(
    state: EntryState,
    call: Call,
    outcome: Outcome,
    live: LiveEndpoint,
    *,
    started: float,
    detached_tasks: DetachedTasks,
) -> None:
    """Records how an attempt ended, for the request and for the parts of its prompt.

    If it broke off, whether the endpoint has ended is found out beside the call, whose
    `crash_check` is set once that is known.

    Args:
        state: State of the instance.
        call: The call.
        outcome: How the attempt ended.
        live: Endpoint of the attempt.
        started: Time at which the attempt began, in seconds.
        detached_tasks: Runs the check of the endpoint.
    """
    now = trio.current_time()
    if isinstance(outcome, Broken):
        state.crashes.record(call.fingerprint(), endpoint=live.number, sent_at=started, now=now)
        parts = call.part_fingerprints()
        if parts:
            attempt = BrokenAttempt(live.number, parts, started, now)
            check = partial(_record_part_crash, state, live, attempt)
            call.crash_check = detached_tasks.start(check)
        return
    if not isinstance(outcome, Whole | Relayed):
        return
    if not state.crashes.is_empty:
        state.crashes.record_response(call.fingerprint(), now)
    if isinstance(outcome, Relayed) or not outcome.is_failure:
        state.part_crashes.record_response(call.part_fingerprints(), now)


def apply_counts(state: EntryState, instance: str, counts: list[CrashCount]) -> None:
    """Applies some counts of another instance.

    Args:
        state: State of the instance.
        instance: Name of the other instance.
        counts: Its counts.
    """
    state.crashes.update(instance, counts)
    state.part_crashes.clear_completed(counts, trio.current_time())


def _describe_crashes(state: EntryState, fingerprint: int, now: float) -> str:
    endpoints = state.crashes.list_endpoints(fingerprint)
    ends = state.part_crashes.ends
    return ', '.join(ends.describe(endpoint, now) for endpoint in endpoints)


async def _record_part_crash(
    state: EntryState, live: LiveEndpoint, attempt: BrokenAttempt
) -> None:
    if await _has_ended(state, live):
        record_endpoint_crash(state.part_crashes, live, attempt)
        return
    state.part_crashes.ends.add(attempt)


async def _has_ended(state: EntryState, live: LiveEndpoint) -> bool:
    """Tells whether an endpoint accepts no connection any more."""
    if live.record.connection_backoff.is_backing_off:
        return True
    host, port = live.endpoint.address
    try:
        connection = await ClientConnection.open(host, port, timeout_seconds=_PROBE_SECONDS)
    except ConnectFailed as error:
        if error.is_local:
            return False
        state.record_connect_failure(live)
        return True
    connection.close()
    return False
