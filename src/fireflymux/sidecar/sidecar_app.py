"""HTTP interface of a sidecar for routers, and the process that serves it.

Routers send heartbeats and run orders, and read or cancel the responses of their orders. The response
to a run order is the endpoint's, or an error of the sidecar itself.
"""

from collections.abc import AsyncIterator

import attrs
import trio
from quart import Response, request
from quart_trio import QuartTrio

from ..errors import CallFailure, ErrorKind
from ..messages import Heartbeat, RunOrder
from ..observability.logs import get_logger
from ..observability.tracing import start_span, to_traceparent
from ..settings import ProcessSettings
from ..web.credentials import has_fleet_key
from ..web.observability_routes import OBSERVABILITY_PATHS, add_observability_routes
from ..web.responses import (
    build_message_response,
    build_problem_response,
    build_stream_response,
    read_body,
)
from ..web.server import Server, catch_stop_signals, drain
from ..wire import codec, headers
from .grants import Slot
from .sidecar import Sidecar
from .sidecar_runs import Run

_log = get_logger(__name__)
_MAXIMUM_HEADER_BYTES = 65536
_MILLISECONDS_PER_SECOND = 1000


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
    _add_exchange_echo(app)
    _add_run_routes(app, sidecar, nursery)
    add_observability_routes(
        app,
        sidecar.metrics,
        update_gauges=lambda: sidecar.metrics.window.set({}, sidecar.window.limit),
        check_readiness=sidecar.check_admission,
    )

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
        if request.path in OBSERVABILITY_PATHS:
            return None
        key = sidecar.settings.fleet.key
        if has_fleet_key(request.headers.get('Authorization', ''), key):
            return None
        return build_problem_response(CallFailure(ErrorKind.unauthenticated))


def _add_exchange_echo(app: QuartTrio) -> None:
    @app.after_request
    async def echo_exchange(response: Response) -> Response:
        if headers.EXCHANGE in request.headers:
            response.headers[headers.EXCHANGE] = request.headers[headers.EXCHANGE]
        return response


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
