"""Chooses the instances that follow the store's tables for their neighbours.

Answers fleets in which calls to the store would grow with the instances: two of each failure
domain follow, the others hear of new versions from them. Each instance decides for itself; where
views differ for a moment, one more than needed follows, which does no harm.
"""

import zlib
from collections.abc import Iterable

#: Instances of one failure domain that follow.
_FOLLOWERS_PER_DOMAIN = 2
#: An instance whose last answer of the store is older does not count as one that follows.
FRESH_SECONDS = 5.0


def is_follower(host: str, fresh_neighbours: Iterable[str], *, is_anyone_fresh: bool) -> bool:
    """Tells whether an instance follows the tables itself.

    Args:
        host: Its IP address.
        fresh_neighbours: Addresses of the other instances in its failure domain that the store
            answered lately.
        is_anyone_fresh: Whether the store answered any other instance lately.

    Returns:
        Whether it is among the first of its failure domain, or nobody else could tell it.
    """
    if not is_anyone_fresh:
        return True
    ahead = sum(_rank(neighbour) < _rank(host) for neighbour in fresh_neighbours)
    return ahead < _FOLLOWERS_PER_DOMAIN


def _rank(host: str) -> tuple[int, str]:
    # Checksums are the same in every process, and spread over instances started together.
    return zlib.crc32(host.encode()), host
