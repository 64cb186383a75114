"""Steps for requests that pass through router, sidecar and endpoint."""

import time
import uuid

import httpx
import orjson
from behave import given, then, when

from emulator.callers import CHAT, Answer, authorization, call, chat, run_concurrently, send
from emulator.process import wait_until

_VALID_BODY = {'model': 'stylist', 'messages': [{'role': 'user', 'content': 'hello'}]}


@given('the shared fleet')
def use_shared_fleet(context):
    context.fleet = context.shared_fleet


def _find_router_address(context, name):
    return context.fleet.processes[name].address


@when('the account {account} streams a chat of {tokens:d} tokens through {name}')
def stream_chat(context, account, tokens, name):
    context.answer = chat(_find_router_address(context, name), account, tokens=tokens)


@when(
    'the account {account} requests a chat of {tokens:d} tokens without streaming through {name}'
)
def request_chat(context, account, tokens, name):
    context.answer = chat(
        _find_router_address(context, name), account, tokens=tokens, stream=False
    )


@when('the account {account} sends the request {method} {path} through {name}')
def send_request(context, account, method, path, name):
    url = _find_router_address(context, name) + path
    context.answer = send(Answer('none'), method, url, authorization(account), b'', 30)


@then('the response is complete and belongs to the request')
def check_complete(context):
    assert context.answer.is_whole, context.answer
    assert context.answer.received == context.answer.expected, context.answer


@then('the status is {status:d}')
def check_status(context, status):
    assert context.answer.status == status, context.answer


@then('the trace named in the response has spans of router, sidecar and endpoint')
def check_trace(context):
    trace = context.answer.headers['traceparent'].split('-')[1]

    def read_span_names():
        lines = (context.fleet.folder / 'traces.jsonl').read_text().splitlines()
        spans = [orjson.loads(line) for line in lines if trace in line]
        return {span['name'] for span in spans}

    wait_until(
        lambda: read_span_names() == {'router.request', 'sidecar.run', 'sidecar.endpoint'},
        seconds=5,
        what=str(read_span_names()),
    )


@when('a caller sends an invalid request, {case}, through {name}')
def send_invalid(context, case, name):
    credentials = authorization('mothers')
    context.answer = Answer(uuid.uuid4().hex)
    body = {**_VALID_BODY, 'emulator': {'nonce': context.answer.nonce}}
    nonce_only = {'nonce': context.answer.nonce}
    requests = {
        'malformed JSON': (CHAT, credentials, b'{"model": '),
        'no messages': (CHAT, credentials, {'model': 'stylist'}),
        'unknown model': (CHAT, credentials, {**body, 'model': 'nobody'}),
        'unknown service': ('/services/nobody/x', credentials, nonce_only),
        'forbidden pool': ('/services/orders/x', authorization('partner'), nonce_only),
        'no credential': (CHAT, {}, body),
        'wrong secret': (CHAT, authorization('mothers', 'guess'), body),
        'unknown account': (CHAT, authorization('nobody'), body),
        'retired account': (CHAT, authorization('closed'), body),
        'body too large': (CHAT, credentials, b'x' * (8388608 + 1)),
        'no key': ('/services/orders/charges', credentials, nonce_only),
    }
    path, headers, content = requests[case]
    url = _find_router_address(context, name) + path
    send(context.answer, 'POST', url, headers, content, 30)


@then('the problem is {kind} and the request was not executed')
def check_problem(context, kind):
    assert context.answer.problem.get('kind') == kind, context.answer
    assert context.answer.problem['ran'] == 'no', context.answer


@then('no endpoint received the request')
def check_not_received(context):
    for process in ('engines', 'services'):
        for url in context.fleet.processes[process].addresses:
            assert context.answer.nonce not in httpx.get(url + '/stats').text


@when('the account {account} sends a header block over the limit through {name}')
def send_large_headers(context, account, name):
    headers = {**authorization(account), 'X-Padding': 'x' * 20000}
    url = _find_router_address(context, name) + CHAT
    context.answer = send(Answer('none'), 'POST', url, headers, _VALID_BODY, 30)


@given('the account {account} sent a call with an idempotency key through {name}')
def send_call_with_key(context, account, name):
    context.idempotency_key = uuid.uuid4().hex
    context.first_answer = call(
        _find_router_address(context, name), account, key=context.idempotency_key
    )
    assert context.first_answer.status == 200, context.first_answer


@given(
    'the account {account} sent a call with an idempotency key and a response of {size:d} '
    'bytes through {name}'
)
def send_call_with_large_response(context, account, size, name):
    context.idempotency_key = uuid.uuid4().hex
    context.pad = size
    context.first_answer = call(
        _find_router_address(context, name), account, key=context.idempotency_key, pad=size
    )
    assert context.first_answer.status == 200, context.first_answer
    # The outcome is recorded only after the response was sent; a repeat needs it.
    stats = context.fleet.platform + '/counts'
    wait_until(
        lambda: httpx.get(stats).json().get('object_writes'),
        seconds=5,
        what='the platform received no object',
    )
    time.sleep(0.2)


@when('the account {account} sends another body with that key through {name}')
def send_other_body(context, account, name):
    context.answer = call(
        _find_router_address(context, name), account, key=context.idempotency_key
    )


@when('the account {account} repeats that call through {name}')
def repeat_call(context, account, name):
    options = {'pad': context.pad} if hasattr(context, 'pad') else {}
    context.answer = call(
        _find_router_address(context, name),
        account,
        key=context.idempotency_key,
        nonce=context.first_answer.nonce,
        **options,
    )


@then('the response equals the first one')
def check_equal_response(context):
    assert context.answer.text == context.first_answer.text, context.answer


@then('the services executed the call once')
def check_executed_once(context):
    effects = []
    for url in context.fleet.processes['services'].addresses:
        effects += httpx.get(url + '/stats').json()['effects']
    assert [effect['nonce'] for effect in effects].count(context.first_answer.nonce) == 1


@when('the account {account} sends {count:d} chats of {tokens:d} tokens at once through {name}')
def send_chats_at_once(context, account, count, tokens, name):
    address = _find_router_address(context, name)
    context.answers = run_concurrently(count, lambda _: chat(address, account, tokens=tokens))


@then('some are refused as {kind} with Retry-After')
def check_some_refused(context, kind):
    refused = [answer for answer in context.answers if answer.status != 200]
    assert refused, context.answers
    for answer in refused:
        assert answer.problem['kind'] == kind, answer
        assert int(answer.headers['retry-after']) > 0, answer


@then('every other response is complete')
def check_other_responses(context):
    served = [answer for answer in context.answers if answer.status == 200]
    assert served
    for answer in served:
        assert answer.is_whole and answer.received == answer.expected, answer


@when("a process without the fleet's key sends a heartbeat, a run order and a grant offer")
def send_without_fleet_key(context):
    sidecar = context.fleet.processes['engine-0'].address
    urls = [
        sidecar + '/v1/heartbeat',
        sidecar + '/v1/run',
        _find_router_address(context, 'router-0') + '/v1/grants',
    ]
    context.answers = [send(Answer('none'), 'POST', url, {}, b'{}', 5) for url in urls]


@then('each is refused as unauthenticated')
def check_unauthenticated(context):
    for answer in context.answers:
        assert answer.status == 401, answer


@when('the account {account} sends a call with X-Caller-Note to {path} through {name}')
def send_call_with_note(context, account, path, name):
    url = '{0}/services/orders/{1}'.format(_find_router_address(context, name), path)
    headers = {
        **authorization(account),
        'Idempotency-Key': uuid.uuid4().hex,
        'X-Caller-Note': 'hello',
    }
    context.answer = send(Answer('noted'), 'POST', url, headers, {'nonce': 'noted'}, 30)


@then("the response has the service's headers, the note and the path")
def check_headers(context):
    headers = context.answer.headers
    assert headers['location'].startswith('/receipts/'), headers
    assert headers['x-echo'] == 'hello', headers
    # The emulated service decodes the path. Had it been decoded before, the additional separator
    # would have led to another route.
    assert orjson.loads(context.answer.text)['path'] == 'charges/may', context.answer
    assert 'authorization' not in headers
