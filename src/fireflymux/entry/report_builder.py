"""Builds the reports that one entry instance sends to the others.

Most reports hold only changes since the one before. Since datagrams can be lost, a full report,
whose field `is_whole` is true, is built regularly. It states all loads and adds the usage of
accounts, the crash counts of requests and the leaving endpoints.
"""

from collections.abc import Mapping

import trio

from .._messages_generated import PeerReport
from ..decisions.loads import EndpointLoad, find_load_changes
from ..decisions.store_version import StoreVersion
from .crash_notices import encode_counts
from .state import EntryState

#: One in this many calls of `build` builds a full report.
_CALLS_PER_FULL_REPORT = 10
#: Maximum number of placed prompts in one report; the others follow in the next one.
_MAXIMUM_PLACEMENTS = 40
#: Maximum number of refused requests in one report; older ones are left out.
_MAXIMUM_REFUSALS = 200
#: Reports that are sent after the versions of the tables changed, as datagrams can be lost.
_REPORTS_PER_VERSION = 3
_MILLISECONDS_PER_SECOND = 1000.0
#: Age stated unless the store has responded to the last call for every followed table.
_UNKNOWN_AGE = -1


class ReportBuilder:
    """Builds each report from the changes since the one before."""

    def __init__(self, state: EntryState) -> None:
        """Prepares the first report.

        Args:
            state: State of the instance. Placed prompts and refused requests that are not reported
                yet are removed from it when a report is built.
        """
        self._state = state
        self._build_count = 0
        self._sent_loads: dict[int, EndpointLoad] = {}
        self._told: tuple[int, StoreVersion, bool] | None = None
        self._tell_count = 0

    def build(self) -> PeerReport | None:
        """Builds the next report; returns None if nothing changed and no full one is due.

        The versions of the tables count as changed for several reports.
        """
        self._build_count += 1
        state = self._state
        is_full = self._build_count % _CALLS_PER_FULL_REPORT == 0
        current = state.loads.report()
        loads = current if is_full else find_load_changes(self._sent_loads, current)
        placements = state.unreported_placements[:_MAXIMUM_PLACEMENTS]
        refusals = state.refused_requests.unreported
        must_send = self._tells_versions() or is_full
        if not (placements or refusals or loads or must_send):
            return None
        self._sent_loads = current
        state.unreported_placements = state.unreported_placements[_MAXIMUM_PLACEMENTS:]
        state.refused_requests.unreported = []
        now = trio.current_time()
        return PeerReport(
            instance=state.settings.name,
            config_version=state.configuration_version,
            members_era=state.members_version.era,
            members_version=state.members_version.number,
            store_age_milliseconds=_get_store_age(state, now),
            is_whole=is_full,
            loads=_encode_loads(loads),
            placements=placements,
            refusals=refusals[-_MAXIMUM_REFUSALS:],
            usage=_round_tokens(state.shares.given.report(now)) if is_full else None,
            demand=_round_tokens(state.shares.asked.report(now)) if is_full else None,
            crashes=encode_counts(state.crashes.report(now)) if is_full else None,
            leaving=state.members.list_leaving() if is_full else None,
        )

    def _tells_versions(self) -> bool:
        """Tells whether the versions of the tables, or the doubt about them, are still news."""
        state = self._state
        is_in_doubt = state.table_ages.find_stated_age(trio.current_time()) is None
        current = (state.configuration_version, state.members_version, is_in_doubt)
        if current != self._told:
            self._told = current
            self._tell_count = _REPORTS_PER_VERSION
        self._tell_count -= 1
        return self._tell_count >= 0


def _get_store_age(state: EntryState, now: float) -> int:
    """Returns the milliseconds since all tables of the store were known to be current."""
    age = state.table_ages.find_stated_age(now)
    return _UNKNOWN_AGE if age is None else int(age * _MILLISECONDS_PER_SECOND)


def _encode_loads(loads: Mapping[int, EndpointLoad]) -> list[int]:
    """Returns number, pending prompt tokens and running requests of each endpoint in a row."""
    encoded: list[int] = []
    for endpoint, load in loads.items():
        encoded.extend((endpoint, load.pending_tokens, load.running))
    return encoded


def _round_tokens(tokens: Mapping[str, float]) -> dict[str, float]:
    return {account: round(count) for account, count in tokens.items()}
