"""What endpoints say of the work that they want: that they leave, or want none for a while."""

from collections.abc import Iterable

import trio

from ..observability.logs import get_logger
from ..platform.call_headers import AnswerTerms
from .state import EntryState, LiveEndpoint

_log = get_logger(__name__)


def note_leaving(state: EntryState, numbers: Iterable[int], source: str) -> None:
    """Stops giving work to endpoints that leave, whatever the store says of them.

    Args:
        state: Beliefs of the instance.
        numbers: Numbers of the endpoints; they need not be listed yet.
        source: Who said so, for the log.
    """
    new = [number for number in numbers if not state.members.is_leaving(number)]
    for number in new:
        _log.info('endpoint_said_to_leave', number=number, source=source)
        state.members.note_leaving(number, trio.current_time())
    if new:
        state.update_endpoints()


def note_wishes(state: EntryState, live: LiveEndpoint, terms: AnswerTerms) -> None:
    """Takes over what an endpoint says in an answer.

    Args:
        state: Beliefs of the instance.
        live: The endpoint.
        terms: What the head of its answer says.
    """
    if terms.is_leaving:
        note_leaving(state, [live.number], live.endpoint.identifier)
    if terms.rest_seconds:
        _log.info('endpoint_rests', endpoint=live.endpoint.identifier, seconds=terms.rest_seconds)
        live.record.rest(trio.current_time() + terms.rest_seconds)


def find_rest_end(state: EntryState, service: str) -> float | None:
    """Finds when the first endpoint of a service takes work again, if all rest now.

    Args:
        state: Beliefs of the instance.
        service: Name of the service.

    Returns:
        Time in seconds; None if one takes work, or none will.
    """
    now = trio.current_time()
    staying = [live for live in state.list_endpoints(service) if not live.endpoint.is_leaving]
    if not staying or any(live.takes_work(now) for live in staying):
        return None
    return min(live.record.rests_until for live in staying)


def count_resting(state: EntryState) -> int:
    """Counts the endpoints that asked for a time without work, which is not over."""
    now = trio.current_time()
    return sum(live.record.rests_until > now for live in state.list_endpoints())
