"""Steps for the limits of contracts and for retries."""

import math
import threading
import time

import httpx
from behave import given, then, when

from emulator.callers import chat, run_concurrently

_ROUTERS = ('router-0', 'router-1')


@given('an operator created a contract for {account} with a {term} of {limit:d}')
def create_limited_contract(context, account, term, limit):
    context.fleet.add_contract(account, 'farewell', **{term: limit})
    # Time for every router to receive the contract.
    time.sleep(2.5)


@given('an operator created a contract for {account} with a rate of {limit:d} per second')
def create_contract_with_rate(context, account, limit):
    create_limited_contract(context, account, 'rate', limit)


def _send_chat(context, number, account, tokens=2):
    address = context.fleet.processes[_ROUTERS[number % 2]].address
    return chat(address, account, tokens=tokens, model='farewell')


@when(
    'the account steady sends requests to both routers as fast as it can for {seconds:d} seconds'
)
def send_fast(context, seconds):
    context.seconds = seconds
    deadline = time.monotonic() + seconds

    def keep_sending(number):
        served = 0
        while time.monotonic() < deadline:
            served += _send_chat(context, number, 'steady').status == 200
        return served

    context.served = sum(run_concurrently(8, keep_sending))


@then('at most {rate:d} requests per second and one burst were served')
def check_rate(context, rate):
    print('served {0}'.format(context.served))
    assert 0 < context.served <= rate * (context.seconds + 1), context.served


@when('the account steady keeps {count:d} chats open through both routers for {seconds:d} seconds')
def keep_open(context, count, seconds):
    deadline = time.monotonic() + seconds
    context.most_running = 0
    stop = threading.Event()

    def sample_running():
        while not stop.wait(0.02):
            urls = context.fleet.processes['engines'].addresses
            loads = [httpx.get(url + '/v1/load').json() for url in urls]
            running = sum(load.get('running', 0) + load.get('waiting', 0) for load in loads)
            context.most_running = max(context.most_running, running)

    def keep_sending(number):
        while time.monotonic() < deadline:
            _send_chat(context, number, 'steady', tokens=30)

    thread = threading.Thread(target=sample_running)
    thread.start()
    run_concurrently(count, keep_sending)
    stop.set()
    thread.join()


@then('at most {limit:d} of them ran at any time')
def check_concurrency(context, limit):
    print('most requests running at a time: {0}'.format(context.most_running))
    assert 0 < context.most_running <= limit, context.most_running


@when('{count:d} chats are sent while one engine is unreachable')
def send_with_unreachable_engine(context, count):
    # Nothing listens at the endpoint of this sidecar.
    context.fleet.start_sidecar(
        'engine-gone', endpoint_url='http://127.0.0.1:9', pool='farewell', kind='engine', slots=8
    )
    time.sleep(2)
    context.count = count
    started_at = time.monotonic()
    context.answers = run_concurrently(
        8, lambda number: [_send_chat(context, number, 'families') for _ in range(count // 8)]
    )
    context.answers = [answer for answers in context.answers for answer in answers]
    context.seconds = time.monotonic() - started_at


@then(
    'at least half of the chats are answered, no other one ran, and retries stay within '
    'their budget'
)
def check_retry_budget(context):
    routers = [context.fleet.processes[name] for name in _ROUTERS]
    retries = sum(context.fleet.metric(router, 'retries_total') for router in routers)
    complete = sum(answer.is_whole for answer in context.answers)
    print('{0} of {1} complete, {2} retries'.format(complete, context.count, retries))
    # The retry budget of each router and account is ten, plus a fifth of the requests.
    assert retries <= 2 * 10 + context.count * 0.2
    for answer in context.answers:
        assert answer.is_whole or answer.problem['ran'] == 'no', answer
    assert complete >= context.count / 2


@then('attempts at the unreachable endpoint stay within its backoff')
def check_backoff(context):
    sidecar = context.fleet.processes['engine-gone']
    attempts = context.fleet.metric(sidecar, 'attempts_total', result='failed')
    # The backoff starts at 0.5 s and doubles. Each time it ends, all 8 slots may start an attempt.
    backoffs = math.floor(math.log2(context.seconds / 0.5 + 1)) + 1
    print('{0} attempts, {1} backoffs in {2:.1f} s'.format(attempts, backoffs, context.seconds))
    assert attempts <= 8 * (backoffs + 1), (attempts, backoffs)


@when(
    'the account flooders sends {flood_count:d} chats at once while the account families '
    'sends {count:d}'
)
def send_flood(context, flood_count, count):
    def send(number):
        account = 'flooders' if number < flood_count else 'families'
        return account, _send_chat(context, number, account, tokens=60)

    results = run_concurrently(flood_count + count, send)
    context.flooder_answers = [answer for account, answer in results if account == 'flooders']
    context.answers = [answer for account, answer in results if account == 'families']


@then('chats of flooders are refused as queue_full immediately')
def check_queue_full(context):
    refused = [answer for answer in context.flooder_answers if answer.status != 200]
    assert refused
    for answer in refused:
        assert answer.problem['kind'] == 'queue_full', answer
        assert int(answer.headers['retry-after']) > 0
        # A refusal that had waited in the queue would come near the deadline of 60 s.
        assert answer.seconds < 60 / 10, answer


@then('every chat of families gets a complete response')
def check_families_complete(context):
    for answer in context.answers:
        assert answer.is_whole, answer
