"""Chooses the client account that receives the next free slot."""

from collections.abc import Callable, Iterable


def choose_account(waiting: Iterable[str], virtual_time: Callable[[str], float]) -> str | None:
    """Chooses the account with the least virtual time among those with waiting requests.

    Args:
        waiting: Accounts with waiting requests.
        virtual_time: Returns the virtual time of an account (`AccountShares.virtual_time`): the
            service that it has received, divided by its weight, with estimates for the other
            sidecars and for what running requests still cost, and its floor.

    Returns:
        The account, or None if nothing waits; ties go to the name that sorts first.
    """
    return min(waiting, key=lambda account: (virtual_time(account), account), default=None)
