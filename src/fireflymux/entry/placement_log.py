"""Logs where each request was placed or that it was refused, with the figures that decided it."""

import math

import trio

from ..decisions.fair_shares import AccountStanding
from ..decisions.waiting import WaitingRequest
from ..observability.logs import get_logger
from .calls import Call
from .live_endpoint import LiveEndpoint
from .state import EntryState

_log = get_logger(__name__)


def log_placed(state: EntryState, call: Call, waiting: WaitingRequest, live: LiveEndpoint) -> None:
    """Logs the endpoint of a request, and what the choice was based on.

    Args:
        state: State of the instance.
        call: The request.
        waiting: Its entry in the queue, with the placement.
        live: The endpoint that it was placed on.
    """
    placement = waiting.placement
    if placement is None:
        return
    now = trio.current_time()
    _log.info(
        'request_placed',
        request=call.metadata.attempt.decode('latin-1'),
        route=call.route.name,
        account=call.account,
        endpoint=live.endpoint.identifier,
        attempt=call.history.sends + 1,
        wait=round(placement.wait_seconds, 3),
        predicted=round(placement.seconds, 3),
        tokens=placement.tokens,
        copies=placement.source is not None,
        prompt=waiting.prompt_tokens,
        cost=waiting.cost_tokens,
        over=state.shares.is_over(call.account, now),
        running=state.loads.total(live.number).running,
        waited=round(now - waiting.arrived_at, 3),
        version=state.configuration_version,
    )


def log_not_placed(state: EntryState, call: Call, waiting: WaitingRequest, *, queued: int) -> None:
    """Logs that no endpoint had room for a request in time, and what that was based on.

    Args:
        state: State of the instance.
        call: The request.
        waiting: Its entry in the queue, with the predictions of the last try.
        queued: Number of requests that wait in this instance.
    """
    standing = state.shares.standing_of(call.account, trio.current_time())
    _log.info(
        'request_not_placed',
        request=call.metadata.attempt.decode('latin-1'),
        account=call.account,
        priority=waiting.priority,
        cost=waiting.cost_tokens,
        predicted=round(waiting.least_wait_seconds, 3),
        preferred=_round_or_none(waiting.preferred_engine_wait_seconds),
        limit=round(waiting.wait_limit_seconds, 3),
        came_back=waiting.is_caller_retry,
        **_standing_fields(standing),
        waiting=queued,
        instances_heard=len(state.loads.list_reporters()),
        members_version=str(state.members_version),
    )


def _standing_fields(standing: AccountStanding) -> dict[str, object]:
    """Returns log fields for the share of an account; `level` is None if nobody is limited."""
    level = standing.level
    return {
        'asked': round(standing.asked),
        'given': round(standing.given),
        'level': None if math.isinf(level) else round(level),
        'missing': round(standing.missing),
        'over': standing.is_over,
        'short': standing.is_short,
    }


def _round_or_none(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 3)
