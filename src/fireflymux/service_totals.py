"""Service of the client accounts summed over the fleet from the reports of its sidecars.

A report holds, for each pool and account, the normalized service since the start of one
sidecar incarnation. It only grows, so reports merge by maximum and may be lost, repeated,
reordered or relayed. Normalized service is cost divided by the weight in force when the cost
was incurred.
"""

from collections.abc import Iterable

import attrs

from .messages import ReporterTotals, ServiceTotal, TotalsSnapshot, TotalsTable
from .totals_table import pack_totals, unpack_totals


@attrs.define
class _Column:
    """Totals of one pool by account."""

    settled: dict[str, float] = attrs.field(factory=dict)
    outstanding: dict[str, float] = attrs.field(factory=dict)


class ServiceTotals:
    """Reports of all sidecar incarnations that a router has heard of.

    The sum over all reports is kept as they arrive, so that a heartbeat costs as much as its
    own accounts, however many sidecars there are.
    """

    def __init__(self) -> None:
        """Starts without reports."""
        self._reports: dict[str, dict[str, _Column]] = {}
        self._sums: dict[str, _Column] = {}
        self._floors: dict[str, dict[str, float]] = {}

    @property
    def reporters(self) -> frozenset[str]:
        """Sidecar incarnations that have reported."""
        return frozenset(self._reports)

    def merge(
        self, reporter: str, totals: Iterable[ServiceTotal], *, is_relayed: bool = False
    ) -> None:
        """Merges a report of one sidecar incarnation.

        Args:
            reporter: The sidecar incarnation.
            totals: Its totals; the outstanding ones replace the earlier ones.
            is_relayed: Whether it came through another router, so that the outstanding ones
                may be older than those that are held.
        """
        for total in totals:
            column = self._reports.setdefault(reporter, {}).setdefault(total.pool, _Column())
            sums = self._sums.setdefault(total.pool, _Column())
            known = column.settled.get(total.account, 0.0)
            _replace(column.settled, sums.settled, total.account, max(known, total.settled))
            if not is_relayed:
                _replace(column.outstanding, sums.outstanding, total.account, total.outstanding)
            floors = self._floors.setdefault(total.pool, {})
            floors[total.account] = max(floors.get(total.account, 0.0), total.floor)

    def forget_outstanding(self, reporter: str) -> None:
        """Drops the charges in flight of a sidecar that is gone; what it served stays.

        Args:
            reporter: The sidecar incarnation.
        """
        for pool, column in self._reports.get(reporter, {}).items():
            for account in column.outstanding:
                _replace(column.outstanding, self._sums[pool].outstanding, account, 0.0)

    def sum_without(self, reporter: str, pool: str) -> list[ServiceTotal]:
        """Sums all reports on a pool but one.

        Args:
            reporter: The sidecar incarnation that the sum is for.
            pool: The pool.

        Returns:
            One total for each account of the pool.
        """
        sums = self._sums.get(pool, _Column())
        own = self._reports.get(reporter, {}).get(pool, _Column())
        floors = self._floors.get(pool, {})
        return [
            ServiceTotal(
                pool=pool,
                account=account,
                settled=settled - own.settled.get(account, 0.0),
                outstanding=max(
                    sums.outstanding.get(account, 0.0) - own.outstanding.get(account, 0.0), 0.0
                ),
                floor=floors.get(account, 0.0),
            )
            for account, settled in sums.settled.items()
        ]

    def to_snapshot(self) -> TotalsSnapshot:
        """Copies all reports for a router that starts.

        Returns:
            The snapshot.
        """
        return TotalsSnapshot(
            reporters=[
                ReporterTotals(reporter=name, pool=pool, table=self._pack(pool, column))
                for name, columns in self._reports.items()
                for pool, column in columns.items()
            ]
        )

    def merge_snapshot(self, snapshot: TotalsSnapshot) -> None:
        """Merges the reports that another router holds.

        Args:
            snapshot: Its snapshot.
        """
        for entry in snapshot.reporters:
            totals = unpack_totals(entry.table, entry.pool)
            self.merge(entry.reporter, totals, is_relayed=True)

    def _pack(self, pool: str, column: _Column) -> TotalsTable:
        floors = self._floors.get(pool, {})
        return pack_totals(
            ServiceTotal(
                pool=pool, account=account, settled=settled, floor=floors.get(account, 0.0)
            )
            for account, settled in column.settled.items()
        )


def _replace(
    column: dict[str, float], sums: dict[str, float], account: str, amount: float
) -> None:
    sums[account] = sums.get(account, 0.0) + amount - column.get(account, 0.0)
    column[account] = amount
