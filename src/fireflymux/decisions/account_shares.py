"""Virtual time of each client account, as one sidecar computes it.

The virtual time of an account is its normalized service (cost divided by the weight of its
contract) over the whole fleet. It is the sum of

- the cost metered by this sidecar,
- the expected cost still to come of requests that run now, here and in proportion elsewhere,
- an estimate of the cost metered by the other sidecars, corrected by their reports, and
- a floor, which grows when an account without a recent backlog has waiting requests again. The
  virtual time of the account is thereby raised to the least one of the backlogged accounts or, if
  there are none, to the greatest one that any account had when a request of it was granted.
  Without the floor, an account would earn credit by being idle, or while others used spare
  capacity.

An account has a backlog while requests of it still wait after the free slots were offered. It
counts as backlogged for some time after that, and as idle later, even if requests of it run.

This is start-time fair queueing (Goyal, Vin, Cheng 1996). The cost of a request is estimated when
it is granted and replaced by the metered cost while it runs, as in the virtual token counter
(Sheng et al. 2024).

Sidecars use these shares to choose the account of each free slot. Entry instances use `FairShares`
instead, which tells which accounts have used more than their share. "Service" is what an account
receives, as in fair queueing, not a group of endpoints.
"""

from collections.abc import Callable, Collection, Iterable

import attrs

from ..messages import ServiceTotal

#: Weight of the newest request in the moving average of an account's cost per request.
_ESTIMATE_GAIN = 0.2
_NEVER = float('-inf')
#: Upper bound of a measured ratio of service elsewhere to service here.
_MAXIMUM_RATIO = 1000.0
#: Weight of the newest measurement in the moving average of that ratio.
_RATIO_GAIN = 0.1
#: Fraction of the difference between a report and the estimate that one report corrects.
_REPORT_GAIN = 0.25
#: Estimated cost of a request of an account without finished requests, in cost units.
DEFAULT_ESTIMATE = 50.0


@attrs.define
class Charge:
    """Charge for one granted request, open until the request ends.

    Attributes:
        account: The client account.
        weight: Weight of the account when the request was granted.
        estimate: Expected total cost in cost units.
        metered: Cost so far in cost units.
    """

    account: str
    weight: float
    estimate: float
    metered: float = 0.0

    @property
    def outstanding(self) -> float:
        """Expected cost still to come, divided by the weight."""
        return max(self.estimate - self.metered, 0.0) / self.weight


@attrs.define
class _Share:
    """Service of one account; cost divided by weight, except for `estimate`.

    Attributes:
        settled: Service metered by this sidecar.
        others_settled: Estimate of the service metered by the other sidecars.
        others_reported: Largest total that was reported for the other sidecars.
        floor: Sum of the virtual time added whenever the account came back from a time without
            backlog.
        estimate: Expected cost of its next request in cost units.
        blends_reports: Whether the next report corrects `others_settled` by a fraction of the
            difference instead of replacing it.
    """

    settled: float = 0.0
    others_settled: float = 0.0
    others_reported: float = 0.0
    floor: float = 0.0
    estimate: float = DEFAULT_ESTIMATE
    blends_reports: bool = False


class AccountShares:
    """Virtual times of all accounts in one pool."""

    def __init__(
        self,
        pool: str,
        weight_of: Callable[[str], float],
        *,
        clock: Callable[[], float],
        idle_seconds: float,
    ) -> None:
        """Creates virtual times of accounts without any service.

        Args:
            pool: The pool that the endpoint belongs to.
            weight_of: Returns the weight of an account's contract.
            clock: Returns the time in seconds.
            idle_seconds: Time after the last backlog for which an account stays backlogged; after
                that it counts as idle, and its floor is raised when it has requests again. Must
                cover the time for which this sidecar may not know of a waiting request.
        """
        self._clock = clock
        self._idle_seconds = idle_seconds
        self._backlogged_at: dict[str, float] = {}
        self._pool = pool
        self._weight_of = weight_of
        self._shares: dict[str, _Share] = {}
        self._charge_ids: dict[str, set[int]] = {}
        self._open: dict[int, Charge] = {}
        self._latest_start_virtual_time = 0.0
        self._others_ratio = 0.0
        self._is_ratio_known = False
        self._previous_settled = 0.0
        self._previous_reported = 0.0

    def open_charge(self, account: str) -> Charge:
        """Charges an account the expected cost of a request that is granted.

        Args:
            account: The client account.

        Returns:
            The open charge.
        """
        share = self._share(account)
        charge = Charge(account, self._weight_of(account), share.estimate)
        self._latest_start_virtual_time = max(
            self._latest_start_virtual_time, self.virtual_time(account)
        )
        self._open[id(charge)] = charge
        self._charge_ids.setdefault(account, set()).add(id(charge))
        return charge

    def meter(self, charge: Charge, amount: float) -> None:
        """Adds metered cost to a running request.

        Args:
            charge: The open charge.
            amount: Cost units since the last call.
        """
        charge.metered += amount
        service = amount / charge.weight
        share = self._share(charge.account)
        share.settled += service
        # The other sidecars choose accounts by the same totals. Until their next report, their
        # service to the account is assumed to grow in proportion to the service here.
        share.others_settled += service * self._others_ratio

    def close_charge(self, charge: Charge, *, learn: bool = True) -> None:
        """Closes a charge, which drops what was estimated but not metered.

        Args:
            charge: The charge; nothing happens if it is closed already.
            learn: Whether the request ran to its end, so that its cost updates the estimate for
                the next one.
        """
        if self._open.pop(id(charge), None) is None:
            return
        self._charge_ids[charge.account].discard(id(charge))
        if learn:
            share = self._share(charge.account)
            share.estimate += _ESTIMATE_GAIN * (charge.metered - share.estimate)

    def merge_others(self, totals: Iterable[ServiceTotal]) -> None:
        """Merges the service that other sidecars reported.

        Args:
            totals: Totals summed over the other sidecars by one router.
        """
        reports = {total.account: total for total in totals if total.pool == self._pool}
        for account in sorted(set(self._shares) | set(reports)):
            self._merge_total(self._share(account), reports.get(account))
        self._update_ratio()

    def record_backlog(self, waiting: Iterable[str]) -> None:
        """Records which accounts have a backlog now.

        Args:
            waiting: Accounts with requests that still wait at the routers after the free slots
                were offered.
        """
        self._backlogged_at.update(dict.fromkeys(waiting, self._clock()))

    def raise_floors(self, waiting: Iterable[str]) -> None:
        """Raises the floors of accounts that have waiting requests and no recent backlog.

        An account gets no credit for capacity that it left unused while there were slots for
        all.

        Args:
            waiting: Accounts with waiting requests at the routers.
        """
        limit = self._clock() - self._idle_seconds
        backlogged = {name for name, seen in self._backlogged_at.items() if seen >= limit}
        system_time = self._system_virtual_time(backlogged)
        for account in set(waiting) - backlogged:
            share = self._share(account)
            share.floor += max(system_time - self.virtual_time(account), 0.0)

    def virtual_time(self, account: str) -> float:
        """Returns the virtual time of an account.

        Args:
            account: The client account.

        Returns:
            Cost units divided by weight: metered service here, estimated service elsewhere, floor,
            and the expected cost still to come of running requests.
        """
        share = self._share(account)
        running = self._charge_ids.get(account, ())
        outstanding = sum(self._open[key].outstanding for key in running)
        known = share.settled + share.others_settled + share.floor
        # The other sidecars are assumed to run requests of the account in the same proportion.
        return known + outstanding * (1 + self._others_ratio)

    def report(self) -> list[ServiceTotal]:
        """Lists the service by this sidecar.

        Returns:
            One total for each account that this sidecar knows.
        """
        return [
            ServiceTotal(
                pool=self._pool,
                account=account,
                settled=share.settled,
                outstanding=sum(
                    self._open[key].outstanding for key in self._charge_ids.get(account, ())
                ),
                floor=share.floor,
            )
            for account, share in self._shares.items()
        ]

    def _merge_total(self, share: _Share, total: ServiceTotal | None) -> None:
        if total is not None:
            share.floor = max(share.floor, total.floor)
        others_reported = total.settled if total else 0.0
        # Totals only grow: a smaller one comes from a router that lacks some sidecar reports.
        if others_reported < share.others_reported:
            return
        share.others_reported = others_reported
        # Before the ratio is known, the estimate does not grow between reports. The first report
        # after that replaces it, and later ones correct it by a fraction.
        gain = _REPORT_GAIN if share.blends_reports else 1.0
        share.blends_reports = self._is_ratio_known
        share.others_settled += gain * (others_reported - share.others_settled)

    def _update_ratio(self) -> None:
        """Measures the service of the other sidecars per unit of service by this one."""
        others_reported = sum(share.others_reported for share in self._shares.values())
        settled = sum(share.settled for share in self._shares.values())
        served_here = settled - self._previous_settled
        served_elsewhere = others_reported - self._previous_reported
        if served_here <= 0 or served_elsewhere <= 0:
            return
        ratio = min(served_elsewhere / served_here, _MAXIMUM_RATIO)
        gain = _RATIO_GAIN if self._is_ratio_known else 1.0
        self._others_ratio += gain * (ratio - self._others_ratio)
        self._previous_settled = settled
        self._previous_reported = others_reported
        self._is_ratio_known = True

    def _system_virtual_time(self, backlogged: Collection[str]) -> float:
        """Returns the virtual time to which an idle account is raised, as in fair queueing."""
        if not backlogged:
            return self._latest_start_virtual_time
        return min(self.virtual_time(account) for account in backlogged)

    def _share(self, account: str) -> _Share:
        share = self._shares.get(account)
        if share is None:
            share = _Share()
            self._shares[account] = share
        return share
