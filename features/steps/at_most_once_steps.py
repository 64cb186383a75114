"""Steps for calls that must not be repeated."""

import random
import threading
import time
import uuid

from behave import given, then, when

from emulator.callers import call, find_answer_violations, run_concurrently
from emulator.process import wait_until
from emulator.small_fleet import effects, start_small_fleet

_PATH = '/services/bookings/reservations'


@given('a small fleet')
def start_fleet(context):
    context.fleet = start_small_fleet()
    context.closers.append(context.fleet.close)
    context.key = uuid.uuid4().hex
    context.nonce = uuid.uuid4().hex[:12]
    context.answers = []
    context.delay = 0


def _send_reservation(context, name):
    answer = call(
        context.fleet.processes[name].address,
        'families',
        key=context.key,
        path=_PATH,
        nonce=context.nonce,
        delay=context.delay,
        timeout=20,
    )
    context.answers.append(answer)
    return answer


@given("the table's next response is lost")
def lose_next_response(context):
    context.fleet.set_fault('table', 'lose_answers', remaining=1)


@given("the table's next {count:d} responses are lost")
def lose_next_responses(context, count):
    context.fleet.set_fault('table', 'lose_answers', remaining=count)


@given('the table is down')
def take_table_down(context):
    context.fleet.set_fault('table', 'down')


@given('the table takes {seconds:d} seconds to answer')
def slow_table_down(context, seconds):
    context.fleet.set_fault('table', 'slow', seconds=seconds * 0.9)


@when('the table works normally again')
def restore_table(context):
    context.fleet.set_fault('table', 'ok')


@when('a caller reserves a slot through {name}')
def reserve(context, name):
    context.answer = _send_reservation(context, name)


@when('the caller repeats the reservation through {name}')
def repeat_once(context, name):
    context.answer = _send_reservation(context, name)


@when('the caller repeats the reservation {count:d} times at once through {name}')
def repeat_at_once(context, count, name):
    run_concurrently(count, lambda _: _send_reservation(context, name))


@when('the caller repeats the reservation until it succeeds')
def repeat_until_success(context):
    wait_until(
        lambda: _send_reservation(context, 'router-1').status == 200,
        seconds=30,
        what='the reservation did not succeed',
    )


@when('a caller starts a reservation that takes {seconds:d} seconds through {name}')
def start_reservation(context, seconds, name):
    context.delay = seconds
    context.thread = threading.Thread(target=_send_reservation, args=(context, name))
    context.thread.start()
    context.closers.append(context.thread.join)
    sidecars = [context.fleet.processes[item] for item in ('service-0', 'service-1')]

    def find_busy_sidecar():
        for sidecar in sidecars:
            if context.fleet.metric(sidecar, 'running_requests') > 0:
                return sidecar
        return None

    context.busy_sidecar = wait_until(
        find_busy_sidecar, seconds=5, what='no sidecar handles the call'
    )


@when('the sidecar that handles the call is frozen before the claim is answered')
def freeze_sidecar(context):
    context.busy_sidecar.freeze()


@when('the frozen sidecar resumes')
def resume_sidecar(context):
    context.busy_sidecar.thaw()


@when('{name} and the sidecar that handles the call are killed')
def kill_router_and_sidecar(context, name):
    wait_until(lambda: effects(context.fleet), seconds=5, what='the call did not start')
    context.fleet.processes[name].kill()
    context.busy_sidecar.kill()


@when('the first call has returned')
def wait_for_first_call(context):
    context.thread.join(30)
    assert not context.thread.is_alive()


@then('the reservation succeeds')
def check_success(context):
    assert context.answer.status == 200, context.answer


def _count_effects(context):
    return [effect['nonce'] for effect in effects(context.fleet)].count(context.nonce)


@then('the reservation took effect once')
def check_once(context):
    assert _count_effects(context) == 1, (_count_effects(context), context.answers)


@then('the reservation did not take effect')
def check_never(context):
    assert _count_effects(context) == 0, context.answers


@then('the reservation took effect at most once')
def check_at_most_once(context):
    time.sleep(1)
    assert _count_effects(context) <= 1, context.answers


@then('the call is refused as {kind} and was not run')
def check_refused(context, kind):
    assert context.answer.problem.get('kind') == kind, context.answer
    assert context.answer.problem['ran'] == 'no', context.answer


@then('the refusal came within {seconds:d} seconds and says when to retry')
def check_refusal_time(context, seconds):
    assert context.answer.seconds < seconds, context.answer
    assert int(context.answer.headers['retry-after']) > 0, context.answer


@then('no response says that the call was not run')
def check_none_not_run(context):
    for answer in context.answers:
        assert answer.problem.get('ran') != 'no', answer


@then('no response says that a call was not run if it ran')
def check_not_run_is_true(context):
    if _count_effects(context):
        check_none_not_run(context)


@then('the response says that the outcome is unknown')
def check_outcome_unknown(context):
    assert context.answer.problem.get('ran') == 'unknown', context.answer


@when('{count:d} callers each send a call {times:d} times through both routers during failures')
def send_during_failures(context, count, times):
    rng = random.Random(11)
    keys = [
        (uuid.uuid4().hex, uuid.uuid4().hex[:12], rng.choice((0, 0.1, 0.5))) for _ in range(count)
    ]
    stop = threading.Event()

    def inject_faults():
        # One fault at a time, to a random sidecar or to the table, until the calls have ended.
        fleet = context.fleet
        sidecars = [fleet.processes['service-0'], fleet.processes['service-1']]
        while not stop.wait(0.5):
            sidecar = rng.choice(sidecars)
            fault = rng.choice(('freeze', 'lose', 'down', 'slow'))
            if fault == 'freeze':
                sidecar.freeze()
                stop.wait(rng.choice((0.3, 4)))
                sidecar.thaw()
            elif fault == 'lose':
                fleet.set_fault('table', 'lose_answers', remaining=3)
            else:
                fleet.set_fault('table', fault, seconds=0.5)
                stop.wait(1)
                fleet.set_fault('table', 'ok')

    def send(number):
        key, nonce, delay = keys[number % count]
        time.sleep(number / count)
        name = 'router-{0}'.format(rng.randrange(2))
        answer = call(
            context.fleet.processes[name].address,
            'families',
            key=key,
            path=_PATH,
            nonce=nonce,
            delay=delay,
            timeout=60,
        )
        return answer

    thread = threading.Thread(target=inject_faults)
    thread.start()
    context.answers = run_concurrently(count * times, send)
    stop.set()
    thread.join()
    time.sleep(2)


@then('each call took effect at most once and every successful one took effect')
def check_effects(context):
    recorded = effects(context.fleet)
    problems = find_answer_violations([], [], recorded)
    nonces = [effect['nonce'] for effect in recorded]
    problems += [nonce for nonce in set(nonces) if nonces.count(nonce) > 1]
    succeeded = [answer for answer in context.answers if answer.status == 200]
    problems += [answer for answer in succeeded if answer.nonce not in nonces]
    print(
        '{0} answers, {1} succeeded, {2} effects'.format(
            len(context.answers), len(succeeded), len(nonces)
        )
    )
    assert succeeded
    assert not problems, problems
