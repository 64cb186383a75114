"""Runs the attempts of a call on the endpoints that it is placed on."""

from typing import TypeGuard

import trio

from ..decisions.waiting import WaitingRequest
from ..observability.logs import get_logger
from .attempt import run_attempt
from .calls import Call
from .detached_tasks import DetachedTasks
from .entry_metrics import EntryMetrics, TokenState
from .live_endpoint import LiveEndpoint
from .outcomes import Abandoned, NotSent, Outcome, Rejected, Relayed, Whole
from .placement_log import log_placed
from .quarantine import record_crash
from .running_attempt import Attempt
from .service_queue import refund_placement, release_placement
from .state import EntryState

_log = get_logger(__name__)


def is_success(outcome: Outcome) -> TypeGuard[Whole]:
    """Tells whether an attempt ended with a complete response that is no server error."""
    return isinstance(outcome, Whole) and not outcome.is_failure


async def run_placed_attempt(
    state: EntryState,
    metrics: EntryMetrics,
    call: Call,
    waiting: WaitingRequest,
    *,
    ends_at: float,
    detached_tasks: DetachedTasks,
) -> Outcome:
    """Runs an attempt of a call on the endpoint that it is placed on, and records how it ends.

    Args:
        state: State of the instance.
        metrics: Metrics of the instance.
        call: The call.
        waiting: The call as it was placed.
        ends_at: Time at which the instance ends all calls, in seconds.
        detached_tasks: Runs the check that follows a broken attempt.

    Returns:
        How it ended.
    """
    placement = waiting.placement
    if placement is None:
        return NotSent('no endpoint')
    live = state.find_endpoint(placement.number)
    call.tried_endpoints.add(placement.number)
    if live is None:
        release_placement(state, waiting)
        return NotSent('the endpoint is gone')
    log_placed(state, call, waiting, live)
    metrics.count_tokens(call.account, TokenState.given, waiting.cost_tokens)
    attempt = Attempt(
        request=call.request,
        metadata=call.metadata,
        account=call.account,
        live=live,
        placement=placement,
        deadline=min(call.deadline, ends_at),
        relay=call.relay,
        metrics=metrics,
        has_caller_disconnected=call.has_caller_disconnected,
        history=call.history,
        stall_seconds=call.route.stall_seconds,
    )
    started = trio.current_time()
    outcome = await run_attempt(state, attempt)
    _log_unless_successful(call, live, outcome)
    record_crash(state, call, outcome, live, started=started, detached_tasks=detached_tasks)
    metrics.attempts.inc({'pool': call.service, 'result': type(outcome).__name__})
    if isinstance(outcome, NotSent | Rejected | Abandoned):
        _refund(state, metrics, call, waiting)
    return outcome


def _refund(state: EntryState, metrics: EntryMetrics, call: Call, waiting: WaitingRequest) -> None:
    """Takes the cost of an attempt that did not run off the account's usage."""
    refund_placement(state, waiting)
    metrics.count_tokens(call.account, TokenState.unused, waiting.cost_tokens)


def _log_unless_successful(call: Call, live: LiveEndpoint, outcome: Outcome) -> None:
    if isinstance(outcome, Relayed) or is_success(outcome):
        return
    _log.info(
        'attempt_ended',
        request=call.metadata.attempt.decode('latin-1'),
        account=call.account,
        endpoint=live.endpoint.identifier,
        result=type(outcome).__name__,
        detail=str(outcome),
        begun=call.has_begun,
    )
