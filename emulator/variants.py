"""Runs the command line with one mechanism disabled by monkey patching.

Run as `python -m emulator.variants NAME ROLE SETTINGS`. The benchmarks compare the variants with
the unpatched program, and `tools/show_red.py` uses them to check that the features notice when a
mechanism is missing. The patches set private names of src, so a rename there must be made here.
"""

import sys
from collections.abc import Callable, Mapping
from types import MappingProxyType

import attrs

from fireflymux import cli
from fireflymux.decisions import (
    account_shares,
    admission_window,
    crash_counts,
    crash_registry,
    endpoint_backoff,
    entry_configuration,
    evacuations,
    fair_shares,
    limits,
    membership,
    retry,
    warmup,
)
from fireflymux.decisions.account_shares import AccountShares, Charge
from fireflymux.decisions.fair_shares import FairShares
from fireflymux.entry import (
    attempt,
    event_relay,
    exchange,
    peer_link,
    report_datagrams,
    state,
    store_follower,
    warmups,
)
from fireflymux.http import client_connection, connection_pool
from fireflymux.platform import store
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
    router_app.is_whole = lambda _stream: True
    run_client.is_whole = lambda _stream: True


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


def repeat_anything() -> None:
    """Retries every failed attempt, up to 3 in all, even of a request that must run only once."""

    def may_retry(history: retry.AttemptHistory, _ending: object, **_terms: object) -> bool:
        return history.sends + history.unsent < 3

    exchange.may_retry = may_retry


def forget_leaving() -> None:
    """Ignores the leaving state in the store rows of endpoints."""
    original = store_follower.decode_endpoint

    def decode(identifier: str, content: bytes) -> object:
        endpoint = original(identifier, content)
        return endpoint and attrs.evolve(endpoint, is_leaving=False)

    store_follower.decode_endpoint = decode


def forget_departures() -> None:
    """Forgets departures: an endpoint is ready as soon as the store lists it as ready."""
    membership.Membership.is_leaving = lambda _membership, _number: False
    membership._ENTRY_EXPIRY_SECONDS = 0.0


def no_wishes() -> None:
    """Ignores what endpoints state in answers about leaving and backoffs."""
    attempt.apply_response_signals = lambda _state, _live, _terms: None


def no_last_look() -> None:
    """Sends a placed request even if its endpoint has requested a backoff in the meantime."""
    state.LiveEndpoint.accepts_work = lambda live, _now: not live.endpoint.is_leaving


def windowed_shares() -> None:
    """Compares the usage within the share window with the fair level, without token buckets."""

    def bucket_deficit_of(shares: FairShares, account: str, now: float) -> float:
        shares._refresh(now)
        return shares.given.total(account, now)

    def is_over(shares: FairShares, account: str, now: float) -> bool:
        return (
            shares.bucket_deficit_of(account, now) > shares._level * shares._time_constant_seconds
        )

    def is_short(shares: FairShares, account: str, now: float) -> bool:
        return (
            shares.bucket_deficit_of(account, now)
            < 0.7 * shares._level * shares._time_constant_seconds
        )

    fair_shares._LEVEL_FRACTION = 1.0
    FairShares.bucket_deficit_of = bucket_deficit_of
    FairShares.is_over = is_over
    FairShares.is_short = is_short


def no_bounds() -> None:
    """Removes the limits on the bytes and answers that are read from an endpoint."""
    client_connection._MAXIMUM_BYTES_WITHOUT_PROGRESS = float('inf')
    event_relay._MAXIMUM_EVENT_BYTES = float('inf')
    attempt._MAXIMUM_UNSIZED_RESPONSE_BYTES = float('inf')
    attempt._MAXIMUM_SKIPPED_RESPONSES = 10**9
    attempt._MAXIMUM_SKIPPED_BYTES = 10**12
    connection_pool.ConnectionPool.close_stale = lambda _pool: None


def no_era() -> None:
    """Ignores the era of the store, so that a restore from a backup goes unnoticed."""
    store.StoreClient._read_era = lambda _client, _head: 0


def first_configuration() -> None:
    """Applies only the first configuration and ignores newer ones."""
    original = state.EntryState.apply_configuration

    def apply(entry_state: state.EntryState, *arguments: object) -> None:
        if entry_state.configuration is None:
            original(entry_state, *arguments)

    state.EntryState.apply_configuration = apply


def no_warmup() -> None:
    """Does not limit the requests to endpoints that are warming up."""
    warmups.Warmups._find_bound = lambda _warmups, _live: None
    warmup.divide_bound = lambda _bound, **_options: warmup.WarmupShare(1000, 0)


def own_warmup() -> None:
    """Limits each instance by the whole bound, as if it were the only one."""
    original = warmup.divide_bound

    def divide(bound: warmup.WarmupBound, **options: object) -> warmup.WarmupShare:
        return original(bound, **(options | {'others': ()}))

    warmups.divide_bound = divide
    warmup.divide_bound = divide


def no_evacuation() -> None:
    """Ignores evacuations."""
    evacuations.Evacuations.list_domains = lambda _evacuations, _now: frozenset()


def no_notices() -> None:
    """Tells the other instances nothing of evacuations and of endpoints that are warming up."""
    peer_link.apply_if_notice = lambda _state, _received: False


def no_regions() -> None:
    """Ignores the regions of routes and accounts."""
    entry_configuration.Configuration.find_regions = lambda _found, _route, _account: None


def no_stall() -> None:
    """Disables the stall timeout: a stream may bring no event until the request times out."""
    entry_configuration.Route.stall_seconds = float('inf')


def no_generation() -> None:
    """Does not clear the crash count of a request when it is answered."""
    crash_counts.CrashCounts.record_response = lambda _counts, _fingerprint, _now: None


def any_report() -> None:
    """Applies every report, even an outdated one or one from before the sender restarted."""
    original = report_datagrams.ReportAssembler.take

    def take(assembler: report_datagrams.ReportAssembler, datagram: object) -> object:
        for sender in assembler._senders.values():
            sender.past_incarnations.clear()
        received = original(assembler, datagram)
        return received and attrs.evolve(received, is_newest=True)

    report_datagrams.ReportAssembler.take = take


#: Variants by name, as given on the command line and in FIREFLYMUX_VARIANT.
VARIANTS: Mapping[str, Callable[[], None]] = MappingProxyType(
    {
        item.__name__: item
        for item in (
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
            repeat_anything,
            forget_leaving,
            first_configuration,
            forget_departures,
            no_wishes,
            no_last_look,
            windowed_shares,
            no_bounds,
            no_era,
            no_warmup,
            own_warmup,
            no_evacuation,
            no_notices,
            no_regions,
            no_stall,
            no_generation,
            any_report,
        )
    }
)


def main() -> None:
    """Applies the variant named by the first argument and runs the command line."""
    VARIANTS[sys.argv.pop(1)]()
    cli.main()


if __name__ == '__main__':
    main()
