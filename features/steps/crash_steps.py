"""Steps for requests that crash endpoints."""

import threading
import time

import httpx
import orjson
from behave import given, then, when
from hypothesis import given as generate
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies

from emulator.callers import CHAT, Answer, authorization, chat, run_concurrently, send
from emulator.process import wait_until
from emulator.small_fleet import start_small_fleet
from fireflymux.decisions.crash_registry import GUILTY, CrashRegistry


@given('a small fleet of {engines:d} engines')
def start_fleet(context, engines):
    context.fleet = start_small_fleet(engines=engines)
    context.closers.append(context.fleet.close)


_CRASHING_REQUEST = {
    'model': 'farewell',
    'messages': [{'role': 'user', 'content': 'poison'}],
    'emulator': {'nonce': 'poison', 'crash': True},
}


def _send_crashing_request(context, name):
    url = context.fleet.processes[name].address + CHAT
    return send(Answer('poison'), 'POST', url, authorization('families'), _CRASHING_REQUEST, 60)


@when('{count:d} chats run and a request that crashes its engine is sent through {name}')
def run_chats_beside_crash(context, count, name):
    addresses = [context.fleet.processes[item].address for item in ('router-0', 'router-1')]
    context.concurrent_answers = []

    def send_chat(number):
        return chat(addresses[number % 2], 'vets', tokens=150, stream=False, model='farewell')

    thread = threading.Thread(
        target=lambda: context.concurrent_answers.extend(run_concurrently(count, send_chat))
    )
    thread.start()
    time.sleep(0.5)
    context.answer = _send_crashing_request(context, name)
    thread.join()


@when('the same request is sent again through {name}')
def send_again(context, name):
    time.sleep(1.5)
    context.answer = _send_crashing_request(context, name)


@when('{count:d} chats that share a message which crashes engines are sent, no two alike')
def send_with_shared_message(context, count):
    for number in range(count):
        name = 'router-{0}'.format(number % 2)
        url = context.fleet.processes[name].address + CHAT
        request = {
            'model': 'farewell',
            'messages': [
                {'role': 'system', 'content': 'poison'},
                {'role': 'user', 'content': 'question {0}'.format(number)},
            ],
            'emulator': {'nonce': 'question-{0}'.format(number), 'crash': True},
        }
        send(Answer(str(number)), 'POST', url, authorization('families'), request, 60)


@then('the request is refused as {kind}')
def check_refused(context, kind):
    assert context.answer.problem.get('kind') == kind, context.answer


@then('at most {count:d} engines crashed')
def check_crashes(context, count):
    urls = context.fleet.processes['engines'].addresses
    crashes = [httpx.get(url + '/stats').json()['crashes'] for url in urls]
    assert sum(crashes) <= count, crashes


@then('every concurrent chat is complete')
def check_concurrent_chats(context):
    for answer in context.concurrent_answers:
        assert answer.is_whole and answer.received == answer.expected, answer


def _hold_streams(fleet, tokens):
    """Holds the streams of all engines at a number of tokens; zero lets them end."""
    for engine in fleet.processes['engines'].addresses:
        fleet.client.post(engine + '/hold', params={'tokens': tokens}).raise_for_status()


def _crash_running_engine(fleet):
    engines = fleet.processes['engines'].addresses

    def find_running():
        loads = {engine: fleet.client.get(engine + '/v1/load').json() for engine in engines}
        return [engine for engine, load in loads.items() if load.get('running')]

    (engine,) = wait_until(find_running, seconds=5, what='no engine reports that it runs')
    fleet.client.post(engine + '/crash').raise_for_status()


@when('an engine crashes while it streams and the caller sends the same request again')
def crash_stream(context):
    body = {
        'model': 'farewell',
        'messages': [{'role': 'user', 'content': 'hello'}],
        'stream': True,
        'emulator': {'nonce': 'again', 'tokens': 100},
    }
    url = context.fleet.processes['router-0'].address + CHAT
    headers = authorization('families')
    _hold_streams(context.fleet, 10)
    with httpx.stream('POST', url, headers=headers, content=orjson.dumps(body)) as response:
        parts = response.iter_bytes()
        next(parts)
        _crash_running_engine(context.fleet)
        text = b''.join(parts).decode()
    assert 'event: error' in text
    _hold_streams(context.fleet, 0)
    answer = Answer('again', tokens=100, is_stream=True)
    context.answer = send(answer, 'POST', url, headers, body, 60)


@then('the second response is complete')
def check_second_response(context):
    assert context.answer.is_whole, context.answer
    assert context.answer.received == context.answer.expected, context.answer


@given('crash registries of {count:d} processes')
def set_process_count(context, count):
    context.count = count


@when('they record crashes and exchange verdicts in any order')
def define_exchanges(context):
    processes = strategies.integers(0, context.count - 1)
    fingerprints = strategies.sampled_from('abc')
    crash = strategies.tuples(
        strategies.just('crash'), processes, fingerprints, strategies.booleans()
    )
    merge = strategies.tuples(strategies.just('merge'), processes, processes)

    @hypothesis_settings(max_examples=300, derandomize=True, deadline=None, database=None)
    @generate(strategies.lists(strategies.one_of(crash, merge), max_size=30))
    def check_exchanges(schedule):
        registries = [CrashRegistry(clock=lambda: 0.0) for _ in range(context.count)]
        # The reference: the requests that each process knows to be guilty.
        guilty_known_at = [set() for _ in range(context.count)]
        for event in schedule:
            if event[0] == 'crash':
                registries[event[1]].record_crash(event[2], alone=event[3])
                if event[3]:
                    guilty_known_at[event[1]].add(event[2])
                continue
            registries[event[1]].merge(registries[event[2]].list_verdicts())
            guilty_known_at[event[1]] |= guilty_known_at[event[2]]
        for registry, guilty in zip(registries, guilty_known_at, strict=True):
            assert guilty == {name for name in 'abc' if registry.state_of(name) == GUILTY}

    context.check_exchanges = check_exchanges


@then('a request is guilty at exactly those processes that received a guilty verdict')
def check_verdicts(context):
    context.check_exchanges()
