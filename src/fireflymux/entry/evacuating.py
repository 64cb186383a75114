"""Applies the operator's evacuations of failure domains to the endpoints.

Running requests on evacuated endpoints end by themselves; new ones go elsewhere.
"""

import trio

from ..decisions.evacuations import EvacuationList
from ..observability.logs import get_logger
from .state import EntryState

_log = get_logger(__name__)


def apply_evacuations(state: EntryState, newer: EvacuationList, source: str) -> None:
    """Takes over a list of evacuated failure domains if it is newer than the known one.

    Args:
        state: State of the instance.
        newer: The list.
        source: Where it came from, for the log: the store, or an instance.
    """
    if state.candidates.evacuations.replace(newer, trio.current_time()):
        update_evacuations(state, source)


def update_evacuations(state: EntryState, source: str) -> None:
    """Marks the endpoints as evacuated or not, after a change of `Candidates.evacuations`.

    Args:
        state: State of the instance.
        source: Where the change came from, for the log.
    """
    evacuated = state.candidates.evacuations.list_domains(trio.current_time())
    _log.info('domains_evacuated', domains=sorted(evacuated), source=source)
    for live in state.list_endpoints():
        was_evacuated = live.is_evacuated
        live.is_evacuated = live.endpoint.failure_domain in evacuated
        if was_evacuated and not live.is_evacuated:
            state.candidates.warmups.record_possible(live)
    state.candidates.drop_cache()
    state.notify()
