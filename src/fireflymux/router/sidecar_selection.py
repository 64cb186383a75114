"""Selects the sidecars that a router exchanges heartbeats with."""

import hashlib
from collections.abc import Sequence

from ..messages import LiveInstance


def select_sidecars(
    listed: Sequence[LiveInstance],
    *,
    router: str,
    other_routers: Sequence[str],
    fanout: int,
    routers_per_sidecar: int,
) -> list[LiveInstance]:
    """Selects sidecars by rendezvous hashing, so that few change when the list does.

    The router selects up to `fanout` sidecars of each pool that rank first for it, so that it
    reaches every pool. It also selects each sidecar for which it ranks among the first
    `routers_per_sidecar` routers, so that no sidecar is without routers.

    Args:
        listed: Sidecars of the live list.
        router: URL of the router that selects.
        other_routers: URLs of the other routers.
        fanout: Sidecars of each pool that a router selects at least, if the pool has as many.
        routers_per_sidecar: Routers that select each sidecar at least.

    Returns:
        The selected sidecars.
    """
    ranked = sorted(listed, key=lambda item: _rendezvous_hash(router, item.address))
    counts: dict[str, int] = {}
    selected = []
    for entry in ranked:
        counts[entry.pool] = counts.get(entry.pool, 0) + 1
        if counts[entry.pool] <= fanout:
            selected.append(entry)
            continue
        if _rank_router(router, other_routers, entry.address) < routers_per_sidecar:
            selected.append(entry)
    return selected


def _rank_router(router: str, other_routers: Sequence[str], sidecar: str) -> int:
    """Counts the other routers that a sidecar prefers to a router."""
    own_hash = _rendezvous_hash(router, sidecar)
    return sum(_rendezvous_hash(url, sidecar) < own_hash for url in other_routers)


def _rendezvous_hash(router: str, sidecar: str) -> bytes:
    """Returns the hash of two addresses; the pairs with the lowest hashes are preferred."""
    return hashlib.sha256('{0} {1}'.format(router, sidecar).encode()).digest()
