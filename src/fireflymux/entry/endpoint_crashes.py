"""Records that endpoints ended while attempts ran on them."""

import trio

from ..decisions.endpoint_ends import BrokenAttempt
from ..decisions.part_crashes import PartCrashes
from ..observability.logs import get_logger
from .live_endpoint import LiveEndpoint

_log = get_logger(__name__)


def record_endpoint_crash(
    part_crashes: PartCrashes, live: LiveEndpoint, attempt: BrokenAttempt
) -> None:
    """Records that an endpoint ended while an attempt ran on it, for the parts of its prompt.

    Args:
        part_crashes: Crashes by part.
        live: The endpoint.
        attempt: The attempt.
    """
    now = trio.current_time()
    part_crashes.ends.record_end(live.number, live.endpoint.identifier, now)
    suspects = part_crashes.record_crash(
        attempt.parts, endpoint=live.number, sent_at=attempt.sent_at, now=now
    )
    _log.info(
        'endpoint_crashed',
        endpoint=live.endpoint.identifier,
        number=live.number,
        suspects=['{0:x}'.format(part) for part in suspects],
    )


def record_endpoint_gone(part_crashes: PartCrashes, live: LiveEndpoint) -> None:
    """Records a crash for the attempts that broke off shortly before an endpoint vanished.

    Args:
        part_crashes: Crashes by part.
        live: The endpoint; one that was leaving has not crashed.
    """
    if live.endpoint.is_leaving:
        return
    for attempt in part_crashes.ends.take(live.number, trio.current_time()):
        record_endpoint_crash(part_crashes, live, attempt)
