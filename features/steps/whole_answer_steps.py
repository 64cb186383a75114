"""Steps for complete responses while sidecars and engines fail."""

import random
import threading
import time

import httpx
import orjson
from behave import given, then, when

from emulator.callers import (
    CHAT,
    Answer,
    authorization,
    chat,
    find_answer_violations,
    run_concurrently,
    send,
)
from emulator.process import wait_until
from emulator.small_fleet import histories, start_engine_sidecar, start_small_fleet
from features.steps.crash_steps import _hold_streams

#: Tokens at which a stream stays until its engine or sidecar has ended.
_HELD_TOKENS = 50


@given('a small fleet with fixed sidecar ports')
def start_with_fixed_ports(context):
    context.fleet = start_small_fleet(engines=1)
    context.closers.append(context.fleet.close)


def _stream(context, tokens, disturb):
    """Streams a chat and calls `disturb` with the name of its sidecar after a few tokens."""
    results = []

    def send_chat_request():
        results.append(
            chat(
                context.fleet.processes['router-0'].address,
                'families',
                tokens=tokens,
                model='farewell',
            )
        )

    thread = threading.Thread(target=send_chat_request)
    thread.start()
    names = [name for name in context.fleet.processes if name.startswith('engine-')]

    def find_serving_sidecar():
        for name in names:
            if context.fleet.metric(context.fleet.processes[name], 'running_requests'):
                return name
        return None

    name = wait_until(find_serving_sidecar, seconds=5, what='no sidecar runs the chat')
    time.sleep(0.3)
    disturb(name)
    thread.join(60)
    context.answer = results[0]


@when('a caller streams {tokens:d} tokens and the sidecar is frozen for {seconds:d} seconds')
def freeze_streaming(context, tokens, seconds):
    def disturb(name):
        context.fleet.processes[name].freeze()
        time.sleep(seconds)
        context.fleet.processes[name].thaw()

    _stream(context, tokens, disturb)


def _restart_streaming(context, tokens, seconds):
    def disturb(name):
        process = context.fleet.processes[name]
        port = process.address.rpartition(':')[2]
        process.kill()
        time.sleep(seconds)
        number = int(name.rpartition('-')[2])
        url = context.fleet.processes['engines'].addresses[number]
        context.fleet.listen_port = port
        start_engine_sidecar(context.fleet, number, url)
        context.fleet.listen_port = 0

    _stream(context, tokens, disturb)


@when('a caller streams {tokens:d} tokens and the sidecar is killed and restarted')
def restart_streaming(context, tokens):
    _restart_streaming(context, tokens, 0)


@when(
    'a caller streams {tokens:d} tokens and the sidecar is killed and restarted {seconds:g} '
    'seconds later'
)
def restart_streaming_late(context, tokens, seconds):
    _restart_streaming(context, tokens, seconds)


@when('a caller streams {tokens:d} tokens and the engine crashes')
def crash_streaming(context, tokens):
    def disturb(name):
        number = int(name.rpartition('-')[2])
        url = context.fleet.processes['engines'].addresses[number]
        httpx.post(url + '/crash')

    _hold_streams(context.fleet, _HELD_TOKENS)
    _stream(context, tokens, disturb)


@when('a caller streams {tokens:d} tokens and the sidecar is killed')
def kill_streaming(context, tokens):
    _hold_streams(context.fleet, _HELD_TOKENS)
    _stream(context, tokens, lambda name: context.fleet.processes[name].kill())


@then('the response ends with an explicit error')
def check_explicit_error(context):
    assert context.answer.status == 200, context.answer
    assert not context.answer.is_whole, context.answer
    assert 'event: error' in context.answer.text, context.answer
    received = context.answer.received
    assert received == context.answer.expected[: len(received)], context.answer


@when('a caller disconnects after the first of {tokens:d} tokens')
def disconnect(context, tokens):
    body = {
        'model': 'farewell',
        'messages': [{'role': 'user', 'content': 'hello'}],
        'stream': True,
        'emulator': {'tokens': tokens, 'nonce': 'leaver'},
    }
    url = context.fleet.processes['router-0'].address + CHAT
    with httpx.stream(
        'POST', url, headers=authorization('families'), content=orjson.dumps(body)
    ) as response:
        next(response.iter_bytes())


@then('no engine runs a request after {seconds:d} seconds')
def check_engines_idle(context, seconds):
    def are_idle():
        urls = context.fleet.processes['engines'].addresses
        return not any(httpx.get(url + '/v1/load').json().get('running') for url in urls)

    wait_until(are_idle, seconds=seconds, what='an engine still runs the request')


@when('{count:d} chats run while sidecars freeze and engines crash')
def run_under_failures(context, count):
    rng = random.Random(5)
    stop = threading.Event()

    def disturb():
        while not stop.wait(0.4):
            number = rng.randrange(2)
            if rng.random() < 0.7:
                process = context.fleet.processes['engine-{0}'.format(number)]
                process.freeze()
                stop.wait(rng.choice((0.2, 1.0, 4.5)))
                process.thaw()
            else:
                httpx.post(context.fleet.processes['engines'].addresses[number] + '/crash')

    def send_chat_request(number):
        time.sleep(number * 0.08)
        name = 'router-{0}'.format(number % 2)
        tokens = 20 + number * 2
        return chat(
            context.fleet.processes[name].address,
            'families',
            tokens=tokens,
            stream=number % 3 > 0,
            model='farewell',
            timeout=90,
        )

    thread = threading.Thread(target=disturb)
    thread.start()
    context.answers = run_concurrently(count, send_chat_request)
    stop.set()
    thread.join()


@then('every response belongs to its own request and is complete or marked as truncated')
def check_all_answers(context):
    problems = find_answer_violations(context.answers, histories(context.fleet), [])
    complete = [answer for answer in context.answers if answer.is_whole]
    truncated = [answer for answer in context.answers if 'event: error' in answer.text]
    print(
        '{0} responses, {1} complete, {2} truncated'.format(
            len(context.answers), len(complete), len(truncated)
        )
    )
    assert complete
    assert not problems, problems


@when('each engine mixes up its next response with another and a caller streams {tokens:d} tokens')
def mix_up_responses(context, tokens):
    for url in context.fleet.processes['engines'].addresses:
        httpx.post(url + '/cross')
    address = context.fleet.processes['router-0'].address
    context.answer = chat(address, 'families', tokens=tokens, model='farewell')


@when(
    'a caller requests {tokens:d} tokens within {seconds:d} seconds and the engine dies '
    'during the request'
)
def kill_engine(context, tokens, seconds):
    context.answer = Answer('dies')
    url = context.fleet.processes['router-0'].address + CHAT
    headers = {**authorization('families'), 'X-Request-Timeout-Seconds': str(seconds)}
    body = {
        'model': 'farewell',
        'messages': [{'role': 'user', 'content': 'hello'}],
        'emulator': {'tokens': tokens, 'nonce': 'dies'},
    }
    thread = threading.Thread(target=lambda: send(context.answer, 'POST', url, headers, body, 60))
    thread.start()
    engines = context.fleet.processes['engines']
    wait_until(
        lambda: 'dies' in httpx.get(engines.address + '/stats').text,
        seconds=5,
        what='the engine did not start the request',
    )
    engines.kill()
    thread.join()


@then('the response says that it is unknown whether the request was executed')
def check_unknown_outcome(context):
    assert context.answer.status >= 500, context.answer
    assert context.answer.problem['ran'] == 'unknown', context.answer


@given('a small fleet whose sidecars buffer at most {limit:d} bytes of a response')
def start_with_small_buffers(context, limit):
    context.fleet = start_small_fleet(settings={'sidecar': {'maximum_answer_bytes': limit}})
    context.closers.append(context.fleet.close)


@when('a caller requests {tokens:d} tokens without streaming')
def request_without_streaming(context, tokens):
    address = context.fleet.processes['router-0'].address
    context.answer = chat(address, 'families', tokens=tokens, stream=False, model='farewell')


@then('the response is an error that reports the truncation')
def check_truncation(context):
    assert context.answer.problem.get('kind') == 'answer_cut', context.answer
    assert context.answer.problem['ran'] == 'yes', context.answer
