"""Packs service totals into a table with one list for each field, which encodes to less JSON.

Service is the normalized cost that an account received, not a plain service or the table service.
"""

from collections.abc import Iterable

from ..messages import ServiceTotal, TotalsTable

#: Largest number of cost units in a total; sums of such numbers are exact to a unit.
_MAXIMUM_UNITS = 1 << 50


def pack_totals(totals: Iterable[ServiceTotal]) -> TotalsTable:
    """Packs the service totals of one pool into a table.

    Args:
        totals: Totals of the pool. Those whose numbers are all zero are left out.

    Returns:
        The table, in whole units of cost divided by the weight of the account. Settled service is
        rounded down, so that it never exceeds the service that was given. Floors, the virtual
        time added to accounts that came back from a time without backlog, are rounded down too.
    """
    kept = [total for total in totals if total.settled or total.outstanding or total.floor]
    return TotalsTable(
        accounts=[total.account for total in kept],
        settled=[int(total.settled) for total in kept],
        outstanding=[round(total.outstanding) for total in kept],
        floors=[int(total.floor) for total in kept],
    )


def unpack_totals(table: TotalsTable, pool: str) -> list[ServiceTotal]:
    """Unpacks a table into service totals.

    Args:
        table: Table returned by `pack_totals`.
        pool: Pool of the totals, which the table does not contain.

    Returns:
        One total for each account in the table whose numbers are in range. Larger ones would make
        the sums infinite or imprecise in every process that they spread to.
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
        if max(abs(settled), abs(outstanding), abs(floor)) <= _MAXIMUM_UNITS
    ]
