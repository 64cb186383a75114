"""Packs service totals into columns, the short form that travels between processes."""

from collections.abc import Iterable

from ..messages import ServiceTotal, TotalsTable


def pack_totals(totals: Iterable[ServiceTotal]) -> TotalsTable:
    """Packs the totals of one pool.

    Args:
        totals: The totals; those without service or floor are left out.

    Returns:
        The table, in whole cost units; settled service is rounded down, so that it never
        exceeds what was served.
    """
    kept = [total for total in totals if total.settled or total.outstanding or total.floor]
    return TotalsTable(
        accounts=[total.account for total in kept],
        settled=[int(total.settled) for total in kept],
        outstanding=[round(total.outstanding) for total in kept],
        floors=[int(total.floor) for total in kept],
    )


def unpack_totals(table: TotalsTable, pool: str) -> list[ServiceTotal]:
    """Unpacks a table.

    Args:
        table: The table.
        pool: The pool that it is about.

    Returns:
        Its totals.
    """
    columns = zip(
        table.accounts,
        table.settled,
        table.outstanding,
        table.floors,
        strict=False,
    )
    return [
        ServiceTotal(
            pool=pool,
            account=account,
            settled=settled,
            outstanding=outstanding,
            floor=floor,
        )
        for account, settled, outstanding, floor in columns
    ]
