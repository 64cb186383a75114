"""Builds the failures that callers are told, from what is known of their calls.

A call that may have run is never reported as not run.
"""

from ..errors import CallFailure, ErrorKind
from .calls import Call
from .outcomes import Outcome, Oversized, Rejected


def build_end_failure(call: Call, *, is_stopping: bool) -> CallFailure:
    """Builds the failure of a call that has to end.

    Args:
        call: The call.
        is_stopping: Whether the instance ends it as it shuts down; its time is over otherwise.
    """
    detail = 'the instance shuts down' if is_stopping else 'the time of the request is over'
    if call.may_have_run:
        return CallFailure(ErrorKind.outcome_unknown, detail)
    return CallFailure(ErrorKind.shutting_down if is_stopping else ErrorKind.queue_timeout, detail)


def build_placing_failure(call: Call) -> CallFailure:
    """Builds the failure of a call that no endpoint had room for in time."""
    if call.may_have_run:
        return CallFailure(ErrorKind.endpoint_crashed, 'no other endpoint took it in time')
    return CallFailure(ErrorKind.queue_timeout, 'no endpoint could take it in time')


def build_attempt_failure(call: Call, outcome: Outcome) -> CallFailure:
    """Builds the failure of a call after an attempt that is not followed by another."""
    detail = str(outcome)
    if isinstance(outcome, Oversized):
        return CallFailure(ErrorKind.response_too_large, detail)
    if call.may_have_run:
        return CallFailure(ErrorKind.endpoint_crashed, detail)
    if isinstance(outcome, Rejected):
        return CallFailure(ErrorKind.sidecar_busy, detail)
    return CallFailure(ErrorKind.endpoint_unreachable, detail)


def build_unavailable_failure(
    call: Call, kind: ErrorKind, detail: str, *, retry_after_seconds: float | None = None
) -> CallFailure:
    """Builds the failure of a call that no endpoint may get for now.

    Args:
        call: The call.
        kind: Why no endpoint may get it; used if it has not run.
        detail: Description of the cause in one line.
        retry_after_seconds: Delay before a retry; None to use that of the kind.
    """
    if call.may_have_run:
        return CallFailure(ErrorKind.endpoint_crashed, detail)
    return CallFailure(kind, detail, retry_after_seconds=retry_after_seconds)
