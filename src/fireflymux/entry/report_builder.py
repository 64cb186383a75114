"""Builds the reports of one entry instance from what changed since the last one."""

from collections.abc import Mapping

import trio

from .._messages_generated import PeerReport
from ..decisions.loads import EndpointLoad, find_load_changes
from .state import EntryState

#: One report in this many is whole, with the usage of accounts and broken requests.
_REPORTS_PER_WHOLE_REPORT = 10
#: Prompts named in one report; the rest follow with the next one.
_MAXIMUM_PLACEMENTS = 40
#: Refused requests named in one report; older ones are left out.
_MAXIMUM_REFUSALS = 200
_MILLISECONDS = 1000.0
_NEVER = float('-inf')
_NEVER_ANSWERED = -1


class ReportBuilder:
    """What was reported already, and what follows."""

    def __init__(self, state: EntryState) -> None:
        """Starts before the first report.

        Args:
            state: Beliefs of the instance.
        """
        self._state = state
        self._report_count = 0
        self._sent_loads: dict[int, EndpointLoad] = {}

    def build(self) -> PeerReport | None:
        """Builds the next report, or returns None if there is nothing to say."""
        self._report_count += 1
        state = self._state
        is_whole = self._report_count % _REPORTS_PER_WHOLE_REPORT == 0
        current = state.loads.report()
        loads = current if is_whole else find_load_changes(self._sent_loads, current)
        placements = state.unreported_placements[:_MAXIMUM_PLACEMENTS]
        refusals = state.refused_requests.unreported
        if not (placements or refusals or loads or is_whole):
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
            is_whole=is_whole,
            loads=_encode_loads(loads),
            placements=placements,
            refusals=refusals[-_MAXIMUM_REFUSALS:],
            usage=_round_tokens(state.shares.given.report(now)) if is_whole else None,
            demand=_round_tokens(state.shares.asked.report(now)) if is_whole else None,
            crashes=[
                [count.fingerprint, count.generation, *count.endpoints]
                for count in state.crashes.report(now)
            ]
            if is_whole
            else None,
            leaving=state.members.list_leaving() if is_whole else None,
        )


def _get_store_age(state: EntryState, now: float) -> int:
    """Returns how long ago the store answered for each followed table, in milliseconds."""
    oldest = min(state.store_answered_at.values(), default=_NEVER)
    return _NEVER_ANSWERED if oldest == _NEVER else int((now - oldest) * _MILLISECONDS)


def _encode_loads(loads: Mapping[int, EndpointLoad]) -> list[int]:
    encoded: list[int] = []
    for endpoint, load in loads.items():
        encoded.extend((endpoint, load.pending_tokens, load.running))
    return encoded


def _round_tokens(tokens: Mapping[str, float]) -> dict[str, float]:
    return {account: round(count) for account, count in tokens.items()}
