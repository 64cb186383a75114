"""Chooses the client account that receives the next free slot."""

from collections.abc import Callable, Iterable


def choose_account(waiting: Iterable[str], virtual_time: Callable[[str], float]) -> str | None:
    """Chooses the waiting account with the least virtual time.

    Args:
        waiting: Accounts with waiting requests.
        virtual_time: Returns the normalized service of an account.

    Returns:
        The account, or None if nothing waits; ties go to the lesser name.
    """
    return min(waiting, key=lambda account: (virtual_time(account), account), default=None)
