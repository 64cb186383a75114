"""The sidecar process, which admits, meters and monitors the calls to one endpoint.

`Sidecar` holds the components and decides whether new requests are admitted. `create_app`
builds the HTTP interface for routers: heartbeats, run orders, and reading or cancelling a
response. `run_sidecar` runs the process until it is told to stop.
"""

import random
import uuid
from collections.abc import AsyncIterator, Iterable

import attrs
import httpx
import trio
from quart import Response, request
from quart_trio import QuartTrio

from .._settings_generated import SidecarSettings
from ..decisions.account_shares import AccountShares
from ..decisions.admission_window import AdmissionWindow
from ..decisions.crash_registry import CrashRegistry
from ..decisions.endpoint_backoff import EndpointBackoff
from ..decisions.reservations import Reservations
from ..errors import CallFailure, ErrorKind
from ..messages import GrantOffer, GrantReply, Heartbeat, HeartbeatReply, RunOrder
from ..observability.logs import get_logger
from ..observability.metrics import Metrics
from ..observability.tracing import create_tracer, start_span, to_traceparent
from ..settings import ProcessSettings
from ..store.config_reader import ConfigReader
from ..store.configuration import Configuration
from ..store.group_commit import GroupCommitter
from ..store.platform_client import PlatformClients
from ..web.credentials import has_fleet_key
from ..web.http_clients import (
    FLEET_REQUEST_TIMEOUT_SECONDS,
    FleetClients,
    create_endpoint_client,
    create_platform_client,
)
from ..web.responses import (
    build_message_response,
    build_problem_response,
    build_stream_response,
    read_body,
)
from ..web.server import Server, catch_stop_signals, drain
from ..wire import codec, headers
from ..wire.totals_table import pack_totals, unpack_totals
from .claims import ClaimStore
from .endpoint_call import EndpointClient
from .engine_orders import EngineTarget, ModelLoader, PortLock
from .grants import GrantScheduler, SidecarIdentity, Slot
from .sidecar_runs import Run, RunContext, SidecarRuns

_log = get_logger(__name__)
_MAXIMUM_HEADER_BYTES = 65536
_CONFIG_READ_INTERVAL_SECONDS = 1.0
#: Time for which requests are still admitted while a newer configuration version is fetched, so
#: that a change does not interrupt admission.
_VERSION_LAG_GRACE_SECONDS = 0.5
#: Requests are admitted only if the configuration was confirmed within this time.
MAXIMUM_CONFIRMATION_AGE_SECONDS = 2.5
#: Number of heartbeat intervals without a heartbeat after which a router's reservations expire.
_MISSED_HEARTBEAT_LIMIT = 5
_MILLISECONDS_PER_SECOND = 1000


class Sidecar:
    """Components and state of a sidecar process.

    The incarnation identifies the process: a sidecar that is restarted gets a new one.
    """

    def __init__(self, settings: ProcessSettings, sidecar_settings: SidecarSettings) -> None:
        """Creates the components.

        Args:
            settings: Settings of the process.
            sidecar_settings: Section [sidecar] of the settings.
        """
        self.incarnation = uuid.uuid4().hex
        self.settings = settings
        self.sidecar_settings = sidecar_settings
        self.metrics = Metrics()
        self.configuration = Configuration()
        self.tracer = create_tracer(
            settings.observability.trace_file,
            instance=settings.instance.name,
        )
        self.is_stopping = False
        self.newest_heard_version = 0
        self._newest_version_heard_at = float('-inf')
        self._fleet_clients = FleetClients(settings.fleet, settings.tls)
        self._platform_client = create_platform_client(settings.platform, settings.tls)
        self._endpoint_client = create_endpoint_client(settings.tls)
        self.platform = PlatformClients.from_settings(settings.platform, self._platform_client)
        self.reservations = Reservations(
            clock=trio.current_time,
            expiry_seconds=settings.fleet.heartbeat_interval_seconds * _MISSED_HEARTBEAT_LIMIT,
        )
        self.shares = AccountShares(
            sidecar_settings.pool,
            self.configuration.weight_of,
            clock=trio.current_time,
            idle_seconds=settings.fleet.totals_interval_seconds,
        )
        self.window = AdmissionWindow(
            sidecar_settings.slots,
            target_seconds=sidecar_settings.first_token_target_milliseconds
            / _MILLISECONDS_PER_SECOND,
            clock=trio.current_time,
        )
        self.health = EndpointBackoff(clock=trio.current_time)
        self.crashes = CrashRegistry(clock=trio.current_time)
        self._group_committer = GroupCommitter(self.platform.table, self.metrics)
        self._claims = ClaimStore(
            self.incarnation, self.platform, self._group_committer, self.metrics
        )
        self.config_reader = ConfigReader(
            self.configuration,
            platform=self.platform,
            fleet_clients=self._fleet_clients,
            routers=self.list_routers,
            metrics=self.metrics,
        )
        self.identity = SidecarIdentity(sidecar_id=self.incarnation, pool=sidecar_settings.pool)
        self.scheduler = self._build_scheduler()
        self.model_loader = self._build_model_loader()
        self.runs = self._build_runs()

    @classmethod
    def from_settings(cls, settings: ProcessSettings) -> 'Sidecar':
        """Creates a sidecar from settings that must have a section [sidecar].

        Args:
            settings: Settings of the process.

        Returns:
            The sidecar, which is not listening yet.

        Raises:
            ValueError: The section is missing.
        """
        if settings.sidecar is None:
            raise ValueError('the settings have no section [sidecar]')
        return cls(settings, settings.sidecar)

    def list_routers(self) -> Iterable[str]:
        """Lists the routers that can be asked for the configuration.

        Returns:
            URLs of the routers that send heartbeats and of those in the settings, in random
            order to spread the load.
        """
        configured = [url for url in self.settings.fleet.peer_routers.split(',') if url]
        addresses = list({*self.reservations.addresses(), *configured})
        random.shuffle(addresses)
        return addresses

    def check_admission(self) -> CallFailure | None:
        """Checks whether new requests may start on the endpoint.

        Returns:
            Why they may not, or None if they may.
        """
        if self.is_stopping:
            return CallFailure(ErrorKind.sidecar_leaving, 'the sidecar is shutting down')
        if self.configuration.is_leaving(self.sidecar_settings.endpoint):
            return CallFailure(ErrorKind.sidecar_leaving, 'the endpoint is announced as leaving')
        if self.configuration.version == 0:
            return CallFailure(ErrorKind.sidecar_unconfirmed, 'no configuration')
        if self.model_loader.is_load_pending:
            return CallFailure(ErrorKind.sidecar_unconfirmed, 'an order to the engine is pending')
        if self.health.is_backing_off:
            return CallFailure(ErrorKind.sidecar_unconfirmed, 'the endpoint takes no calls')
        if self._is_behind():
            return CallFailure(ErrorKind.sidecar_unconfirmed, 'a newer configuration exists')
        if self.config_reader.confirmed_seconds_ago > MAXIMUM_CONFIRMATION_AGE_SECONDS:
            return CallFailure(ErrorKind.sidecar_unconfirmed, 'the confirmation is too old')
        return None

    def accept_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatReply:
        """Applies the reservations, totals of normalized cost and crash verdicts of a router.

        Args:
            heartbeat: Heartbeat of the router.

        Returns:
            The state of this sidecar for the router.
        """
        self._record_config_version(heartbeat)
        if heartbeat.totals is not None:
            self.shares.merge_others(unpack_totals(heartbeat.totals, self.sidecar_settings.pool))
        self.reservations.replace(heartbeat)
        self.crashes.merge(heartbeat.verdicts)
        self.scheduler.notify()
        refused = self.check_admission()
        return HeartbeatReply(
            sidecar=self.incarnation,
            endpoint=self.sidecar_settings.endpoint,
            config_version=self.configuration.version,
            free_slots=0 if refused else self.scheduler.free_slots,
            leaving=refused is not None and refused.kind is ErrorKind.sidecar_leaving,
            totals=None if heartbeat.totals is None else pack_totals(self.shares.report()),
            verdicts=self.crashes.list_verdicts(),
        )

    async def send_offer(self, address: str, offer: GrantOffer) -> GrantReply | None:
        """Sends the offer of a slot to a router.

        Args:
            address: URL of the router.
            offer: The offer.

        Returns:
            The reply, or None if there was no valid one in time.
        """
        try:
            response = await self._fleet_clients.to(address).post(
                '{0}/v1/grants'.format(address),
                content=codec.encode(offer),
                headers={'Content-Type': headers.JSON},
                timeout=FLEET_REQUEST_TIMEOUT_SECONDS,
            )
            if response.is_success:
                return codec.decode(response.content, GrantReply)
        except (httpx.HTTPError, codec.DecodeError) as error:
            _log.debug('offer_failed', router=address, reason=repr(error))
        return None

    async def start_tasks(self, nursery: trio.Nursery) -> None:
        """Starts the background tasks.

        Args:
            nursery: Nursery for the tasks.
        """
        nursery.start_soon(self.scheduler.run)
        nursery.start_soon(self.runs.expire_runs)
        nursery.start_soon(self._group_committer.run)
        nursery.start_soon(self.model_loader.run)
        nursery.start_soon(self._claims.run)
        nursery.start_soon(self._read_configuration)

    def _build_scheduler(self) -> GrantScheduler:
        return GrantScheduler(
            self.identity,
            shares=self.shares,
            reservations=self.reservations,
            window=self.window,
            check_admission=self.check_admission,
            send_offer=self.send_offer,
            metrics=self.metrics,
        )

    def _build_model_loader(self) -> ModelLoader:
        return ModelLoader(
            EngineTarget(
                self.sidecar_settings.endpoint,
                self.sidecar_settings.endpoint_url,
                self.incarnation,
            ),
            table=self.platform.table,
            client=self._endpoint_client,
            lock=PortLock(self.sidecar_settings.order_lock_port),
            desired_model=self._desired_model,
            is_idle=lambda: self.scheduler.used_slots == 0,
        )

    def _build_runs(self) -> SidecarRuns:
        return SidecarRuns(
            RunContext(
                scheduler=self.scheduler,
                shares=self.shares,
                window=self.window,
                claims=self._claims,
                endpoint=EndpointClient(
                    self._endpoint_client,
                    self.sidecar_settings.endpoint_url,
                    check=self.check_admission,
                    prompt_token_weight=self.sidecar_settings.prompt_token_weight,
                    cost_per_second=self.sidecar_settings.cost_per_second,
                ),
                metrics=self.metrics,
                tracer=self.tracer,
                crashes=self.crashes,
                health=self.health,
                is_engine=self.sidecar_settings.kind == 'engine',
                retention_seconds=self.sidecar_settings.resume_seconds,
                maximum_answer_bytes=self.sidecar_settings.maximum_answer_bytes,
            )
        )

    def _record_config_version(self, heartbeat: Heartbeat) -> None:
        if heartbeat.config_version > self.newest_heard_version:
            self.newest_heard_version = heartbeat.config_version
            self._newest_version_heard_at = trio.current_time()
        if heartbeat.config_version > self.configuration.version:
            self.config_reader.request_read(heartbeat.address)

    def _is_behind(self) -> bool:
        """Tells whether a newer configuration has not been loaded within the grace time."""
        if self.configuration.version >= self.newest_heard_version:
            return False
        return trio.current_time() - self._newest_version_heard_at > _VERSION_LAG_GRACE_SECONDS

    def _desired_model(self) -> str:
        announcement = self.configuration.endpoints.get(self.sidecar_settings.endpoint)
        return announcement.model if announcement else ''

    async def _read_configuration(self) -> None:
        """Reads the configuration regularly and wakes the scheduler after each read."""

        async def read() -> None:
            await self.config_reader.read_routers_first()
            self.scheduler.notify()

        await self.config_reader.run(_CONFIG_READ_INTERVAL_SECONDS, read=read)


def create_app(sidecar: Sidecar, nursery: trio.Nursery) -> QuartTrio:
    """Creates the HTTP application of a sidecar.

    Args:
        sidecar: The sidecar to serve.
        nursery: Nursery for the runs, which outlive the HTTP requests that start them.

    Returns:
        The application.
    """
    app = QuartTrio('fireflymux.sidecar')
    app.config['MAX_CONTENT_LENGTH'] = None
    app.config['BODY_TIMEOUT'] = None

    _add_authentication(app, sidecar)
    _add_run_routes(app, sidecar, nursery)
    _add_observability_routes(app, sidecar)

    @app.post('/v1/heartbeat')
    async def heartbeat() -> Response:
        data = await read_body()
        try:
            message = codec.decode(data, Heartbeat)
        except codec.DecodeError as error:
            return build_problem_response(CallFailure(ErrorKind.malformed_request, str(error)))
        response = build_message_response(sidecar.accept_heartbeat(message))
        # Counts only the body, whereas routers also count estimated headers.
        sidecar.metrics.control_bytes.add({'direction': 'received'}, len(data))
        return response

    return app


def _add_authentication(app: QuartTrio, sidecar: Sidecar) -> None:
    @app.before_request
    async def check_credential() -> Response | None:
        if request.path in {'/metrics', '/live', '/ready'}:
            return None
        key = sidecar.settings.fleet.key
        if has_fleet_key(request.headers.get('Authorization', ''), key):
            return None
        return build_problem_response(CallFailure(ErrorKind.unauthenticated))


def _add_run_routes(app: QuartTrio, sidecar: Sidecar, nursery: trio.Nursery) -> None:
    @app.post('/v1/run')
    async def run() -> Response:
        try:
            order = codec.decode(request.headers.get(headers.RUN_ORDER, ''), RunOrder)
        except codec.DecodeError as error:
            return build_problem_response(CallFailure(ErrorKind.malformed_request, str(error)))
        response = await _run_order(sidecar, nursery, order)
        return _echo_in_problem(response, order.request)

    @app.get('/v1/runs/<request_id>/<int:attempt>/answer')
    async def read_response(request_id: str, attempt: int) -> Response:
        offset = request.args.get('offset', 0, type=int)
        found = sidecar.runs.find(request_id, attempt)
        if found is None:
            found = _resume_run(sidecar, nursery, offset)
        if found is None or offset < found.buffer.start_offset:
            expired = CallFailure(ErrorKind.answer_expired, 'no such run')
            return _echo_in_problem(build_problem_response(expired), request_id)
        response = await _respond_with_run(sidecar, found, request_id, offset=offset)
        return _echo_in_problem(response, request_id)

    @app.delete('/v1/runs/<request_id>/<int:attempt>')
    async def cancel(request_id: str, attempt: int) -> Response:
        found = sidecar.runs.find(request_id, attempt)
        # Calls to a plain service are left to end, as in `SidecarRuns.expire_runs`.
        if found is not None and sidecar.sidecar_settings.kind == 'engine':
            found.scope.cancel()
        return Response(b'', status=204)


def _add_observability_routes(app: QuartTrio, sidecar: Sidecar) -> None:
    @app.get('/metrics')
    async def metrics() -> Response:
        sidecar.metrics.window.set({}, sidecar.window.limit)
        body, response_headers = sidecar.metrics.render(request.headers.getlist('Accept'))
        return Response(body, headers=response_headers)

    @app.get('/live')
    async def live() -> Response:
        return Response(b'live\n')

    @app.get('/ready')
    async def ready() -> Response:
        refused = sidecar.check_admission()
        return Response(b'ready\n') if refused is None else build_problem_response(refused)


def _echo_in_problem(response: Response, request_id: str) -> Response:
    """Adds the request identifier to a response that is an error of the sidecar itself."""
    if headers.REQUEST_ECHO not in response.headers:
        response.headers[headers.PROBLEM_ECHO] = request_id
    return response


async def _run_order(sidecar: Sidecar, nursery: trio.Nursery, order: RunOrder) -> Response:
    body = await read_body()
    span = start_span(
        sidecar.tracer,
        'sidecar.run',
        order.traceparent,
        request=order.request,
        account=order.account,
        pool=order.pool,
    )
    try:
        traced = attrs.evolve(order, traceparent=to_traceparent(span))
        return await _start_run(sidecar, nursery, traced, body)
    finally:
        span.end()


async def _start_run(
    sidecar: Sidecar,
    nursery: trio.Nursery,
    order: RunOrder,
    body: bytes,
) -> Response:
    """Starts a run, or joins that of the same idempotent call, and returns its response."""
    if order.idempotency_key:
        joined = sidecar.runs.find_idempotent(order)
        if joined is not None:
            return await _respond_with_run(sidecar, joined, order.request)
    if order.isolated:
        slot = await sidecar.scheduler.admit_isolated(order.account)
    else:
        slot = sidecar.scheduler.admit(order.account, order.grant)
    if isinstance(slot, CallFailure):
        return build_problem_response(slot)
    run = sidecar.runs.create(order, body, slot)
    nursery.start_soon(sidecar.runs.execute, run)
    return await _respond_with_run(sidecar, run, order.request)


def _resume_run(sidecar: Sidecar, nursery: trio.Nursery, offset: int) -> Run | None:
    """Resumes the stream of a request that was sent to the engine but is not among the runs.

    An earlier sidecar process may have sent it, or its run has expired here. The run order comes
    with the router's request, and nothing else is checked: the engine tells whether it has the
    stream.

    Returns:
        The new run, or None if the endpoint is no engine, the sidecar is shutting down, the
        caller asked for no stream or there is no valid run order.
    """
    if sidecar.sidecar_settings.kind != 'engine' or sidecar.is_stopping:
        return None
    try:
        order = codec.decode(request.headers.get(headers.RUN_ORDER, ''), RunOrder)
    except codec.DecodeError:
        return None
    if not order.is_stream:
        return None
    slot: Slot = sidecar.scheduler.admit_resumed(order.account)
    run = sidecar.runs.create(order, b'', slot, start=offset)
    nursery.start_soon(sidecar.runs.resume, run)
    return run


async def _respond_with_run(
    sidecar: Sidecar,
    run: Run,
    request_id: str,
    *,
    offset: int = 0,
) -> Response:
    """Returns the response of a run.

    The router counts as a reader until the response is returned; while its body is streamed,
    `_read_chunks` counts it.
    """
    run.readers += 1
    try:
        return await _build_response(sidecar, run, request_id, offset)
    finally:
        run.readers -= 1
        run.last_read_at = trio.current_time()


async def _build_response(
    sidecar: Sidecar,
    run: Run,
    request_id: str,
    offset: int,
) -> Response:
    # Waits for the first content or the end, not only for the head, so that a response that fails
    # before any content is reported as a problem document.
    await run.buffer.wait_content()
    failure = run.buffer.failure
    # The reader already has every byte received, so only the failure is left to report.
    if failure is not None and offset >= run.buffer.end_offset:
        return build_problem_response(failure)
    head = await run.buffer.wait_head()
    if isinstance(head, CallFailure):
        return build_problem_response(head)
    response_headers = {
        headers.REQUEST_ECHO: request_id,
        headers.ENDPOINT_HEADERS_HEADER: codec.encode_header(head.headers),
        'Content-Type': head.content_type,
    }
    if head.is_stream and sidecar.sidecar_settings.kind == 'engine':
        chunks = _read_chunks(sidecar, run, offset)
        return build_stream_response(chunks, status=head.status, headers=response_headers)
    await run.buffer.wait_finished()
    if run.buffer.failure is not None:
        return build_problem_response(run.buffer.failure)
    if offset < run.buffer.start_offset:
        return build_problem_response(
            CallFailure(ErrorKind.answer_cut, 'larger than this sidecar keeps')
        )
    content = run.buffer.content[offset - run.buffer.start_offset :]
    return Response(content, status=head.status, headers=response_headers)


async def _read_chunks(sidecar: Sidecar, run: Run, offset: int) -> AsyncIterator[bytes]:
    flush_interval = (
        sidecar.sidecar_settings.flush_interval_milliseconds / _MILLISECONDS_PER_SECOND
    )
    run.readers += 1
    try:
        async for chunk in run.buffer.read(
            offset,
            flush_interval_seconds=flush_interval,
            clock=trio.current_time,
        ):
            yield chunk
    finally:
        run.readers -= 1
        run.last_read_at = trio.current_time()


async def run_sidecar(settings: ProcessSettings) -> None:
    """Runs a sidecar until SIGTERM or SIGINT, then waits for its runs to end.

    Args:
        settings: Settings with a section [sidecar].
    """
    sidecar = Sidecar.from_settings(settings)
    with catch_stop_signals() as wait_for_stop:
        async with trio.open_nursery() as nursery:
            app = create_app(sidecar, nursery)
            server = Server(
                app,
                settings.instance,
                settings.tls,
                maximum_header_bytes=_MAXIMUM_HEADER_BYTES,
            )
            address = await server.start(nursery)
            sidecar.identity.address = address
            await sidecar.start_tasks(nursery)
            _log.info('listening', address=address, role='sidecar', sidecar=sidecar.incarnation)
            await wait_for_stop()
            sidecar.is_stopping = True
            _log.info('draining')
            is_clean = await drain(
                lambda: sidecar.runs.is_idle,
                timeout_seconds=settings.instance.shutdown_timeout_seconds,
            )
            _log.info('stopped', clean=is_clean)
            server.stop()
            nursery.cancel_scope.cancel()
