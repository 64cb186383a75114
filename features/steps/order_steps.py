"""Steps for the admission window and for orders to engines."""

import os
import socket
import time

import httpx
from behave import given, then, when

from emulator.callers import chat
from emulator.fleet import Fleet
from emulator.process import wait_until
from emulator.small_fleet import ACCOUNTS
from fireflymux.decisions.admission_window import AdmissionWindow


@given('an admission window of {slots:d} slots with a target of {target:d} second')
def create_window(context, slots, target):
    context.now = 0.0
    context.slots = slots
    context.window = AdmissionWindow(slots, target_seconds=target, clock=lambda: context.now)


@when('first tokens take {seconds:d} seconds for {duration:d} seconds')
def observe_late_first_tokens(context, seconds, duration):
    for _ in range(duration * 10):
        context.window.observe(seconds)
        context.now += 0.1


@then('the window is at most what ten reductions by a fifth leave')
def check_window_shrunk(context):
    assert 1 <= context.window.limit <= max(1, context.slots * 0.8**10), context.window.limit


@when('first tokens take {seconds:g} seconds for {count:d} requests')
def observe_timely_first_tokens(context, seconds, count):
    for _ in range(count):
        context.window.observe(seconds)


@then('the window has its full size again')
def check_window_full(context):
    assert context.window.limit == context.slots


def _announce_engine(context, model):
    completed = context.fleet.run_operator_command(
        'endpoint', 'announce', 'engine-0', 'joined', '--model', model
    )
    assert completed.returncode == 0, completed


def _list_orders(context):
    url = context.fleet.processes['engines'].address
    return httpx.get(url + '/stats').json()['orders']


@when('the operator announces engine-0 with the model {model}')
def announce_model(context, model):
    _announce_engine(context, model)


@then('the engine has loaded {model}, and the fencing tokens of its orders increase')
def check_loaded(context, model):
    orders = wait_until(
        lambda: _list_orders(context), seconds=12, what='the engine received no order'
    )
    assert orders[-1]['model'] == model
    tokens = [order['fencing_token'] for order in orders]
    assert tokens == sorted(set(tokens)), tokens


@then('a chat gets a complete response again')
def check_chat(context):
    address = context.fleet.processes['router-0'].address
    answer = chat(address, 'families', tokens=5, model='farewell')
    assert answer.is_whole, answer


def _start_engine_and_sidecar(context, *, checks_fencing):
    fleet = Fleet(variant=os.environ.get('FIREFLYMUX_VARIANT', ''))
    context.fleet = fleet
    context.closers.append(fleet.close)
    fleet.start_platform()
    fleet.add_contracts(ACCOUNTS)
    url = fleet.start_engines('engines', 1, checks_fencing=checks_fencing)[0]
    # If the engine ignores fencing tokens, only the sidecar that holds this port sends orders.
    port = 0
    if not checks_fencing:
        with socket.socket() as probe:
            probe.bind(('127.0.0.1', 0))
            port = probe.getsockname()[1]

    def start_sidecar(name):
        return fleet.start_sidecar(
            name,
            endpoint_url=url,
            pool='farewell',
            kind='engine',
            slots=8,
            settings={'endpoint': 'engine-0', 'order_lock_port': port},
        )

    context.start_sidecar = start_sidecar
    context.first_sidecar = start_sidecar('engine-0')
    _announce_engine(context, 'one')
    wait_until(
        lambda: _list_orders(context), seconds=12, what='the engine received no first order'
    )


@given('an engine that checks fencing tokens and its sidecar')
def start_engine_that_checks(context):
    _start_engine_and_sidecar(context, checks_fencing=True)


@given('an engine that ignores fencing tokens and its sidecar')
def start_engine_that_ignores(context):
    _start_engine_and_sidecar(context, checks_fencing=False)


@when('its sidecar is frozen, a successor takes over and loads another model')
def let_successor_take_over(context):
    context.old_token = _list_orders(context)[-1]['fencing_token']
    freeze_and_start_successor(context)
    wait_until(
        lambda: _list_orders(context)[-1]['model'] == 'two',
        seconds=12,
        what='the engine received no second order',
    )


@when('the frozen sidecar resumes and an order is sent with its old token')
def send_old_token(context):
    context.first_sidecar.thaw()
    url = context.fleet.processes['engines'].address
    message = {'model': 'one', 'fencing_token': context.old_token}
    context.response = httpx.post(url + '/v1/orders', json=message)


@then('the engine rejects the old token')
def check_old_token_rejected(context):
    assert context.response.status_code == 409
    assert _list_orders(context)[-1]['model'] == 'two'


@when('its sidecar is frozen and a successor is told to load another model')
def freeze_and_start_successor(context):
    context.first_sidecar.freeze()
    context.order_count = len(_list_orders(context))
    context.start_sidecar('engine-successor')
    _announce_engine(context, 'two')


@then('the successor sends no order while the frozen sidecar can resume')
def check_no_order(context):
    time.sleep(5)
    assert len(_list_orders(context)) == context.order_count, _list_orders(context)


@when('the frozen sidecar is killed')
def kill_frozen_sidecar(context):
    context.first_sidecar.kill()


@then('the successor sends its order')
def check_successor_order(context):
    wait_until(
        lambda: _list_orders(context)[-1]['model'] == 'two',
        seconds=12,
        what='the engine received no second order',
    )
