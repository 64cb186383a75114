"""HTTP interface of a router for callers and the fleet, and the process that serves it.

The response to a caller is the endpoint's, or an error of the router itself. `dispatch` decides where
each request runs.
"""

from collections.abc import AsyncIterator

import orjson
import trio
from opentelemetry.trace import Span
from quart import Response, request
from quart_trio import QuartTrio
from werkzeug.exceptions import RequestEntityTooLarge

from ..errors import CallFailure, ErrorKind, to_problem
from ..messages import GrantOffer, GrantReply
from ..observability.logs import get_logger
from ..observability.tracing import start_span, to_traceparent
from ..settings import ProcessSettings
from ..store.config_reader import build_update
from ..web.credentials import has_fleet_key
from ..web.observability_routes import add_observability_routes
from ..web.responses import (
    build_message_response,
    build_problem_response,
    build_stream_response,
    read_body,
)
from ..web.server import Server, catch_stop_signals, drain
from ..wire import codec
from .backlog import Placement
from .caller_requests import CallerRequest, ReceivedRequest, authenticate, parse_request
from .event_buffer import EventBuffer
from .router import Router
from .run_client import BufferedResponse, StreamedResponse, is_complete

_log = get_logger(__name__)
#: Time for the load balancer to notice that a stopping router is not ready. The router already
#: refuses new requests during it.
_READINESS_DELAY_SECONDS = 1.0
#: Hypercorn's limit on header blocks, as a multiple of the router's own, so that the router can
#: send an error response for a block that is too large before Hypercorn cuts it off.
_LISTENER_HEADER_LIMIT_FACTOR = 4


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
    add_observability_routes(
        app,
        router.metrics,
        update_gauges=lambda: router.metrics.waiting.set({}, router.backlog.size),
        check_readiness=router.check_readiness,
    )
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
        account = router.placer.accept_grant(offer, placement)
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


async def _handle_request(router: Router) -> Response:
    failure = router.check_readiness()
    if failure is not None:
        return _build_failure_response(router, failure)
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
        router.placer.release_concurrency(caller_request.account)
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
        async for events in _read_events(router, stream):
            yield events
        result = 'whole' if is_complete(stream) else 'cut'
        if result == 'cut':
            router.dispatcher.record_stream_crash(stream)
            yield _build_error_event()
    finally:
        router.active_requests -= 1
        router.placer.release_concurrency(caller_request.account)
        router.metrics.requests.inc({'pool': caller_request.pool, 'result': result})
        span.end()
        if result == 'abandoned':
            with trio.CancelScope(shield=True):
                await router.run_client.cancel(stream.placement, stream.order)


async def _read_events(router: Router, stream: StreamedResponse) -> AsyncIterator[bytes]:
    """Reads a stream without the incomplete event that it breaks off in."""
    buffer = EventBuffer()
    async for chunk in router.run_client.read_stream(stream):
        events = buffer.add(chunk)
        if events:
            yield events
    if buffer.partial and is_complete(stream):
        yield buffer.partial


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
