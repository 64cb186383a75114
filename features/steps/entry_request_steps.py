"""Steps for what an entry instance makes of a request: its headers, its account, its bytes."""

from behave import then, when

from emulator.caller_exchange import exchange
from features.steps.entry_steps import _run_on_fleet, check_not_run

_FORGED_HEADERS = '\r\n'.join(
    ('X-Tenant: partner', 'X-Expect-Instance: other', 'X-Hold: 1', 'X-Pin-Ms: 9', 'X-Own: kept')
)


@when('a caller posts to "{path}" with headers that only the system may set')
def post_forged(context, path):
    _run_on_fleet(context, lambda fleet: fleet.call(path, content=b'body', more=_FORGED_HEADERS))


@when('a caller posts to "{path}" on host "{host}" with key "{key}"')
def post_with_credentials(context, path, host, key):
    key = '' if key == 'none' else key
    _run_on_fleet(context, lambda fleet: fleet.call(path, host=host, key=key))


_REQUEST_HEAD = 'POST /a HTTP/1.1\r\nHost: models.example\r\nX-Attempt-Id: a1\r\n'


_HIDDEN_REQUEST = '0\r\n\r\nPOST /a HTTP/1.1\r\n'


_INVALID_REQUESTS = {
    'two different lengths': _REQUEST_HEAD + 'Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd',
    'a length and chunks': _REQUEST_HEAD
    + 'Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
    'an unknown transfer coding': _REQUEST_HEAD + 'Transfer-Encoding: xchunked\r\n\r\n',
    'a space before the colon': 'POST /a HTTP/1.1\r\nHost : models.example\r\n\r\n',
    'no host': 'POST /a HTTP/1.1\r\nContent-Length: 0\r\n\r\n',
    'a second request hidden in a chunk': _REQUEST_HEAD
    + 'Transfer-Encoding: chunked\r\n\r\nzz\r\n'
    + _HIDDEN_REQUEST,
    'a body over the limit': _REQUEST_HEAD + 'Content-Length: 20001\r\n\r\n',
    'headers over the limit': _REQUEST_HEAD + 'X-Long: {0}\r\n\r\n'.format('x' * 5000),
    'half a head and then nothing': _REQUEST_HEAD,
}


@when('a connection sends {description}')
def send_invalid_request(context, description):
    raw = _INVALID_REQUESTS[description].encode()
    _run_on_fleet(context, lambda fleet: exchange(fleet.settings[0].caller_address, raw))


@then('the endpoint of "orders" ran exactly that request, with the account added and no key')
def check_forwarded(context):
    backends = context.entry_fleet.backends
    assert not backends['g'].requests
    (request,) = backends['o'].requests
    assert (request.method, request.target) == (b'POST', b'/orders/7?x=1'), request
    assert request.content == b'body', request
    fields = {name.lower().decode(): text.decode() for name, text in request.fields}
    assert fields['x-tenant'] == 'mothers', fields
    assert fields['x-expect-instance'] == 'o', fields
    assert fields['x-own'] == 'kept', fields
    assert not {'authorization', 'x-hold', 'x-pin-ms'} & set(fields), fields
    assert 1500 < int(fields['x-deadline-ms']) <= 2000, fields


@then("the caller got the endpoint's complete response")
def check_answer(context):
    reply = context.result
    assert reply.status == 200 and reply.is_whole, reply
    assert reply.content == b'answer of o', reply
    assert reply.fields['x-server-signature'] == 'o', reply


@then('it is answered {status:d}, the connection is closed, and no endpoint ran it')
def check_refused_and_closed(context, status):
    check_not_run(context, status)
    assert context.result.fields.get('connection') == 'close', context.result
