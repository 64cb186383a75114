"""Steps for answers of endpoints, sidecars and the platform that routers and sidecars get."""

import tracemalloc

import trio
from behave import given, then, when

from emulator.scripted_server import ScriptedAnswer, ScriptedServer, answer, broken_off
from fireflymux._settings_generated import TlsSettings
from fireflymux.errors import ExecutionStatus
from fireflymux.messages import RunOrder
from fireflymux.sidecar.endpoint_call import EndpointCall, EndpointClient
from fireflymux.sidecar.response_buffer import ResponseBuffer
from fireflymux.web.http_clients import create_endpoint_client

_MEGABYTE = 1048576


def build_order(**members):
    return RunOrder(
        **{
            'request': 'request',
            'attempt': 1,
            'router': 'router',
            'account': 'families',
            'pool': 'pool',
            'method': 'POST',
            'path': '/v1/chat/completions',
            'fingerprint': 'fingerprint',
            **members,
        }
    )


def _send_calls(context, kind, orders, body=b'{}', **options):
    """Sends calls to a scripted endpoint one by one, as a sidecar does."""
    buffers = context.buffers = []

    async def run():
        async with trio.open_nursery() as nursery:
            server = context.server = await ScriptedServer.start(nursery, context.answers)
            async with create_endpoint_client(TlsSettings()) as client:
                endpoint = EndpointClient(
                    client,
                    server.url,
                    check=lambda: None,
                    prompt_token_weight=1.0,
                    cost_per_second=1.0,
                    **options,
                )
                send = endpoint.call_engine if kind == 'engine' else endpoint.call_service
                for order in orders:
                    buffer = ResponseBuffer()
                    buffers.append(buffer)
                    await send(EndpointCall(order, body, buffer, lambda _: None, lambda _: None))
            nursery.cancel_scope.cancel()

    trio.run(run)


@given('a {kind} that writes an earlier refusal once more behind its next answer')
def prepare_repeated_refusal(context, kind):
    context.kind = kind
    first = answer(200, b'{"first": 1}').content
    refusal = answer(503, b'full').content
    context.answers = [ScriptedAnswer(first + refusal), answer(200, b'{"own": 1}')]


@when('a sidecar sends it two calls one after the other')
def send_two_calls(context):
    orders = [build_order(request='first'), build_order(request='second')]
    _send_calls(context, context.kind, orders)


@then('the second call gets its own answer')
def check_own_answer(context):
    buffer = context.buffers[1]
    assert buffer.is_complete, buffer.failure
    assert buffer.content == b'{"own": 1}', buffer.content


_EVENTS = b'data: {"id": 0}\n\ndata: {"id": 1}\n\n'
_END = b'data: [DONE]\n\n'
_STREAM = b'text/event-stream'
_OTHER_ID = [(b'X-Request-Id', b'another.1')]
_BROKEN_STREAM = broken_off(200, _EVENTS, _STREAM)
_RESUMED = {
    'a success without events': answer(200, b'{"error": "gone"}'),
    'an error': answer(500, b'{"error": "gone"}'),
    "another request's stream": answer(200, _EVENTS + _END, _STREAM, _OTHER_ID),
    'nothing': ScriptedAnswer(b'', closes=True),
}
_PARTS = {'before the head': b'', 'within the body': b'{"id"'}


@given('an engine that breaks off a stream and answers the request for the rest with {name}')
def prepare_broken_stream(context, name):
    context.answers = [_BROKEN_STREAM, _RESUMED[name]]


@given('an engine that breaks off {part} and answers the request for the rest with a stream')
def prepare_broken_response(context, part):
    content = _PARTS[part]
    first = broken_off(200, content, b'application/json') if content else _RESUMED['nothing']
    context.answers = [first, answer(200, _EVENTS + _END, _STREAM)]


@when('a sidecar sends it a streaming call')
def send_streaming_call(context):
    _send_calls(context, 'engine', [build_order()], b'{"stream": true}')


@when('a sidecar sends it a call without streaming')
def send_plain_call(context):
    _send_calls(context, 'engine', [build_order(is_stream=False)])


@then('the response has the events before the break and is not complete')
def check_events_only(context):
    assert context.buffers[0].content == _EVENTS, context.buffers[0].content
    assert not context.buffers[0].is_complete


@then('the response is {part} and is not complete')
def check_part_only(context, part):
    assert context.buffers[0].content == _PARTS[part], context.buffers[0].content
    assert not context.buffers[0].is_complete


@given('a {kind} that sets a cookie in its answers')
def prepare_cookie(context, kind):
    context.kind = kind
    context.answers = [answer(200, b'{}', fields=[(b'Set-Cookie', b'session=first; Path=/')])]


@then('no call has a cookie')
def check_no_cookie(context):
    assert not [call for call in context.server.requests if b'session' in call]


@given('an engine that answers')
def prepare_engine(context):
    context.answers = [answer(200, _EVENTS + _END, _STREAM)]


@then('the call asks for no encoding')
def check_no_encoding(context):
    assert b'accept-encoding: identity' in context.server.requests[0].lower()


@when('a sidecar sends it a call of the path "{path}"')
def send_path(context, path):
    context.path = path
    _send_calls(context, context.kind, [build_order(path=path)])


@then('the endpoint gets that path')
def check_path(context):
    line = context.server.requests[0].split(b'\r\n')[0]
    assert line == b'POST %s HTTP/1.1' % context.path.encode(), line


@given('a {kind} that answers a call with a body of {megabytes:d} MB')
def prepare_large_body(context, kind, megabytes):
    context.kind = kind
    context.answers = [answer(200, b'x' * (megabytes * _MEGABYTE))]


@when('a sidecar that keeps 1 MB sends it a call with an Idempotency-Key')
def send_keyed_call(context):
    order = build_order(idempotency_key='key')
    tracemalloc.start()
    try:
        _send_calls(context, context.kind, [order], maximum_response_bytes=_MEGABYTE)
        context.allocated_megabytes = tracemalloc.get_traced_memory()[1] / _MEGABYTE
    finally:
        tracemalloc.stop()


@then('the call fails as "{kind}", may have run, and took at most {bound:d} MB')
def check_given_up(context, kind, bound):
    failure = context.buffers[0].failure
    assert failure is not None and failure.kind.value == kind, failure
    assert failure.outcome is ExecutionStatus.unknown, failure
    assert context.allocated_megabytes <= bound, context.allocated_megabytes
