"""Steps for the configuration of the fleet."""

import time

import orjson
from behave import given, then, when
from hypothesis import given as generate
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies

from emulator.callers import chat
from emulator.fleet import Fleet
from emulator.process import wait_until
from fireflymux.messages import ConfigChange, Contract
from fireflymux.store.configuration import Configuration
from fireflymux.web.credentials import compute_key_digest


@when('an operator creates a contract for {account}')
def create_contract(context, account):
    context.fleet.add_contract(account, 'farewell')


@given('an operator created a contract for {account} that is in force')
def create_contract_in_force(context, account):
    create_contract(context, account)
    check_served(context, account, 12)


@when('an operator retires the contract of {account}')
def retire_contract(context, account):
    completed = context.fleet.run_operator_command('contract', 'retire', account)
    assert completed.returncode == 0, completed


def _list_running_routers(context):
    return [
        process
        for name, process in context.fleet.processes.items()
        if name.startswith('router-') and process.popen.poll() is None
    ]


def _send_chat(router, account):
    return chat(router.address, account, tokens=1, model='farewell')


@then('account {account} is served by every router within {seconds:d} seconds')
def check_served(context, account, seconds):
    deadline = time.monotonic() + seconds
    for router in _list_running_routers(context):
        wait_until(
            lambda router=router: _send_chat(router, account).status == 200,
            seconds=deadline - time.monotonic(),
            what='{0} does not serve {1}'.format(router.name, account),
        )


@then('account {account} is served by {name} within {seconds:d} seconds')
def check_served_by(context, account, name, seconds):
    router = context.fleet.processes[name]
    wait_until(
        lambda: _send_chat(router, account).status == 200,
        seconds=seconds,
        what='{0} does not serve {1}'.format(name, account),
    )


@then('account {account} is refused by every router within {seconds:d} seconds')
def check_refused(context, account, seconds):
    for router in _list_running_routers(context):
        wait_until(
            lambda router=router: (
                _send_chat(router, account).problem.get('kind') == 'account_retired'
            ),
            seconds=seconds,
            what='{0} still serves {1}'.format(router.name, account),
        )


@then('account families is served by every router')
def check_families_served(context):
    for router in _list_running_routers(context):
        answer = _send_chat(router, 'families')
        assert answer.status == 200, answer


@when('{count:d} operators change the contract of {account} from the same version')
def change_concurrently(context, count, account):
    listed = context.fleet.run_operator_command('contract', 'list', '--json')
    version = {row['account']: row['version'] for row in orjson.loads(listed.stdout)}[account]

    def change(weight):
        return context.fleet.run_operator_command(
            'contract', 'change', account, '--if-version', str(version), '--weight', str(weight)
        )

    starts = [lambda weight=weight: change(weight) for weight in range(1, count + 1)]
    context.outcomes = context.fleet.together(*starts)


@then('one change is accepted and the others get a conflict that names its version')
def check_one_accepted(context):
    codes = sorted(completed.returncode for completed in context.outcomes)
    assert codes == [0] + [3] * (len(codes) - 1), context.outcomes
    for completed in context.outcomes:
        assert completed.returncode == 0 or 'is at version 3' in completed.stderr, completed


@given("the open settings file of an operator's command")
def open_settings(context):
    context.fleet = Fleet()
    context.closers.append(context.fleet.close)
    path = context.fleet._write_settings('operator', {'platform': {'credential': 'first'}})
    context.settings_stream = path.open()
    context.closers.append(context.settings_stream.close)


@when('another command writes the settings')
def write_settings_again(context):
    context.fleet._write_settings('operator', {'platform': {'credential': 'second'}})


@then('the first command reads what was written for it')
def check_settings_read(context):
    text = context.settings_stream.read()
    assert text == '[platform]\ncredential = first\n\n', text


@then('the configuration holds exactly one change for {account}')
def check_one_change(context, account):
    status = orjson.loads(context.fleet.run_operator_command('status', 'show', '--json').stdout)
    assert status[0]['version'] == 3, status


@given('the live list is down')
def take_live_list_down(context):
    context.fleet.set_fault('live', 'down')


@when('{seconds:d} seconds pass')
def wait(context, seconds):
    time.sleep(seconds)


@when('router-0 is replaced by {name}, which starts without a configuration')
def replace_router(context, name):
    context.fleet.processes['router-0'].kill()
    context.fleet.unregister_live('router-0')
    context.fleet.start_router(name)


def _build_change(version, weight=1.0):
    contract = Contract(
        account='account-{0}'.format(version % 5),
        weight=weight + version,
        rate_per_second=1,
        concurrency=1,
        queue_length=1,
        pools=['p'],
        key_digest=compute_key_digest('x'),
    )
    return ConfigChange(version=version, change_id=str(version), operator='o', contract=contract)


@given('a replica at version {version:d}')
def build_replica(context, version):
    context.replica = Configuration()
    context.replica.apply([_build_change(number) for number in range(1, version + 1)])
    context.initial_snapshot = context.replica.to_snapshot()


@when('a peer offers a snapshot of version {version:d} and the changes {first:d} to {last:d}')
def offer_stale(context, version, first, last):
    stale = Configuration()
    stale.apply([_build_change(number) for number in range(1, version + 1)])
    context.replica.replace(stale.to_snapshot())
    context.replica.apply([_build_change(number, 99.0) for number in range(first, last + 1)])


@then('the replica is at version {version:d} and its content did not change')
def check_unchanged(context, version):
    assert context.replica.version == version
    assert context.replica.to_snapshot() == context.initial_snapshot


@given('changes 1 to {last:d} of one configuration')
def build_changes(context, last):
    context.changes = [_build_change(number) for number in range(1, last + 1)]
    # The reference: the weight of each account at each version.
    context.expected_weights = {0: {}}
    for change in context.changes:
        weights = dict(context.expected_weights[change.version - 1])
        weights[change.contract.account] = change.contract.weight
        context.expected_weights[change.version] = weights


@when('replicas receive them in any order, repeated, with gaps and snapshots in between')
def define_deliveries(context):
    changes = context.changes
    events = strategies.one_of(
        strategies.lists(strategies.sampled_from(changes), max_size=12),
        strategies.integers(0, len(changes)),
    )

    @hypothesis_settings(max_examples=300, derandomize=True, deadline=None, database=None)
    @generate(strategies.lists(events, max_size=30))
    def check_schedule(schedule):
        replica = Configuration()
        for event in schedule:
            before = replica.version
            if isinstance(event, list):
                replica.apply(event)
            else:
                other = Configuration()
                other.apply(changes[:event])
                replica.replace(other.to_snapshot())
            assert replica.version >= before
            weights = {name: item.weight for name, item in replica.contracts.items()}
            assert weights == context.expected_weights[replica.version]

    context.check_schedule = check_schedule


@then('no version ever decreases and equal versions have equal content')
def check_deliveries(context):
    context.check_schedule()
