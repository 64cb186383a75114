"""Virtual time of each client account as one sidecar sees it.

The virtual time of an account is its normalized service over the whole fleet: what this
sidecar metered, the charges in flight here, what other sidecars reported, and a floor that
lifts an account which had no backlog to the least virtual time among those that have, so that
neither idle time nor spare capacity used by others earns credit. Follows start-time fair
queueing (Goyal, Vin, Cheng 1996) with the cost trued up while a request runs, as the virtual
token counter does (Sheng et al. 2024).
"""

from collections.abc import Callable, Collection, Iterable

import attrs

from ..messages import ServiceTotal

_ESTIMATE_GAIN = 0.2
_NEVER = float('-inf')
_MAXIMUM_RATIO = 1000.0
_RATIO_GAIN = 0.1
#: Part of the difference between report and expectation that one report corrects.
_REPORT_GAIN = 0.25
#: Estimate for an account of which nothing is known, in cost units.
DEFAULT_ESTIMATE = 50.0


@attrs.define
class Charge:
    """Cost of one running request.

    Attributes:
        account: The client account.
        weight: Weight when the request was granted.
        estimate: Expected cost in cost units.
        metered: Cost so far in cost units.
    """

    account: str
    weight: float
    estimate: float
    metered: float = 0.0

    @property
    def outstanding(self) -> float:
        """Expected cost still to come, normalized."""
        return max(self.estimate - self.metered, 0.0) / self.weight


@attrs.define
class _Share:
    """Service of one account, normalized.

    Attributes:
        settled: Metered here.
        others: Expected to have been metered by the others.
        reported: Largest report on the others.
        floor: Lift of an account that had no backlog.
        estimate: Expected cost of its next request in cost units.
        others_known: Whether `others` started from a report.
    """

    settled: float = 0.0
    others_settled: float = 0.0
    others_reported: float = 0.0
    floor: float = 0.0
    estimate: float = DEFAULT_ESTIMATE
    blends_reports: bool = False


class AccountShares:
    """Virtual times of the accounts of one pool."""

    def __init__(
        self,
        pool: str,
        weight_of: Callable[[str], float],
        *,
        clock: Callable[[], float],
        idle_seconds: float,
    ) -> None:
        """Starts with no service.

        Args:
            pool: The pool that the endpoint belongs to.
            weight_of: Returns the weight of an account's contract.
            clock: Returns the time in seconds.
            idle_seconds: Time without a backlog after which an account has no claim any more.
                It covers the time for which this sidecar may not hear of a waiting request.
        """
        self._clock = clock
        self._idle_seconds = idle_seconds
        self._backlogged_at: dict[str, float] = {}
        self._pool = pool
        self._weight_of = weight_of
        self._shares: dict[str, _Share] = {}
        self._charge_ids: dict[str, set[int]] = {}
        self._open: dict[int, Charge] = {}
        self._latest_start_time = 0.0
        self._others_ratio = 0.0
        self._is_ratio_known = False
        self._previous_settled = 0.0
        self._previous_reported = 0.0

    def open_charge(self, account: str) -> Charge:
        """Charges the expected cost of a request at its grant.

        Args:
            account: The client account.

        Returns:
            The open charge.
        """
        share = self._share(account)
        charge = Charge(account, self._weight_of(account), share.estimate)
        self._latest_start_time = max(self._latest_start_time, self.virtual_time(account))
        self._open[id(charge)] = charge
        self._charge_ids.setdefault(account, set()).add(id(charge))
        return charge

    def meter(self, charge: Charge, amount: float) -> None:
        """Adds cost to a running request.

        Args:
            charge: The open charge.
            amount: Cost units since the last call.
        """
        charge.metered += amount
        service = amount / charge.weight
        share = self._share(charge.account)
        share.settled += service
        # The others saw the same totals, so they are expected to serve alike.
        share.others_settled += service * self._others_ratio

    def close_charge(self, charge: Charge, *, learn: bool = True) -> None:
        """Settles a charge; what was not metered is given back.

        Args:
            charge: The open charge.
            learn: Whether the cost is that of a whole request.
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
            totals: Sum over the other sidecars, as one router knows it.
        """
        reports = {total.account: total for total in totals if total.pool == self._pool}
        for account in sorted(set(self._shares) | set(reports)):
            self._merge_total(self._share(account), reports.get(account))
        self._update_ratio()

    def note_backlog(self, waiting: Iterable[str]) -> None:
        """Notes which accounts still have requests waiting while no slot is free.

        Args:
            waiting: Accounts with waiting requests at the routers.
        """
        self._backlogged_at.update(dict.fromkeys(waiting, self._clock()))

    def lift_woken(self, waiting: Iterable[str]) -> None:
        """Lifts the accounts that have requests and had no backlog lately.

        What an account left unused while there were slots for all is no claim on those that
        used them.

        Args:
            waiting: Accounts with waiting requests at the routers.
        """
        limit = self._clock() - self._idle_seconds
        backlogged = {name for name, seen in self._backlogged_at.items() if seen >= limit}
        level = self._system_virtual_time(backlogged)
        for account in set(waiting) - backlogged:
            share = self._share(account)
            share.floor += max(level - self.virtual_time(account), 0.0)

    def virtual_time(self, account: str) -> float:
        """Returns the normalized service of an account.

        Args:
            account: The client account.

        Returns:
            Cost units divided by weight, charges in flight included.
        """
        share = self._share(account)
        running = self._charge_ids.get(account, ())
        outstanding = sum(self._open[key].outstanding for key in running)
        known = share.settled + share.others_settled + share.floor
        return known + outstanding * (1 + self._others_ratio)

    def report(self) -> list[ServiceTotal]:
        """Lists what this sidecar metered.

        Returns:
            One total for each account that it knows.
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
        # A report that knows less than an earlier one says nothing new.
        if others_reported < share.others_reported:
            return
        share.others_reported = others_reported
        gain = _REPORT_GAIN if share.blends_reports else 1.0
        share.blends_reports = self._is_ratio_known
        share.others_settled += gain * (others_reported - share.others_settled)

    def _update_ratio(self) -> None:
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
        if not backlogged:
            return self._latest_start_time
        return min(self.virtual_time(account) for account in backlogged)

    def _share(self, account: str) -> _Share:
        share = self._shares.get(account)
        if share is None:
            share = _Share()
            self._shares[account] = share
        return share
