"""Variants of routers and sidecars, each with one mechanism disabled by monkey patching.

`emulator.variants` lists them by name. The patches set private names of src, so a rename there
must be made here.
"""

import attrs

from fireflymux.decisions import (
    account_shares,
    admission_window,
    crash_registry,
    endpoint_backoff,
    limits,
)
from fireflymux.decisions.account_shares import AccountShares, Charge
from fireflymux.router import router, router_app, run_client
from fireflymux.sidecar import claims, engine_orders, grants, sidecar, sidecar_app
from fireflymux.store import config_reader, configuration


def charge_at_end() -> None:
    """Charges the whole cost of a request when it ends, instead of while it runs."""

    def open_charge(shares: AccountShares, account: str) -> Charge:
        charge = original_open(shares, account)
        charge.estimate = 0.0
        return charge

    def meter(_shares: AccountShares, charge: Charge, amount: float) -> None:
        charge.metered += amount

    def close_charge(shares: AccountShares, charge: Charge, *, learn: bool = True) -> None:
        if id(charge) in shares._open:
            shares._share(charge.account).settled += charge.metered / charge.weight
        original_close(shares, charge, learn=learn)

    original_open = AccountShares.open_charge
    original_close = AccountShares.close_charge
    AccountShares.open_charge = open_charge
    AccountShares.meter = meter
    AccountShares.close_charge = close_charge


def no_estimate() -> None:
    """Charges the metered cost while a request runs, but no estimate when it is granted."""

    def open_charge(shares: AccountShares, account: str) -> Charge:
        charge = original_open(shares, account)
        charge.estimate = 0.0
        return charge

    original_open = AccountShares.open_charge
    AccountShares.open_charge = open_charge


def own_totals() -> None:
    """Ignores the totals of the other sidecars: each counts only the service it metered itself."""
    AccountShares.merge_others = lambda _shares, _totals: None


def no_prediction() -> None:
    """Uses the last report of the other sidecars without extrapolating it to the present."""
    account_shares._REPORT_GAIN = 1.0
    AccountShares._update_ratio = lambda _shares: None


def small_gain() -> None:
    """Lets each report correct 5 % of the difference from the estimate."""
    account_shares._REPORT_GAIN = 0.05


def middle_gain() -> None:
    """Lets each report correct 10 % of the difference from the estimate."""
    account_shares._REPORT_GAIN = 0.1


def no_floor() -> None:
    """Does not raise the floors, so that an idle account accumulates credit."""
    AccountShares.raise_floors = lambda _shares, _waiting: None


def first_come() -> None:
    """Grants free slots to the waiting accounts round-robin, without regard to their usage."""
    position = {'at': 0}

    def choose(waiting, _virtual_time):
        names = sorted(waiting)
        position['at'] += 1
        return names[position['at'] % len(names)] if names else None

    grants.choose_account = choose


def no_claim() -> None:
    """Sends calls with an idempotency key without claiming them in the table."""

    async def claim(claim_store: claims.ClaimStore, order: object) -> claims.Claimed:
        return claims.Claimed(claims.claim_key(order), 0, claim_store._new_row(order))

    async def skip(*_arguments: object) -> None:
        return None

    claims.ClaimStore.claim = claim
    claims.ClaimStore.record = skip
    claims.ClaimStore.release = skip
    claims.ClaimStore.record_unknown = skip


def no_read_back() -> None:
    """Treats every existing claim row as held by another sidecar.

    The own row, read back after the result of its insert was lost, differs in the attempt
    number here and is therefore not recognized.
    """
    original = claims.ClaimStore._evaluate_existing

    async def evaluate(claim_store: claims.ClaimStore, row: object, own_row: object) -> object:
        return await original(claim_store, row, attrs.evolve(own_row, attempt=-1))

    claims.ClaimStore._evaluate_existing = evaluate


def no_confirmation() -> None:
    """Lets a sidecar admit requests under an unconfirmed or outdated configuration."""
    sidecar.MAXIMUM_CONFIRMATION_AGE_SECONDS = float('inf')
    sidecar.Sidecar.newest_heard_version = property(lambda _self: 0, lambda _self, _version: None)


def any_version() -> None:
    """Applies every configuration snapshot, even one older than the current version."""

    def replace(self: configuration.Configuration, snapshot: object) -> bool:
        self._contracts = {item.account: item for item in snapshot.contracts}
        self._endpoints = {item.endpoint: item for item in snapshot.endpoints}
        self._version = snapshot.version
        return True

    configuration.Configuration.replace = replace


def no_window() -> None:
    """Keeps the admission window at the configured slots, whatever the time to the first token."""
    admission_window.AdmissionWindow.observe = lambda _window, _seconds: None


def no_resume() -> None:
    """Does not resume the transfer of an answer from a sidecar after the connection broke."""

    async def reopen(*arguments: object) -> object:
        return arguments[-1]

    run_client.RunClient._reopen = reopen


def no_end_marker() -> None:
    """Treats a stream without the end marker as complete."""
    router_app.is_complete = lambda _stream: True
    run_client.is_complete = lambda _stream: True


def no_limits() -> None:
    """Lets every router allow the whole rate and concurrency of a contract."""
    limits.divide_limit = lambda limit, _routers: limit
    router.divide_limit = lambda limit, _routers: limit
    original = limits.RateLimiter.__init__

    def create(limiter: limits.RateLimiter, **options: object) -> None:
        original(limiter, **{**options, 'maximum_routers': 1})

    limits.RateLimiter.__init__ = create


def no_verdicts() -> None:
    """Does not record which requests were running when an endpoint crashed."""
    crash_registry.CrashRegistry.record_crash = lambda _registry, _fingerprint, *, alone: None


def no_pause() -> None:
    """Does not back off from an endpoint that accepts no calls."""
    endpoint_backoff.EndpointBackoff.record_failure = lambda _health: None


def no_lock() -> None:
    """Lets a sidecar send engine orders without holding the lock of its instance."""
    engine_orders.PortLock.try_acquire = lambda _lock: True


def no_drain() -> None:
    """Shuts routers and sidecars down without waiting for running requests."""

    async def drain(*_arguments: object, **_options: object) -> bool:
        return True

    router_app.drain = drain
    sidecar_app.drain = drain


def no_peers() -> None:
    """Reads the configuration from the platform only, never from routers."""

    async def read(_reader: config_reader.ConfigReader) -> bool:
        return False

    config_reader.ConfigReader._read_routers = read


#: All variants of routers and sidecars.
ROUTER_VARIANTS = (
    charge_at_end,
    no_estimate,
    own_totals,
    small_gain,
    middle_gain,
    no_prediction,
    no_floor,
    first_come,
    no_claim,
    no_read_back,
    no_confirmation,
    any_version,
    no_window,
    no_resume,
    no_end_marker,
    no_limits,
    no_verdicts,
    no_pause,
    no_lock,
    no_drain,
    no_peers,
)
