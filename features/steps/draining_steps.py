"""Steps for endpoints and processes that leave."""

import threading
import time

import httpx
import trio
from behave import given, then, when

from emulator.backend import Backend
from emulator.callers import CHAT, Answer, authorization, chat, send
from emulator.entry_fleet import free_port
from emulator.fleet import FLEET_KEY
from emulator.process import wait_until
from emulator.small_fleet import histories, start_small_fleet
from fireflymux.entry.listeners import Listener
from fireflymux.errors import CallFailure, ErrorKind, ExecutionStatus
from fireflymux.http.messages import HttpLimits
from fireflymux.messages import RunOrder
from fireflymux.sidecar.endpoint_call import EndpointCall, EndpointClient
from fireflymux.sidecar.response_buffer import ResponseBuffer
from fireflymux.wire import codec
from fireflymux.wire.headers import RUN_ORDER


@given('a small fleet whose live list lags by {seconds:d} seconds')
def start_with_lagging_list(context, seconds):
    context.fleet = start_small_fleet(live_lag=0.2)
    context.closers.append(context.fleet.close)
    # While the list is down, its readers keep the last content: it lags for the whole scenario.
    context.fleet.set_fault('live', 'down')


def _stream_continuously(context, routers):
    context.answers = []
    context.stop = threading.Event()

    def stream_chats(number):
        address = context.fleet.processes[routers[number % len(routers)]].address
        while not context.stop.is_set():
            answer = chat(address, 'families', tokens=40, model='farewell')
            context.answers.append(answer)

    threads = [threading.Thread(target=stream_chats, args=(number,)) for number in range(12)]
    for thread in threads:
        thread.start()

    def stop_streams():
        context.stop.set()
        for thread in threads:
            thread.join()

    context.stop_streams = stop_streams
    context.closers.append(stop_streams)
    time.sleep(1)


@given('callers stream chats continuously')
def stream_everywhere(context):
    _stream_continuously(context, ('router-0', 'router-1'))


@given('callers stream chats continuously through {name}')
def stream_through(context, name):
    _stream_continuously(context, (name,))


def _announce(context, state):
    completed = context.fleet.run_operator_command('endpoint', 'announce', 'engine-0', state)
    assert completed.returncode == 0, completed
    context.announced_at = time.monotonic()


@when('engine-0 is announced as leaving')
def announce(context):
    _announce(context, 'leaving')


@when('engine-0 is frozen while it is announced as leaving, and resumes {seconds:d} seconds later')
def announce_frozen(context, seconds):
    process = context.fleet.processes['engine-0']
    process.freeze()
    _announce(context, 'leaving')
    time.sleep(seconds)
    context.started_before = _count_started(context)
    process.thaw()


def _count_started(context):
    url = context.fleet.processes['engines'].addresses[0]
    return len(httpx.get(url + '/stats').json()['history'])


@then('engine-0 starts no request later than {seconds:d} seconds after the announcement')
def check_drained(context, seconds):
    time.sleep(max(0, context.announced_at + seconds - time.monotonic()))
    before = getattr(context, 'started_before', None)
    if before is None:
        before = _count_started(context)
    time.sleep(4)
    assert _count_started(context) == before, (before, _count_started(context))


@then('every response was complete')
def check_all_complete(context):
    context.stop_streams()
    assert len(context.answers) > 12
    for answer in context.answers:
        assert answer.is_whole and answer.received == answer.expected, answer


@when('engine-0 gets SIGTERM')
def stop_sidecar(context):
    context.stopped = context.fleet.processes['engine-0']
    context.stopped.terminate()


@when('router-0 gets SIGTERM during a stream of {tokens:d} tokens')
def stop_router(context, tokens):
    context.stopped = context.fleet.processes['router-0']
    answer = Answer('stopping', tokens=tokens, is_stream=True)
    body = {
        'model': 'farewell',
        'messages': [{'role': 'user', 'content': 'hello'}],
        'stream': True,
        'emulator': {'tokens': tokens, 'nonce': answer.nonce},
    }
    url = context.stopped.address + CHAT
    headers = authorization('families')
    thread = threading.Thread(target=lambda: send(answer, 'POST', url, headers, body, 60))
    thread.start()
    wait_until(
        lambda: answer.nonce in str(histories(context.fleet)),
        seconds=5,
        what='no engine started the request',
    )
    context.stopped.terminate()
    thread.join()
    context.answers.append(answer)


@then('the process exits with code {code:d}')
def check_exit(context, code):
    assert context.stopped.popen.wait(20) == code


@when('two operators announce engine-0 as leaving and as joined from the same version')
def announce_twice(context):
    context.outcomes = [
        context.fleet.run_operator_command(
            'endpoint', 'announce', 'engine-0', state, '--if-version', '0'
        )
        for state in ('leaving', 'joined')
    ]


@then('the first one is accepted and the other gets a conflict that names its version')
def check_first_accepted(context):
    codes = [completed.returncode for completed in context.outcomes]
    assert codes == [0, 3], context.outcomes
    assert 'is at version 3' in context.outcomes[1].stderr, context.outcomes


@when('{count:d} routers each get SIGTERM as soon as they listen')
def stop_on_listening(context, count):
    context.codes = []
    for number in range(count):
        process = context.fleet.start_router('router-brief-{0}'.format(number))
        process.terminate()
        context.codes.append(process.popen.wait(20))


@then('each exits with code {code:d}')
def check_codes(context, code):
    assert set(context.codes) == {code}, context.codes


def _hide_announcement(fleet):
    """Makes every source of the configuration fail, so that none tells who is leaving."""
    fleet.set_fault('table', 'down')
    for name in ('router-0', 'router-1'):
        fleet.processes[name].freeze()


@when(
    'a run order is sent to frozen engine-0, which is announced as leaving'
    ' and resumes {seconds:d} seconds later'
)
def send_to_frozen_sidecar(context, seconds):
    process = context.fleet.processes['engine-0']
    order = RunOrder(
        request='late',
        attempt=1,
        router='test',
        account='families',
        pool='farewell',
        method='POST',
        path=CHAT,
        fingerprint='late',
    )
    headers = {
        'Authorization': 'Bearer ' + FLEET_KEY,
        RUN_ORDER: codec.encode(order).decode(),
    }
    body = {'model': 'farewell', 'messages': [{'role': 'user', 'content': 'hello'}]}
    process.freeze()
    context.answer = Answer('late')
    url = process.address + '/v1/run'
    thread = threading.Thread(target=lambda: send(context.answer, 'POST', url, headers, body, 60))
    thread.start()
    _announce(context, 'leaving')
    time.sleep(seconds)
    _hide_announcement(context.fleet)
    process.thaw()
    thread.join()


@then('the order is refused as not run')
def check_order_refused(context):
    print('refused as', context.answer.problem.get('kind'), context.answer.problem.get('detail'))
    assert context.answer.problem.get('ran') == 'no', context.answer


@then('the engine of engine-0 never received it')
def check_order_not_received(context):
    url = context.fleet.processes['engines'].addresses[0]
    assert 'late' not in httpx.get(url + '/stats').text


@given("a stub endpoint and the sidecar's client for it")
def set_up_backend(context):
    context.backend = Backend('e0')
    context.address = '127.0.0.1:{0}'.format(free_port())


def _build_call():
    order = RunOrder(
        request='r1',
        router='router-0',
        fingerprint='f',
        attempt=1,
        grant='',
        account='families',
        pool='farewell',
        method='POST',
        path='/v1/chat/completions',
        content_type='application/json',
        config_version=1,
    )
    return EndpointCall(
        order=order,
        body=b'{}',
        buffer=ResponseBuffer(start=0, limit_bytes=1000),
        meter=lambda _cost: None,
        observe_first_token=lambda _seconds: None,
    )


async def _attempt_call(context, kind):
    refused = CallFailure(ErrorKind.sidecar_unconfirmed, 'the confirmation is too old')
    call = _build_call()
    listener = Listener(
        context.address, context.backend.respond, limits=HttpLimits, is_stopping=bool
    )
    async with trio.open_nursery() as nursery, httpx.AsyncClient() as client:
        await nursery.start(listener.run)
        endpoint = EndpointClient(
            client,
            'http://{0}'.format(context.address),
            check=lambda: refused,
            prompt_token_weight=0.1,
            cost_per_second=1.0,
        )
        await (endpoint.call_engine if kind == 'engine' else endpoint.call_service)(call)
        nursery.cancel_scope.cancel()
    return call.buffer.failure


@when('a call of kind "{kind}" is about to be sent and the confirmation has become too old')
def attempt_unconfirmed_call(context, kind):
    context.failure = trio.run(_attempt_call, context, kind)


@then('the call is refused as not run and the endpoint received nothing')
def check_call_refused(context):
    assert context.failure.kind is ErrorKind.sidecar_unconfirmed, context.failure
    assert context.failure.outcome is ExecutionStatus.no, context.failure
    assert not context.backend.requests, context.backend.requests
