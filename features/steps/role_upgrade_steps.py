"""Steps that run routers, sidecars and operators of both builds in one fleet."""

import uuid
from functools import partial

from behave import given, then, when

from emulator.callers import call, chat
from emulator.fleet import Fleet
from emulator.instance_process import ROOT
from emulator.production_build import unpack_production

_ACCOUNT = 'mothers'
_TOKENS = 12
#: Pools of the engine and of the service behind sidecars of each build.
_MODELS = {'old': 'stylist', 'new': 'writer'}
_SERVICES = {'old': 'orders', 'new': 'bookings'}
_OTHER_BUILD = {'old': 'new', 'new': 'old'}


def _choose_build(fleet, build):
    fleet.source_root = unpack_production() if build == 'old' else ROOT


def _run_operator(fleet, build, *arguments):
    _choose_build(fleet, build)
    command = fleet.run_operator_command(*arguments)
    assert not command.returncode, command.stderr


@given('a router, a sidecar beside an engine and one beside a service of each build')
def fleet_of_both_builds(context):
    fleet = Fleet()
    context.fleet = fleet
    context.closers.append(fleet.close)
    fleet.start_platform()
    engines = fleet.start_engines('engines', 2)
    services = fleet.start_services('services', 1)
    for number, build in enumerate(_OTHER_BUILD):
        _choose_build(fleet, build)
        fleet.together(
            partial(
                fleet.start_sidecar,
                'engine-{0}'.format(build),
                endpoint_url=engines[number],
                pool=_MODELS[build],
                kind='engine',
                slots=8,
            ),
            partial(
                fleet.start_sidecar,
                'service-{0}'.format(build),
                endpoint_url=services[0],
                pool=_SERVICES[build],
                kind='service',
                slots=8,
            ),
            partial(fleet.start_router, 'router-{0}'.format(build)),
        )
    for process in fleet.processes.values():
        if process.name.endswith('-old'):
            assert _runs_from(process, unpack_production()), process.name
        if process.name.endswith('-new'):
            assert _runs_from(process, ROOT), process.name


def _runs_from(process, root):
    """Tells whether a process finds its modules in a build first."""
    environment = open('/proc/{0}/environ'.format(process.popen.pid)).read().split('\0')
    return any(item.startswith('PYTHONPATH={0}/src'.format(root)) for item in environment)


@when('operators of both builds write and change the contract of an account')
def write_contract(context):
    fleet = context.fleet
    pools = ','.join([*_MODELS.values(), *_SERVICES.values()])
    _run_operator(fleet, 'old', 'contract', 'create', _ACCOUNT, 'secret', _MODELS['old'])
    _run_operator(
        fleet,
        'new',
        'contract',
        'change',
        _ACCOUNT,
        '--pools={0}'.format(pools),
        '--key_required={0}'.format(','.join(_SERVICES.values())),
    )
    _run_operator(fleet, 'old', 'contract', 'change', _ACCOUNT, '--weight=3')
    fleet.wait_ready()


@when(
    'an operator of the old build writes a contract with numbers as great as none is in the new one'
)
def write_unlimited_contract(context):
    _run_operator(
        context.fleet,
        'old',
        'contract',
        'create',
        _ACCOUNT,
        'secret',
        ','.join([*_MODELS.values(), *_SERVICES.values()]),
        '--rate=1e15',
        '--queue={0}'.format(10**13),
    )
    context.fleet.wait_ready()


@when('each router gets chats and keyed charges for the sidecars of each build')
def send_through_each(context):
    fleet = context.fleet
    context.chats = []
    context.charges = []
    for build, other in _OTHER_BUILD.items():
        router = fleet.processes['router-{0}'.format(build)].address
        other_router = fleet.processes['router-{0}'.format(other)].address
        for model in _MODELS.values():
            for stream in (True, False):
                context.chats.append(
                    chat(router, _ACCOUNT, tokens=_TOKENS, model=model, stream=stream)
                )
        for pool in _SERVICES.values():
            path = '/services/{0}/charges'.format(pool)
            key = uuid.uuid4().hex
            first = call(router, _ACCOUNT, key=key, path=path)
            again = call(other_router, _ACCOUNT, key=key, path=path, nonce=first.nonce)
            context.charges.append((first, again))


@then('each chat is whole')
def check_chats(context):
    assert len(context.chats) == 8, context.chats
    for answer in context.chats:
        assert answer.is_whole and answer.received == answer.expected, answer


@then('each charge ran once, and its repetition through the other router got the same answer')
def check_charges(context):
    for first, again in context.charges:
        assert first.is_whole and again.is_whole, (first, again)
        assert first.text == again.text, (first, again)
    url = context.fleet.processes['services'].address
    effects = context.fleet.client.get('{0}/stats'.format(url)).json()['effects']
    assert len(effects) == len(context.charges) == 4, effects
