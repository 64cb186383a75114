"""Waiting requests that routers have announced to one sidecar (reservations)."""

from collections.abc import Callable, Mapping

import attrs

from ..messages import Heartbeat


@attrs.define
class RouterReservations:
    """Reservations of one router incarnation, that is one run of a router process.

    Attributes:
        router: The router incarnation.
        address: URL to which grants are offered.
        sequence: Sequence number of its newest heartbeat.
        seen_at: Time in seconds at which that heartbeat arrived.
        waiting: Number of waiting requests by account.
    """

    router: str
    address: str
    sequence: int
    seen_at: float
    waiting: dict[str, int]


class Reservations:
    """Reservations of all routers, from the newest heartbeat of each."""

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        expiry_seconds: float,
    ) -> None:
        """Creates an empty set of reservations.

        Args:
            clock: Returns the time in seconds.
            expiry_seconds: Time without a heartbeat after which the reservations of a router are
                dropped.
        """
        self._clock = clock
        self._expiry_seconds = expiry_seconds
        self._routers: dict[str, RouterReservations] = {}
        self._round_robin_index = 0

    def replace(self, heartbeat: Heartbeat) -> None:
        """Replaces the reservations of the sending router.

        Args:
            heartbeat: Its heartbeat; ignored unless it is newer than the last one.
        """
        known = self._routers.get(heartbeat.router)
        if known is not None and known.sequence >= heartbeat.sequence:
            return
        self._routers[heartbeat.router] = RouterReservations(
            router=heartbeat.router,
            address=heartbeat.address,
            sequence=heartbeat.sequence,
            seen_at=self._clock(),
            waiting=dict(heartbeat.reservations),
        )

    def accounts(self) -> set[str]:
        """Lists the accounts with waiting requests.

        Returns:
            The accounts, over all routers with a recent heartbeat.
        """
        self._expire()
        return {account for entry in self._routers.values() for account in entry.waiting}

    def take(self, account: str) -> RouterReservations | None:
        """Takes one reservation of an account, round-robin over the routers that have some.

        Args:
            account: The client account.

        Returns:
            The router that holds the request, or None if the account has no reservation.
        """
        holders = [entry for entry in self._routers.values() if account in entry.waiting]
        if not holders:
            return None
        self._round_robin_index += 1
        chosen = holders[self._round_robin_index % len(holders)]
        chosen.waiting[account] -= 1
        if chosen.waiting[account] <= 0:
            chosen.waiting.pop(account)
        return chosen

    def set_waiting(self, router: str, waiting: Mapping[str, int]) -> None:
        """Replaces the reservations of a router by those in its reply to an offer.

        Args:
            router: The router incarnation.
            waiting: Number of waiting requests by account.
        """
        entry = self._routers.get(router)
        if entry is not None:
            entry.waiting = dict(waiting)

    def drop(self, router: str) -> None:
        """Drops the reservations of a router that did not reply, until its next heartbeat.

        Args:
            router: The router incarnation.
        """
        entry = self._routers.get(router)
        if entry is not None:
            entry.waiting.clear()

    def routers(self) -> list[RouterReservations]:
        """Lists the routers with a recent heartbeat.

        Returns:
            Their reservations.
        """
        self._expire()
        return list(self._routers.values())

    def addresses(self) -> list[str]:
        """Lists the URLs of the routers with a recent heartbeat.

        Returns:
            The URLs.
        """
        self._expire()
        return [entry.address for entry in self._routers.values()]

    def _expire(self) -> None:
        limit = self._clock() - self._expiry_seconds
        silent = [name for name, entry in self._routers.items() if entry.seen_at < limit]
        for name in silent:
            self._routers.pop(name)
