"""Chooses the instances that follow (long-poll) the store's tables.

To keep the number of store calls independent of the number of instances, two instances of each
failure domain follow the tables and tell the others, their neighbours, of new versions. Each
instance decides on its own. While views differ, an additional instance may follow, which is
harmless.
"""

import zlib
from collections.abc import Iterable

from .poll_timing import EVIDENCE_SECONDS, OVERDUE_SECONDS

#: Number of followers in each failure domain.
_FOLLOWERS_PER_DOMAIN = 2
#: Time that a report may take until the others rely on what it states.
_REPORT_SECONDS = 0.6
#: Age of the tables up to which an instance is fresh. Only fresh instances are ranked to find the
#: followers. One whose calls get no response says so before its tables are as old.
FRESH_SECONDS = EVIDENCE_SECONDS + OVERDUE_SECONDS + _REPORT_SECONDS


def is_follower(host: str, fresh_neighbours: Iterable[str], *, is_anyone_fresh: bool) -> bool:
    """Tells whether an instance follows the tables of the store itself.

    Args:
        host: Its IP address.
        fresh_neighbours: Addresses of the other instances in its failure domain that have a
            recent response of the store.
        is_anyone_fresh: Whether any other instance has a recent response of the store.

    Returns:
        Whether it ranks among the first of its failure domain, or no other instance could tell
        it of new versions.
    """
    if not is_anyone_fresh:
        return True
    ahead = sum(_rank(neighbour) < _rank(host) for neighbour in fresh_neighbours)
    return ahead < _FOLLOWERS_PER_DOMAIN


def _rank(host: str) -> tuple[int, str]:
    # Checksums are the same in every process, and spread the choice over instances that were
    # started together.
    return zlib.crc32(host.encode()), host
