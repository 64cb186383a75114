"""Applies the reports of other entry instances to the state."""

from .._messages_generated import PeerReport
from ..decisions.loads import EndpointLoad
from ..decisions.prompts import PromptPart
from .crash_notices import decode_counts
from .endpoint_wishes import mark_leaving
from .state import EntryState

#: Numbers for each endpoint in the loads of a report: its number, pending tokens, running requests.
_LOAD_FIELDS = 3


def apply_newest_report(state: EntryState, report: PeerReport, now: float) -> None:
    """Applies the newest report of another instance.

    Args:
        state: State of this instance.
        report: The report.
        now: Time in seconds.
    """
    loads = _decode_loads(report.loads)
    state.loads.merge(report.instance, loads, now, is_whole=report.is_whole)
    _apply_full_report(state, report, now)
    apply_events(state, report, now)


def apply_events(state: EntryState, report: PeerReport, now: float) -> None:
    """Applies the placed prompts and refused requests of a report, which may be late.

    Args:
        state: State of this instance.
        report: The report.
        now: Time in seconds.
    """
    for placement in report.placements:
        _apply_placement(state, *placement)
    state.refused_requests.merge(report.refusals, now)


def _apply_placement(state: EntryState, number: int, *parts: int) -> None:
    """Records a prompt that another instance has placed in the endpoint's cache model.

    Args:
        state: State of this instance.
        number: Number of the endpoint.
        parts: Identifier and tokens of each prompt part, in turn.
    """
    live = state.find_endpoint(number)
    if live is None:
        return
    pairs = zip(parts[::2], parts[1::2], strict=True)
    live.cache.record([PromptPart(*pair) for pair in pairs])


def _apply_full_report(state: EntryState, report: PeerReport, now: float) -> None:
    """Applies what only a full report states: usage, crash counts and leaving endpoints."""
    if report.usage is None or report.demand is None or report.crashes is None:
        return
    mark_leaving(state, report.leaving or (), report.instance)
    # Usage counts the tokens of placed requests (given), demand those of all requests (asked).
    state.shares.merge(report.instance, given=report.usage, asked=report.demand, now=now)
    counts = decode_counts(report.instance, report.crashes)
    state.crashes.merge(report.instance, counts)
    state.part_crashes.clear_completed(counts, now)


def _decode_loads(encoded: list[int]) -> dict[int, EndpointLoad]:
    columns = (encoded[start::_LOAD_FIELDS] for start in range(_LOAD_FIELDS))
    return {
        endpoint: EndpointLoad(tokens, running)
        for endpoint, tokens, running in zip(*columns, strict=True)
    }
