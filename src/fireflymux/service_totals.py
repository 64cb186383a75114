"""Service of the client accounts summed over the fleet from the reports of its sidecars.

A report holds, for each pool and account, the normalized service since the start of one
sidecar incarnation. It only grows, so reports merge by maximum and may be lost, repeated,
reordered or relayed. Normalized service is cost divided by the weight in force when the cost
was incurred.
"""

from collections.abc import Iterable, Mapping

import attrs

from .messages import ReporterTotals, ServiceTotal, TotalsSnapshot
from .totals_table import pack_totals, unpack_totals

#: Pool and client account.
ShareKey = tuple[str, str]


@attrs.define
class _Report:
    settled: dict[ShareKey, float] = attrs.field(factory=dict)
    outstanding: dict[ShareKey, float] = attrs.field(factory=dict)


class ServiceTotals:
    """Reports of all sidecar incarnations that a router has heard of."""

    def __init__(self) -> None:
        """Starts without reports."""
        self._reports: dict[str, _Report] = {}
        self._floors: dict[ShareKey, float] = {}

    @property
    def reporters(self) -> frozenset[str]:
        """Sidecar incarnations that have reported."""
        return frozenset(self._reports)

    def merge(self, reporter: str, totals: Iterable[ServiceTotal]) -> None:
        """Merges a report of one sidecar incarnation.

        Args:
            reporter: The sidecar incarnation.
            totals: Its totals; the outstanding ones replace the earlier ones.
        """
        report = self._reports.setdefault(reporter, _Report())
        for total in totals:
            key = (total.pool, total.account)
            report.settled[key] = max(report.settled.get(key, 0.0), total.settled)
            self._floors[key] = max(self._floors.get(key, 0.0), total.floor)
            report.outstanding[key] = total.outstanding

    def forget_outstanding(self, reporter: str) -> None:
        """Drops the charges in flight of a sidecar that is gone; what it served stays.

        Args:
            reporter: The sidecar incarnation.
        """
        if reporter in self._reports:
            self._reports[reporter].outstanding.clear()

    def sum_without(self, reporter: str, pool: str) -> list[ServiceTotal]:
        """Sums all reports on a pool but one.

        Args:
            reporter: The sidecar incarnation that the sum is for.
            pool: The pool.

        Returns:
            One total for each account of the pool.
        """
        settled: dict[ShareKey, float] = {}
        outstanding: dict[ShareKey, float] = {}
        for name, report in self._reports.items():
            if name == reporter:
                continue
            _add_pool(settled, report.settled, pool)
            _add_pool(outstanding, report.outstanding, pool)
        keys = {key for key in self._floors if key[0] == pool} | set(settled)
        return [
            ServiceTotal(
                pool=pool,
                account=key[1],
                settled=settled.get(key, 0.0),
                outstanding=outstanding.get(key, 0.0),
                floor=self._floors.get(key, 0.0),
            )
            for key in sorted(keys)
        ]

    def to_snapshot(self) -> TotalsSnapshot:
        """Copies all reports for a router that starts.

        Returns:
            The snapshot.
        """
        return TotalsSnapshot(
            reporters=[
                ReporterTotals(
                    reporter=name,
                    pool=pool,
                    table=pack_totals(self._list_report(report, pool)),
                )
                for name, report in self._reports.items()
                for pool in sorted({key[0] for key in report.settled})
            ]
        )

    def merge_snapshot(self, snapshot: TotalsSnapshot) -> None:
        """Merges the reports that another router holds.

        Args:
            snapshot: Its snapshot.
        """
        for entry in snapshot.reporters:
            self.merge(entry.reporter, unpack_totals(entry.table, entry.pool))

    def _list_report(self, report: _Report, pool: str) -> list[ServiceTotal]:
        return [
            ServiceTotal(
                pool=pool,
                account=key[1],
                settled=settled,
                outstanding=report.outstanding.get(key, 0.0),
                floor=self._floors.get(key, 0.0),
            )
            for key, settled in report.settled.items()
            if key[0] == pool
        ]


def _add_pool(
    target: dict[ShareKey, float],
    source: Mapping[ShareKey, float],
    pool: str,
) -> None:
    for key, amount in source.items():
        if key[0] == pool:
            target[key] = target.get(key, 0.0) + amount
