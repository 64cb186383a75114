"""Router process: accepts the requests of callers and returns the responses of endpoints.

This module holds the HTTP application of a router and the objects behind it, and runs the
process until it is told to stop. `dispatch` decides where each request runs.
"""

import random
import uuid
from collections.abc import AsyncIterator

import httpx
import orjson
import trio
from opentelemetry.trace import Span
from quart import Response, request
from quart_trio import QuartTrio
from werkzeug.exceptions import RequestEntityTooLarge

from .._settings_generated import RouterSettings
from ..decisions.crash_registry import CrashRegistry
from ..decisions.limits import RateLimiter, divide_limit
from ..decisions.service_totals import ServiceTotals
from ..errors import CallFailure, ErrorKind, to_problem
from ..messages import GrantOffer, GrantReply, TotalsSnapshot
from ..observability.logs import get_logger
from ..observability.metrics import Metrics
from ..observability.tracing import create_tracer, start_span, to_traceparent
from ..settings import ProcessSettings
from ..store.config_reader import ConfigReader, build_update
from ..store.configuration import Configuration
from ..store.platform_client import PlatformClients
from ..web.credentials import has_fleet_key
from ..web.http_clients import FleetClients, create_platform_client
from ..web.responses import (
    build_message_response,
    build_problem_response,
    build_stream_response,
    read_body,
)
from ..web.server import Server, catch_stop_signals, drain
from ..wire import codec
from ..wire.wire_size import request_size, response_size
from .backlog import Backlog, Placement
from .caller_requests import CallerRequest, ReceivedRequest, authenticate, parse_request
from .dispatch import DispatchContext, Dispatcher
from .peers import PeerContext, PeerDirectory
from .run_client import BufferedResponse, RunClient, StreamedResponse, is_whole

_log = get_logger(__name__)
#: Time for the load balancer to notice that a stopping router is not ready. The router already
#: refuses new requests during it.
_READINESS_DELAY_SECONDS = 1.0
#: Hypercorn's limit on header blocks, as a multiple of the router's own, so that the router can
#: send an error response for a block that is too large before Hypercorn cuts it off.
_LISTENER_HEADER_LIMIT_FACTOR = 4


class Router:
    """The objects of one router process.

    Attributes:
        incarnation: ID of the process, new with each start.
        is_stopping: Whether the router is shutting down and refuses new requests.
        active_requests: Number of requests that are being handled or streamed back.
    """

    def __init__(self, settings: ProcessSettings, router_settings: RouterSettings) -> None:
        """Creates the objects from the settings.

        Args:
            settings: Settings of the process.
            router_settings: Section [router] of the settings.
        """
        self.incarnation = uuid.uuid4().hex
        self.settings = settings
        self.router_settings = router_settings
        self.metrics = Metrics()
        self.configuration = Configuration()
        self.totals = ServiceTotals(clock=trio.current_time)
        self.crashes = CrashRegistry(clock=trio.current_time)
        self.tracer = create_tracer(
            settings.observability.trace_file,
            instance=settings.instance.name,
        )
        self.is_stopping = False
        self.active_requests = 0
        self._fleet_clients = FleetClients(settings.fleet, settings.tls)
        self._platform_client = create_platform_client(settings.platform, settings.tls)
        self.platform = PlatformClients.from_settings(settings.platform, self._platform_client)
        self.backlog = Backlog(get_concurrency_limit=self._get_concurrency_limit)
        self.rate_limiter = RateLimiter(
            maximum_routers=settings.fleet.maximum_routers,
            clock=trio.current_time,
        )
        self.config_reader = ConfigReader(
            self.configuration,
            platform=self.platform,
            fleet_clients=self._fleet_clients,
            routers=self._list_routers,
            metrics=self.metrics,
        )
        self.peers = PeerDirectory(
            PeerContext(
                router_id=self.incarnation,
                fleet_clients=self._fleet_clients,
                live_list=self.platform.live,
                configuration=self.configuration,
                totals=self.totals,
                crashes=self.crashes,
                backlog=self.backlog,
                metrics=self.metrics,
                rng=random.Random(),
                totals_interval_seconds=settings.fleet.totals_interval_seconds,
                heartbeat_interval_seconds=settings.fleet.heartbeat_interval_seconds,
                fanout=router_settings.reservation_fanout,
                routers_per_sidecar=router_settings.routers_per_sidecar,
                live_poll_interval_seconds=settings.fleet.live_poll_interval_seconds,
            )
        )
        self.run_client = RunClient(self._fleet_clients, self.peers, self.metrics)
        self.dispatcher = Dispatcher(
            DispatchContext(
                router_id=self.incarnation,
                backlog=self.backlog,
                peers=self.peers,
                crashes=self.crashes,
                run_client=self.run_client,
                metrics=self.metrics,
                rng=random.Random(),
                retry_limit=router_settings.retry_limit,
                get_config_version=lambda: self.configuration.version,
            )
        )

    @classmethod
    def from_settings(cls, settings: ProcessSettings) -> 'Router':
        """Creates a router.

        Args:
            settings: Settings with a section [router].

        Returns:
            The router; `start_tasks` starts its background tasks.

        Raises:
            ValueError: The settings have no section [router].
        """
        if settings.router is None:
            raise ValueError('the settings have no section [router]')
        return cls(settings, settings.router)

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send requests to this router."""
        return self.configuration.version > 0 and not self.is_stopping

    async def start_tasks(self, nursery: trio.Nursery, address: str) -> None:
        """Starts the background tasks.

        Args:
            nursery: Nursery that the tasks run in.
            address: URL of this router.
        """
        nursery.start_soon(self._read_configuration)
        nursery.start_soon(self.peers.run, address)
        nursery.start_soon(self._poll_totals)

    def admit(self, caller_request: CallerRequest) -> CallFailure | None:
        """Applies the limits of the contract to a new request.

        Args:
            caller_request: The validated request.

        Returns:
            Why the request is refused, or None if it is admitted.
        """
        contract = caller_request.contract
        if caller_request.pool not in contract.pools:
            if caller_request.pool in self.peers.pools:
                return CallFailure(ErrorKind.pool_not_allowed)
            return CallFailure(ErrorKind.pool_unknown)
        if caller_request.pool not in self.peers.pools:
            return CallFailure(ErrorKind.endpoint_unreachable, 'the pool has no endpoint')
        if not self.rate_limiter.try_take(contract):
            return CallFailure(ErrorKind.rate_exceeded)
        queue_limit = divide_limit(contract.queue_length, self.settings.fleet.maximum_routers)
        if self.backlog.count_waiting(contract.account) >= queue_limit:
            return CallFailure(ErrorKind.queue_full)
        return None

    def _get_concurrency_limit(self, account: str) -> int:
        contract = self.configuration.contracts.get(account)
        # An account without a known contract may run one request at a time.
        if contract is None:
            return 1
        return divide_limit(contract.concurrency, self.settings.fleet.maximum_routers)

    def _list_routers(self) -> list[str]:
        configured = [url for url in self.settings.fleet.peer_routers.split(',') if url]
        return list({*configured, *self.peers.router_addresses})

    async def _read_configuration(self) -> None:
        await self.config_reader.run(
            self.settings.fleet.config_poll_interval_seconds,
            read=self.config_reader.read_platform_first,
        )

    async def _poll_totals(self) -> None:
        """Periodically fetches service totals (normalized cost) from another router.

        They include those of sidecars with which this router exchanges no heartbeats.
        """
        interval = self.settings.fleet.totals_interval_seconds
        await trio.sleep(self.settings.fleet.live_poll_interval_seconds)
        while True:
            self.totals.retire_silent(self.peers.may_report)
            addresses = self._list_routers()
            random.shuffle(addresses)
            for address in addresses:
                if await self._fetch_totals(address):
                    break
            await trio.sleep(interval)

    async def _fetch_totals(self, address: str) -> bool:
        try:
            response = await self._fleet_clients.to(address).get(
                '{0}/v1/totals'.format(address), timeout=1
            )
            response.raise_for_status()
            snapshot = codec.decode(response.content, TotalsSnapshot)
        except (httpx.HTTPError, codec.DecodeError):
            return False
        self.metrics.control_bytes.add({'direction': 'sent'}, request_size(response))
        self.metrics.control_bytes.add({'direction': 'received'}, response_size(response))
        self.totals.merge_snapshot(snapshot)
        return True


def create_app(router: Router) -> QuartTrio:
    """Creates the HTTP application of a router.

    Args:
        router: The router to serve.

    Returns:
        The application.
    """
    app = QuartTrio('fireflymux.router')
    app.config['MAX_CONTENT_LENGTH'] = router.router_settings.maximum_body_bytes
    app.config['BODY_TIMEOUT'] = None

    @app.post('/v1/chat/completions')
    async def chat() -> Response:
        return await _handle_request(router)

    methods = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS']

    @app.route('/services/<path:_rest>', methods=methods, provide_automatic_options=False)
    async def service(_rest: str) -> Response:
        return await _handle_request(router)

    @app.errorhandler(RequestEntityTooLarge)
    async def body_too_large(_error: Exception) -> Response:
        return _build_failure_response(router, CallFailure(ErrorKind.body_too_large))

    _add_fleet_routes(app, router)
    _add_observability_routes(app, router)
    return app


def _add_fleet_routes(app: QuartTrio, router: Router) -> None:
    def is_authorized() -> bool:
        return has_fleet_key(request.headers.get('Authorization', ''), router.settings.fleet.key)

    @app.post('/v1/grants')
    async def grants() -> Response:
        if not is_authorized():
            return build_problem_response(CallFailure(ErrorKind.unauthenticated))
        try:
            offer = codec.decode(await read_body(), GrantOffer)
        except codec.DecodeError as error:
            return build_problem_response(CallFailure(ErrorKind.malformed_request, str(error)))
        placement = Placement(offer.address, offer.sidecar, offer.grant)
        account = router.dispatcher.accept_grant(offer, placement)
        reservations = router.backlog.count_reservations(offer.pool)
        return build_message_response(GrantReply(account=account, reservations=reservations))

    @app.get('/v1/config')
    async def config() -> Response:
        if not is_authorized():
            return build_problem_response(CallFailure(ErrorKind.unauthenticated))
        after = request.args.get('after', 0, type=int)
        return build_message_response(
            build_update(
                router.configuration,
                after=after,
                age_seconds=router.config_reader.age_seconds,
            )
        )

    @app.get('/v1/totals')
    async def totals() -> Response:
        if not is_authorized():
            return build_problem_response(CallFailure(ErrorKind.unauthenticated))
        return build_message_response(router.totals.to_snapshot())


def _add_observability_routes(app: QuartTrio, router: Router) -> None:
    @app.get('/metrics')
    async def metrics() -> Response:
        router.metrics.waiting.set({}, router.backlog.size)
        body, headers = router.metrics.render(request.headers.getlist('Accept'))
        return Response(body, headers=headers)

    @app.get('/live')
    async def live() -> Response:
        return Response(b'live\n')

    @app.get('/ready')
    async def ready() -> Response:
        if router.is_ready:
            return Response(b'ready\n')
        kind = (
            ErrorKind.shutting_down
            if router.is_stopping
            else (ErrorKind.configuration_unavailable)
        )
        return build_problem_response(CallFailure(kind))


async def _handle_request(router: Router) -> Response:
    if router.is_stopping:
        return _build_failure_response(router, CallFailure(ErrorKind.shutting_down))
    if not router.is_ready:
        return _build_failure_response(router, CallFailure(ErrorKind.configuration_unavailable))
    router.active_requests += 1
    try:
        return await _validate_and_send(router)
    finally:
        router.active_requests -= 1


async def _validate_and_send(router: Router) -> Response:
    if _count_header_bytes() > router.router_settings.maximum_header_bytes:
        return _build_failure_response(router, CallFailure(ErrorKind.headers_too_large))
    contract = authenticate(router.configuration, request.headers.get('Authorization', ''))
    if isinstance(contract, CallFailure):
        return _build_failure_response(router, contract)
    # Uses the raw path, since decoding it would turn an encoded slash into a separator.
    path = request.scope['raw_path'].decode('latin-1')
    if request.query_string:
        path = '{0}?{1}'.format(path, request.query_string.decode('latin-1'))
    received = ReceivedRequest(
        method=request.method,
        path=path,
        headers={name.lower(): text for name, text in request.headers.items()},
        body=await read_body(),
    )
    caller_request = parse_request(
        received,
        contract,
        default_timeout_seconds=router.router_settings.queue_timeout_seconds,
    )
    if isinstance(caller_request, CallFailure):
        return _build_failure_response(router, caller_request)
    failure = router.admit(caller_request)
    if failure is not None:
        return _build_failure_response(router, failure)
    return await _send_and_respond(router, caller_request)


def _count_header_bytes() -> int:
    return sum(len(name) + len(text) for name, text in request.headers.items())


async def _send_and_respond(router: Router, caller_request: CallerRequest) -> Response:
    span = _start_span(router, caller_request)
    started = trio.current_time()
    result: BufferedResponse | StreamedResponse | CallFailure | None = None
    try:
        result = await router.dispatcher.send(caller_request, to_traceparent(span))
    finally:
        if not isinstance(result, StreamedResponse):
            span.end()
    router.metrics.first_token.observe(
        {'pool': caller_request.pool}, trio.current_time() - started
    )
    if isinstance(result, CallFailure):
        return _build_failure_response(router, result)
    headers = {'Content-Type': result.content_type, 'traceparent': to_traceparent(span)}
    if isinstance(result, BufferedResponse):
        router.dispatcher.release_concurrency(caller_request.account)
        router.metrics.requests.inc({'pool': caller_request.pool, 'result': 'whole'})
        headers = {**result.headers, **headers}
        return Response(result.body, status=result.status, headers=headers)
    chunks = _stream_response(router, caller_request, result, span)
    return build_stream_response(chunks, status=result.status, headers=headers)


async def _stream_response(
    router: Router,
    caller_request: CallerRequest,
    stream: StreamedResponse,
    span: Span,
) -> AsyncIterator[bytes]:
    router.active_requests += 1
    result = 'abandoned'
    try:
        async for chunk in router.run_client.read_stream(stream):
            yield chunk
        result = 'whole' if is_whole(stream) else 'cut'
        if result == 'cut':
            router.dispatcher.record_stream_crash(stream)
            yield _build_error_event()
    finally:
        router.active_requests -= 1
        router.dispatcher.release_concurrency(caller_request.account)
        router.metrics.requests.inc({'pool': caller_request.pool, 'result': result})
        span.end()
        if result == 'abandoned':
            with trio.CancelScope(shield=True):
                await router.run_client.cancel(stream.placement, stream.order)


def _build_error_event() -> bytes:
    """Returns the event that ends an incomplete stream in place of `data: [DONE]`."""
    problem = codec.to_builtins(to_problem(CallFailure(ErrorKind.answer_cut)))
    data = orjson.dumps({'error': problem}).decode()
    return 'event: error\ndata: {0}\n\n'.format(data).encode()


def _start_span(router: Router, caller_request: CallerRequest) -> Span:
    return start_span(
        router.tracer,
        'router.request',
        caller_request.traceparent,
        account=caller_request.account,
        pool=caller_request.pool,
    )


def _build_failure_response(router: Router, failure: CallFailure) -> Response:
    router.metrics.refusals.inc({'kind': failure.kind.value})
    return build_problem_response(failure)


async def run_router(settings: ProcessSettings) -> None:
    """Runs a router until SIGTERM or SIGINT, then drains it.

    Args:
        settings: Settings with a section [router].
    """
    router = Router.from_settings(settings)
    with catch_stop_signals() as wait_for_stop:
        async with trio.open_nursery() as nursery:
            server = Server(
                create_app(router),
                settings.instance,
                settings.tls,
                maximum_header_bytes=router.router_settings.maximum_header_bytes
                * _LISTENER_HEADER_LIMIT_FACTOR,
            )
            address = await server.start(nursery)
            await router.start_tasks(nursery, address)
            _log.info('listening', address=address, role='router', router=router.incarnation)
            await wait_for_stop()
            router.is_stopping = True
            _log.info('draining')
            await trio.sleep(_READINESS_DELAY_SECONDS)
            is_drained = await drain(
                lambda: router.active_requests == 0,
                timeout_seconds=settings.instance.shutdown_timeout_seconds,
            )
            _log.info('stopped', clean=is_drained)
            server.stop()
            nursery.cancel_scope.cancel()
