"""Variants of entry instances, each with one mechanism disabled by monkey patching.

`emulator.variants` lists them by name. The patches set private names of src, so a rename there
must be made here.
"""

import attrs
import trio

from fireflymux.decisions import (
    crash_counts,
    entry_configuration,
    evacuations,
    fair_shares,
    membership,
    retry,
    warmup,
)
from fireflymux.decisions.fair_shares import FairShares
from fireflymux.entry import (
    attempt,
    endpoint_rows,
    event_relay,
    exchange,
    instance,
    matching_response,
    outcomes,
    peer_link,
    placed_attempt,
    report_datagrams,
    state,
    warmups,
)
from fireflymux.http import (
    client_connection,
    connection_pool,
    response_reader,
    response_writer,
)
from fireflymux.http.server_connection import ServerConnection
from fireflymux.platform import store_calls

#: Time after which `late_record` records a send.
_LATE_RECORD_SECONDS = 0.5


def repeat_anything() -> None:
    """Retries every failed attempt, up to 3 in all, even of a request that must run only once.

    That includes streams that have begun and cannot be resumed.
    """

    def may_retry(history: retry.AttemptHistory, _ending: object, **_terms: object) -> bool:
        return history.sends + history.unsent < 3

    exchange.may_retry = may_retry
    # The second barrier, beside what the route allows.
    event_relay.EventRelay.can_begin_attempt = True


def forget_leaving() -> None:
    """Ignores the leaving state in the store rows of endpoints."""
    original = endpoint_rows.decode_endpoint

    def decode(identifier: str, content: bytes) -> object:
        endpoint = original(identifier, content)
        return endpoint and attrs.evolve(endpoint, is_leaving=False)

    endpoint_rows.decode_endpoint = decode


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


#: Status of an error that is passed on at once, unlike a server error, which is retried.
_NOT_FOUND_STATUS = 404


def no_bounds() -> None:
    """Removes the limits on the bytes and answers that are read from an endpoint."""
    response_reader._MAXIMUM_BYTES_WITHOUT_PROGRESS = float('inf')
    event_relay._MAXIMUM_EVENT_BYTES = float('inf')
    attempt._MAXIMUM_UNSIZED_RESPONSE_BYTES = float('inf')
    matching_response._MAXIMUM_SKIPPED_RESPONSES = 10**9
    matching_response._MAXIMUM_SKIPPED_BYTES = 10**12
    connection_pool.ConnectionPool.close_stale = lambda _pool: None


def second_head() -> None:
    """Writes every response as if nothing of another one had been sent to the caller."""
    response_writer.ResponseWriter._require = lambda _writer, _phase: None
    original = attempt._read_response_body

    async def read(*arguments: object) -> object:
        outcome = await original(*arguments)
        is_error = isinstance(outcome, outcomes.NotResumed)
        return outcomes.Whole(_NOT_FOUND_STATUS, [], b'') if is_error else outcome

    attempt._read_response_body = read


def any_rest() -> None:
    """Joins whatever an endpoint sends as the rest of a stream to the events before it."""
    original = event_relay.EventRelay.begin_attempt

    def begin_attempt(relay: event_relay.EventRelay, status: object, fields: object) -> None:
        original(relay, status, fields)
        relay._is_resumed = False

    event_relay.EventRelay.begin_attempt = begin_attempt


def early_continue() -> None:
    """Tells a caller to send its body while the response to an earlier request is under way."""
    original = ServerConnection._process

    async def process(connection: ServerConnection, received: bytes) -> bool:
        is_open = await original(connection, received)
        parser, writer = connection._parser, connection._writer
        if parser.expects_continue and parser.is_in_body:
            parser.expects_continue = False
            await writer._send(b'HTTP/1.1 100 Continue\r\n\r\n', writer._phase)
        return is_open

    ServerConnection._process = process


def chunks_for_all() -> None:
    """Sends chunks to HTTP/1.0 callers as well."""
    original = response_writer.ResponseWriter.begin

    def begin(writer: response_writer.ResponseWriter, **terms: object) -> None:
        original(writer, **(terms | {'accepts_chunks': True}))

    response_writer.ResponseWriter.begin = begin


def head_bodies() -> None:
    """Sends bodies with the responses to HEAD requests."""
    response_writer.ResponseWriter._select_body = lambda _writer, encoded: encoded


def short_writes() -> None:
    """Takes bytes for sent that a connection whose caller reads slowly did not accept."""
    original = response_writer.ResponseWriter._send_some

    async def send_some(writer: response_writer.ResponseWriter, content: memoryview) -> int:
        await original(writer, content)
        return len(content)

    response_writer.ResponseWriter._send_some = send_some


def open_after_close() -> None:
    """Serves requests behind a response that states that its connection closes."""
    original = ServerConnection._handle_next

    async def handle_next(connection: ServerConnection, handler: object) -> None:
        await original(connection, handler)
        connection._writer.must_close = connection._writer.is_broken

    ServerConnection._handle_next = handle_next


def no_grace() -> None:
    """Stops without waiting for the requests in progress."""

    async def stop(stopped: instance.EntryInstance) -> None:
        stopped._state.is_stopping = True

    instance.EntryInstance._stop = stop


def late_record() -> None:
    """Records a send only some time after its attempt broke off."""
    original = placed_attempt.run_attempt

    async def run(entry_state: object, running: object) -> object:
        outcome = await original(entry_state, running)
        if isinstance(outcome, outcomes.Broken):
            running.history.sends -= 1
            await trio.sleep(_LATE_RECORD_SECONDS)
            running.history.sends += 1
        return outcome

    placed_attempt.run_attempt = run


def any_answer() -> None:
    """Takes whatever a connection to an endpoint brings next for the response to its request."""

    async def read(connection: connection_pool.UpstreamConnection, _attempt: bytes) -> object:
        response = await connection.next_response()
        return response, matching_response.decode_response_headers(response.head)

    attempt.read_matching_response = read


def any_connection() -> None:
    """Uses connections again whose earlier requests had the identifier of the present one."""
    client_connection.ClientConnection.can_identify = lambda _connection, _identifier: True


def no_era() -> None:
    """Ignores the era of the store, so that a restore from a backup goes unnoticed."""
    store_calls.StoreCalls._read_era = lambda _calls, _head: 0


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


#: All variants of entry instances.
ENTRY_VARIANTS = (
    repeat_anything,
    forget_leaving,
    first_configuration,
    forget_departures,
    no_wishes,
    no_last_look,
    windowed_shares,
    no_bounds,
    early_continue,
    chunks_for_all,
    head_bodies,
    short_writes,
    open_after_close,
    no_grace,
    late_record,
    any_answer,
    any_connection,
    second_head,
    any_rest,
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
