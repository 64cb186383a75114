"""Steps for answers of sidecars that routers get."""

import random
from types import SimpleNamespace

import trio
from behave import given, then, when
from quart_trio import QuartTrio

from emulator.scripted_server import ECHO, ScriptedAnswer, ScriptedServer, answer, broken_off
from features.steps.role_responses_steps import _send_calls, build_order
from features.steps.role_value_steps import build_sidecar
from fireflymux._settings_generated import FleetSettings, TlsSettings
from fireflymux.decisions.crash_registry import CrashRegistry
from fireflymux.errors import CallFailure, ErrorKind, ExecutionStatus, to_problem
from fireflymux.messages import LiveInstance, RunOrder
from fireflymux.observability.metrics import Metrics
from fireflymux.router import run_client
from fireflymux.router.backlog import Backlog, Placement
from fireflymux.router.caller_requests import CallerRequest
from fireflymux.router.dispatch import DispatchContext, Dispatcher
from fireflymux.router.placement import Placer
from fireflymux.router.run_client import BufferedResponse, RunClient, StreamedResponse, is_complete
from fireflymux.router.sidecar_peer import SidecarPeer
from fireflymux.sidecar.sidecar_app import create_app
from fireflymux.web.http_clients import FleetClients
from fireflymux.web.responses import build_problem_response
from fireflymux.wire import codec, headers

_EVENT = b'data: {"id": 0}\n\n'
_ECHO = (headers.REQUEST_ECHO.encode(), b'request')
_STREAM = b'text/event-stream'


class _NoPeers:
    def find(self, _address):
        return None


def _receive(context, answers, orders=None):
    """Sends run orders to a scripted sidecar one by one, and reads what answers the last one."""

    async def run():
        async with trio.open_nursery() as nursery:
            echoed = headers.EXCHANGE.lower().encode()
            context.server = await ScriptedServer.start(nursery, answers, echoed)
            client = RunClient(
                FleetClients(FleetSettings(key='key'), TlsSettings()), _NoPeers(), Metrics()
            )
            placement = Placement(context.server.url, 'sidecar')
            for order in orders or [build_order()]:
                context.result = await client.send_order(placement, order, b'{}')
            if isinstance(context.result, StreamedResponse):
                stream = client.read_stream(context.result)
                context.received = [chunk async for chunk in stream]
            nursery.cancel_scope.cancel()

    context.closers.append(_shorten_resumes())
    trio.run(run)


def _shorten_resumes():
    seconds = run_client._RESUME_TIMEOUT_SECONDS
    run_client._RESUME_TIMEOUT_SECONDS = 0.5

    def restore():
        run_client._RESUME_TIMEOUT_SECONDS = seconds

    return restore


@given('a sidecar that breaks off every transfer of a stream')
def prepare_broken_transfers(context):
    context.answers = [broken_off(200, _EVENT, _STREAM, [_ECHO])]


@given('a sidecar of a plain service that answered with events and no end marker')
def prepare_service_events(context):
    stated = (headers.ENDPOINT_HEADERS_HEADER.encode(), b'{"x-note": "1"}')
    context.answers = [answer(200, _EVENT, _STREAM, [_ECHO, stated])]


@given('a sidecar whose answers state unreadable headers of the endpoint')
def prepare_unreadable_headers(context):
    prepare_stated_headers(context, '{"x-note": ')


@given('a sidecar whose answers state {text} as the headers of the endpoint')
def prepare_stated_headers(context, text):
    stated = (headers.ENDPOINT_HEADERS_HEADER.encode(), text.encode())
    context.answers = [answer(200, b'{}', fields=[_ECHO, stated])]


@when('a router reads the stream to its end')
@when('a router sends it a call')
def receive(context):
    _receive(context, context.answers)


@then('the sidecar was asked for {count:d} transfers and the stream is not whole')
def check_transfers(context, count):
    assert len(context.server.requests) == count, len(context.server.requests)
    assert not is_complete(context.result)


@then('the router has the whole response with the headers of the service')
def check_service_response(context):
    expected = BufferedResponse(200, 'text/event-stream', _EVENT, {'x-note': '1'})
    assert context.result == expected, context.result


@then('the router reports that the outcome is unknown')
def check_unknown_outcome(context):
    assert getattr(context.result, 'kind', None) is ErrorKind.outcome_unknown, context.result


@given('failures of every kind of requests that ran or may have run')
def prepare_failures(context):
    context.failures = [
        CallFailure(kind, '', ran)
        for kind in ErrorKind
        for ran in (ExecutionStatus.yes, ExecutionStatus.unknown)
    ]


@when('a role answers with them')
def build_responses(context):
    async def run():
        async with QuartTrio('role').app_context():
            return [build_problem_response(failure).status_code for failure in context.failures]

    context.statuses = trio.run(run)


@then('no status is 408, 421, 429 or 503')
def check_statuses(context):
    found = dict(zip(context.failures, context.statuses))
    broken = [failure for failure, status in found.items() if status in {408, 421, 429, 503}]
    assert not broken, broken


@given('a sidecar and a plain service that answer')
def prepare_answers(context):
    context.kind = 'service'
    context.answers = [answer(200, b'{}', fields=[_ECHO])]


@when('a router passes on a call with the header value "{text}" and the key "{key}"')
def pass_on(context, text, key):
    order = build_order(headers={'x-note': text}, idempotency_key=key, content_type=text)
    _receive(context, context.answers, [order])
    head = context.server.requests[0].partition(b'\r\n\r\n')[0].decode('latin-1')
    fields = dict(line.split(': ', 1) for line in head.splitlines()[1:])
    stated = {name.lower(): value for name, value in fields.items()}[headers.RUN_ORDER.lower()]
    _send_calls(context, context.kind, [codec.decode(stated, RunOrder)])


@then("the service gets both in the caller's encoding")
def check_encoding(context):
    request = context.server.requests[0].lower()
    assert 'x-note: café'.encode('latin-1') in request, request
    assert 'idempotency-key: clé'.encode('latin-1') in request, request
    assert 'content-type: café'.encode('latin-1') in request, request


@given('a sidecar that writes the refusal of another request before its answer')
def prepare_other_refusal(context):
    document = codec.encode(to_problem(CallFailure(ErrorKind.sidecar_busy)))
    echo = [(headers.PROBLEM_ECHO.encode(), b'another')]
    refusal = answer(503, document, headers.PROBLEM_JSON.encode(), echo)
    own = answer(200, b'{"own": 1}', fields=[_ECHO])
    context.answers = [ScriptedAnswer(refusal.content + own.content), own]


@then('the router has the answer to its own call')
def check_own_answer_at_router(context):
    assert getattr(context.result, 'body', None) == b'{"own": 1}', context.result


_EXCHANGE = (headers.EXCHANGE.encode(), ECHO)


@given('a sidecar that writes its refusal of the first attempt of a request twice')
def prepare_repeated_refusal(context):
    document = codec.encode(to_problem(CallFailure(ErrorKind.sidecar_busy)))
    echoes = [(headers.PROBLEM_ECHO.encode(), b'request'), _EXCHANGE]
    refusal = answer(503, document, headers.PROBLEM_JSON.encode(), echoes)
    own = answer(200, b'{"own": 1}', fields=[_ECHO, _EXCHANGE])
    context.answers = [ScriptedAnswer(refusal.content * 2), own]


@when('a router sends it two attempts of the request one after the other')
def send_attempts(context):
    _receive(context, context.answers, [build_order(attempt=1), build_order(attempt=2)])


@given('a sidecar that writes the first of two transfers of a stream twice')
def prepare_repeated_transfer(context):
    fields = [_ECHO, _EXCHANGE]
    first = broken_off(200, _EVENT, _STREAM, fields).content + b'0\r\n\r\n'
    rest = broken_off(200, headers.STREAM_END, _STREAM, fields)
    context.answers = [ScriptedAnswer(first * 2), rest]


@then('the router has the events of both transfers, each once')
def check_transfers_once(context):
    assert b''.join(context.received) == _EVENT + headers.STREAM_END, context.received


@given('a sidecar without a configuration')
def prepare_unconfigured_sidecar(context):
    context.sidecar = build_sidecar


@when(
    "it gets a run order, one without the fleet's key, one that is unreadable and one of no route"
)
def send_refused_orders(context):
    order = {headers.RUN_ORDER: codec.encode_header(build_order())}
    key = {'Authorization': 'Bearer key'}
    requests = [
        ('/v1/run', {**order, **key}),
        ('/v1/run', order),
        ('/v1/run', {**key, headers.RUN_ORDER: '{'}),
        ('/v1/odd', key),
    ]

    async def run():
        async with trio.open_nursery() as nursery:
            client = create_app(context.sidecar(), nursery).test_client()
            context.responses = [
                await client.post(path, headers={**fields, headers.EXCHANGE: str(number)})
                for number, (path, fields) in enumerate(requests)
            ]

    trio.run(run)


@then('each response has the identifier of its exchange')
def check_exchanges(context):
    statuses = [response.status_code for response in context.responses]
    assert statuses == [503, 401, 400, 404], statuses
    exchanges = [response.headers.get(headers.EXCHANGE) for response in context.responses]
    assert exchanges == ['0', '1', '2', '3'], exchanges


class _RefusingClient:
    """Stands in for the client of sidecars: refuses the first run order."""

    def __init__(self, refusal):
        self.refusal = refusal
        self.orders = []

    async def send_order(self, _placement, order, _body):
        self.orders.append(order)
        if len(self.orders) == 1:
            return self.refusal
        return BufferedResponse(200, 'text/plain', b'', {})


@given(
    'a router whose sidecar refuses a call that may not be repeated as {kind}, '
    'and that it ran is {ran}'
)
def prepare_refusing_sidecar(context, kind, ran):
    refusal = CallFailure(ErrorKind(kind), '', ExecutionStatus(ran))
    context.run_client = _RefusingClient(refusal)


def _ignore(*_arguments, **_options):
    """Does nothing."""


@when('a caller sends the call')
def send_unrepeatable_call(context):
    peer = SidecarPeer(
        LiveInstance(name='s', role='sidecar', address='http://s:1', failure_domain='a'),
        sidecar_id='sidecar',
        free_slots=2,
    )
    peers = SimpleNamespace(
        pools=set(),
        list_sidecars=lambda _pool: [peer],
        accepts_work=lambda _peer: True,
        # The refusal leaves the free slots as they are, so that no heartbeat is needed.
        find=lambda _address: None,
        trigger_heartbeats=_ignore,
    )
    rng = random.Random(1)
    dispatcher = Dispatcher(
        DispatchContext(
            router_id='router',
            peers=peers,
            placer=Placer(Backlog(get_concurrency_limit=lambda _account: 9), peers, rng=rng),
            crashes=CrashRegistry(clock=trio.current_time),
            run_client=context.run_client,
            metrics=Metrics(),
            rng=rng,
            retry_limit=3,
            get_config_version=lambda: 1,
        )
    )
    request = CallerRequest(
        contract=SimpleNamespace(account='families'),
        pool='bookings',
        method='POST',
        path='/charges',
        body=b'',
        content_type='text/plain',
        idempotency_key='',
        may_repeat=False,
        is_stream=False,
        timeout_seconds=2,
        traceparent='',
    )

    async def run():
        context.result = await dispatcher.send(request, '')

    trio.run(run)


@then('the sidecar gets it {count:d} times and the caller is told {status:d}')
def check_orders(context, count, status):
    assert len(context.run_client.orders) == count, context.run_client.orders
    assert context.result.status == status, context.result
