"""Sums the service to each client account over the fleet, from the reports of its sidecars.

A report holds, for each pool and account, the normalized service since one sidecar incarnation
started: cost divided by the weight that the account had when the cost was incurred. These totals
only grow, so that reports merge by maximum (a grow-only counter) and may be lost, repeated,
reordered or relayed.

"Service" is what an account receives, as in fair queueing, not a group of endpoints.
"""

from collections.abc import Callable, Iterable

import attrs

from ..messages import ReporterTotals, ServiceTotal, TotalsSnapshot, TotalsTable
from ..wire.totals_table import pack_totals, unpack_totals

#: Time without growth after which the report of a sidecar that is gone is kept only as a part of
#: the sums.
RETIRE_SECONDS = 900.0
#: Names of retired sidecars that are kept; the oldest one is dropped for a new one.
_MAXIMUM_RETIRED = 20000


@attrs.define
class _PoolTotals:
    """Totals of one pool by account: metered service, and expected service still to come."""

    settled: dict[str, float] = attrs.field(factory=dict)
    outstanding: dict[str, float] = attrs.field(factory=dict)


class ServiceTotals:
    """Reports of all sidecar incarnations that are known to a router.

    The sums over all reports are updated as reports arrive. The cost of a heartbeat therefore
    depends on the number of accounts in it, not on the number of sidecars.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        """Creates sums without reports.

        Args:
            clock: Returns the time in seconds.
        """
        self._clock = clock
        self._changed_at: dict[str, float] = {}
        self._retired: dict[str, None] = {}
        self._reports: dict[str, dict[str, _PoolTotals]] = {}
        self._sums: dict[str, _PoolTotals] = {}
        self._floors: dict[str, dict[str, float]] = {}

    def merge(
        self, reporter: str, totals: Iterable[ServiceTotal], *, is_relayed: bool = False
    ) -> None:
        """Merges a report of one sidecar incarnation.

        Args:
            reporter: The sidecar incarnation.
            totals: Its totals. The metered service merges by maximum; the outstanding service
                replaces the previous one.
            is_relayed: Whether it came through another router. Its outstanding service may then
                be outdated and is ignored.
        """
        if reporter in self._retired:
            return
        for total in totals:
            pool_totals = self._reports.setdefault(reporter, {}).setdefault(
                total.pool, _PoolTotals()
            )
            sums = self._sums.setdefault(total.pool, _PoolTotals())
            known = pool_totals.settled.get(total.account, 0.0)
            if total.settled > known or reporter not in self._changed_at:
                self._changed_at[reporter] = self._clock()
            _set_amount(
                pool_totals.settled, sums.settled, total.account, max(known, total.settled)
            )
            if not is_relayed:
                _set_amount(
                    pool_totals.outstanding, sums.outstanding, total.account, total.outstanding
                )
            floors = self._floors.setdefault(total.pool, {})
            floors[total.account] = max(floors.get(total.account, 0.0), total.floor)

    def forget_outstanding(self, reporter: str) -> None:
        """Drops the outstanding service of a sidecar that is gone; its metered service stays.

        Args:
            reporter: The sidecar incarnation.
        """
        for pool, pool_totals in self._reports.get(reporter, {}).items():
            for account in pool_totals.outstanding:
                _set_amount(pool_totals.outstanding, self._sums[pool].outstanding, account, 0.0)

    def retire_silent(self, is_live: Callable[[str], bool]) -> None:
        """Drops reports that have not grown for a long time and whose sidecars are gone.

        Their service stays in the sums. Their names are kept, so that a relayed report of one of
        them is not counted a second time.

        Args:
            is_live: Tells whether a sidecar incarnation may still report. The report of an idle
                sidecar does not grow, but must not be dropped.
        """
        limit = self._clock() - RETIRE_SECONDS
        silent = [
            name for name, at in self._changed_at.items() if at < limit and not is_live(name)
        ]
        for name in silent:
            self.forget_outstanding(name)
            self._changed_at.pop(name)
            self._reports.pop(name, None)
            self._retired[name] = None
        while len(self._retired) > _MAXIMUM_RETIRED:
            self._retired.pop(next(iter(self._retired)))

    def sum_without(self, reporter: str, pool: str) -> list[ServiceTotal]:
        """Sums the reports on a pool, except for that of one sidecar.

        Floors are not summed: each is the maximum over all reports on the account, including that
        of the sidecar itself.

        Args:
            reporter: The sidecar incarnation that is left out; it gets the sum.
            pool: The pool.

        Returns:
            One total for each account of the pool.
        """
        sums = self._sums.get(pool, _PoolTotals())
        own = self._reports.get(reporter, {}).get(pool, _PoolTotals())
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
        """Copies all reports, for a router that starts.

        Returns:
            The snapshot.
        """
        return TotalsSnapshot(
            reporters=[
                ReporterTotals(reporter=name, pool=pool, table=self._pack(pool, pool_totals))
                for name, by_pool in self._reports.items()
                for pool, pool_totals in by_pool.items()
            ],
            retired=list(self._retired),
            retired_totals=[
                ReporterTotals(reporter='', pool=pool, table=self._pack(pool, pool_totals))
                for pool, pool_totals in self._sum_retired().items()
            ],
        )

    def merge_snapshot(self, snapshot: TotalsSnapshot) -> None:
        """Merges the reports that another router holds.

        Args:
            snapshot: Its snapshot.
        """
        if not self._reports and not self._retired:
            self._adopt_retired(snapshot)
        for entry in snapshot.reporters:
            totals = unpack_totals(entry.table, entry.pool)
            self.merge(entry.reporter, totals, is_relayed=True)

    def _adopt_retired(self, snapshot: TotalsSnapshot) -> None:
        """Adopts the sums of retired sidecars.

        Only for an empty state: the sums name no reporters, so that they cannot be told apart
        from reports that are already counted. The floors in their tables are ignored.
        """
        self._retired = dict.fromkeys(snapshot.retired)
        for entry in snapshot.retired_totals:
            sums = self._sums.setdefault(entry.pool, _PoolTotals())
            for total in unpack_totals(entry.table, entry.pool):
                sums.settled[total.account] = total.settled

    def _sum_retired(self) -> dict[str, _PoolTotals]:
        retired = {}
        for pool, sums in self._sums.items():
            pool_totals = _PoolTotals(settled=dict(sums.settled))
            for by_pool in self._reports.values():
                for account, settled in by_pool.get(pool, _PoolTotals()).settled.items():
                    pool_totals.settled[account] -= settled
            retired[pool] = pool_totals
        return retired

    def _pack(self, pool: str, pool_totals: _PoolTotals) -> TotalsTable:
        """Packs totals, with the floors of the pool: maxima over all reports on an account."""
        floors = self._floors.get(pool, {})
        return pack_totals(
            ServiceTotal(
                pool=pool, account=account, settled=settled, floor=floors.get(account, 0.0)
            )
            for account, settled in pool_totals.settled.items()
        )


def _set_amount(
    amounts: dict[str, float], sums: dict[str, float], account: str, amount: float
) -> None:
    sums[account] = sums.get(account, 0.0) + amount - amounts.get(account, 0.0)
    amounts[account] = amount
