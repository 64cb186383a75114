"""Steps for values from outside that routers, sidecars and operators' commands read."""

import tempfile

import httpx
import orjson
import trio
from behave import given, then, when
from trio.testing import MockClock

from emulator.fleet import Fleet
from emulator.scripted_server import ScriptedServer, answer
from features.steps.role_responses_steps import build_order
from fireflymux._settings_generated import (
    FleetSettings,
    InstanceSettings,
    ObservabilitySettings,
    PlatformSettings,
    SidecarSettings,
    TlsSettings,
)
from fireflymux.errors import ErrorKind, ExecutionStatus
from fireflymux.messages import ClaimRow, Heartbeat
from fireflymux.observability.metrics import Metrics
from fireflymux.settings import ProcessSettings, SettingsError
from fireflymux.sidecar.claims import STATE_RELEASED, Claimed, ClaimStore, claim_key
from fireflymux.sidecar.sidecar import Sidecar
from fireflymux.store.config_commit import load_configuration
from fireflymux.store.config_reader import ConfigReader
from fireflymux.store.config_rows import CHANGE_PREFIX, HEAD_KEY, change_key, snapshot_name
from fireflymux.store.configuration import Configuration
from fireflymux.store.group_commit import GroupCommitter, PutResult
from fireflymux.store.platform_client import PlatformClients, Put
from fireflymux.web.http_clients import FleetClients
from fireflymux.wire import codec

_NOWHERE = 'http://127.0.0.1:1'
_CONTRACT = {
    'account': 'families',
    'weight': 1.0,
    'rate_per_second': 1.0,
    'concurrency': 1,
    'queue_length': 1,
    'pools': ['farewell'],
    'key_digest': 'digest',
}


class StoredPlatform:
    """Table and object store whose rows and objects are stated as JSON, without a network.

    Attributes:
        rows: JSON of each row by key.
        objects: Content of each object by name.
    """

    def __init__(self):
        self.rows = {}
        self.objects = {}

    def put(self, key, value, version=b'1'):
        content = value if isinstance(value, bytes) else orjson.dumps(value)
        self.rows[key] = b'{"key": %s, "version": %s, "value": %s}' % (
            orjson.dumps(key),
            version,
            content,
        )

    def connect(self):
        url = 'http://127.0.0.1'
        settings = PlatformSettings(
            table_url=url, object_url=url + '/objects', live_url=url + '/live'
        )
        client = httpx.AsyncClient(transport=httpx.MockTransport(self._answer))
        return PlatformClients.from_settings(settings, client)

    def _answer(self, request):
        path = request.url.path
        if path == '/transactions':
            return self._commit(orjson.loads(request.content)['puts'])
        if path == '/rows':
            prefix, after = request.url.params['prefix'], request.url.params['after']
            keys = sorted(key for key in self.rows if key.startswith(prefix) and key > after)
            return httpx.Response(200, content=b'[%s]' % b','.join(map(self.rows.get, keys)))
        if path.startswith('/rows/'):
            return self._answer_with(self.rows, path.removeprefix('/rows/'))
        return self._answer_with(self.objects, path.removeprefix('/objects/'))

    def _commit(self, puts):
        """Refuses writes to rows that exist with another version, as the table does."""
        versions = {
            put['key']: orjson.loads(self.rows.get(put['key'], b'{"version": 0}'))['version']
            for put in puts
        }
        failed = [put['key'] for put in puts if versions[put['key']] != put['expected_version']]
        if failed:
            return httpx.Response(409, json={'failed': failed})
        for put in puts:
            version = b'%d' % (put['expected_version'] + 1)
            self.put(put['key'], put['value'], version=version)
        return httpx.Response(200, json={})

    def _answer_with(self, stored, name):
        if name not in stored:
            return httpx.Response(404)
        return httpx.Response(200, content=stored[name])


def build_sidecar():
    return Sidecar.from_settings(
        ProcessSettings(
            instance=InstanceSettings(
                name='sidecar', failure_domain='a', listen_host='127.0.0.1', listen_port=0
            ),
            fleet=FleetSettings(key='key'),
            platform=PlatformSettings(table_url=_NOWHERE, object_url=_NOWHERE, live_url=_NOWHERE),
            tls=TlsSettings(),
            observability=ObservabilitySettings(),
            router=None,
            sidecar=SidecarSettings(
                endpoint='e', endpoint_url=_NOWHERE, pool='farewell', kind='engine', slots=1
            ),
        )
    )


def _build_change(version, **terms):
    return {
        'version': version,
        'change_id': 'change-{0}'.format(version),
        'operator': 'operator',
        'contract': {**_CONTRACT, 'account': 'account-{0}'.format(version), **terms},
    }


_ODD_CHANGES = {
    'whose contract has a concurrency of 4000 digits': {'concurrency': '9' * 4000},
    'whose contract has a queue of -4000 digits': {'queue_length': '-' + '9' * 4000},
}


@given('a table with two changes of the configuration and a row {oddity} beside them')
def prepare_odd_row(context, oddity):
    context.platform = StoredPlatform()
    context.platform.put(HEAD_KEY, {'version': 3, 'snapshot_version': 0})
    for version in (1, 2, 3):
        terms = _ODD_CHANGES.get(oddity, {}) if version == 2 else {}
        context.platform.put(change_key(version), _build_change(version, **terms))
    if 'key' in oddity:
        context.platform.put(CHANGE_PREFIX + '9' * 5000, {})
    if 'bits' in oddity:
        context.platform.put(CHANGE_PREFIX + 'odd', {}, version=b'18446744073709551615')


@when('a router reads the configuration')
def read_configuration(context):
    context.configuration = Configuration()
    platform = context.platform.connect()
    trio.run(load_configuration, platform.table, platform.objects, context.configuration)


@then('it has the contracts of both changes')
def check_contracts(context):
    assert context.configuration.version == 3, context.configuration.version
    assert {'account-1', 'account-3'} <= set(context.configuration.contracts)


@when('an operator creates a contract with a queue of {count:d} digits')
def create_contract(context, count):
    fleet = Fleet()
    context.closers.append(fleet.close)
    fleet.start_platform()
    context.command = fleet.run_operator_command(
        'contract', 'create', 'families', 'secret', 'farewell', '--queue=' + '9' * count
    )


@given('a table whose newest snapshot states the version {version:d}')
def prepare_odd_snapshot(context, version):
    context.platform = StoredPlatform()
    context.platform.put(HEAD_KEY, {'version': 2, 'snapshot_version': 2})
    snapshot = {'version': version, 'contracts': [], 'endpoints': []}
    context.platform.objects[snapshot_name(2)] = orjson.dumps(snapshot)
    for number in (1, 2):
        context.platform.put(change_key(number), _build_change(number))


@when('a router reads the configuration, and again after a further change')
def read_twice(context):
    read_configuration(context)
    context.platform.put(HEAD_KEY, {'version': 3, 'snapshot_version': 2}, version=b'2')
    context.platform.put(change_key(3), _build_change(3))
    platform = context.platform.connect()
    trio.run(load_configuration, platform.table, platform.objects, context.configuration)


@then('it has the contract of the further change')
def check_further_contract(context):
    assert 'account-3' in context.configuration.contracts, context.configuration.contracts


def _build_contract(account, weight):
    return {**_CONTRACT, 'account': account, 'weight': weight}


def _answer_update(**members):
    return answer(200, orjson.dumps({'version': 4, 'age_seconds': 0.0, **members}))


@given(
    'a router whose {part} of the configuration has contracts of the weights 0, -1e308, 1e-320 and 2'
)
def prepare_router(context, part):
    weights = {'zero': 0.0, 'negative': -1e308, 'tiny': 1e-320, 'sound': 2.0}
    contracts = [_build_contract(account, weight) for account, weight in weights.items()]
    changes = [
        {'version': number, 'change_id': 'change', 'operator': 'operator', 'contract': contract}
        for number, contract in enumerate(contracts, start=1)
    ]
    parts = {'snapshot': {'version': 4, 'contracts': contracts}, 'changes': changes}
    context.answers = [_answer_update(**{part: parts[part]})]


@given('a router that states the age {age} of its configuration')
def prepare_age(context, age):
    context.answers = [_answer_update(age_seconds=orjson.loads(age))]


@when('a sidecar reads the configuration from it')
def read_from_router(context):
    async def run():
        async with trio.open_nursery() as nursery:
            server = await ScriptedServer.start(nursery, context.answers)
            context.configuration = Configuration()
            context.reader = ConfigReader(
                context.configuration,
                platform=StoredPlatform().connect(),
                fleet_clients=FleetClients(FleetSettings(key='key'), TlsSettings()),
                routers=lambda: [server.url],
                metrics=Metrics(),
            )
            await context.reader._read_routers()
            context.age = context.reader.age_seconds
            nursery.cancel_scope.cancel()

    trio.run(run)


@then('only the contracts of positive weights are in force, within their bounds')
def check_weights(context):
    found = {name: term.weight for name, term in context.configuration.contracts.items()}
    assert found == {'tiny': 1e-9, 'sound': 2.0}, found
    assert context.configuration.version == 4, context.configuration.version


@then('its own configuration does not count as matching the platform')
def check_age(context):
    assert context.age == float('inf'), context.age


@given('a sidecar whose platform has the configuration version {version:d}')
def prepare_sidecar(context, version):
    context.platform = StoredPlatform()
    context.platform.put(HEAD_KEY, {'version': version, 'snapshot_version': 0})
    for number in range(1, version + 1):
        context.platform.put(change_key(number), _build_change(number))
    context.heartbeats = []


@when('a heartbeat states the version {version:d} and the sidecar then reads {source}')
def hear_version(context, version, source):
    context.heartbeats.append((version, source == 'the platform'))


@then('the sidecar {answer} requests')
def check_admission(context, answer):
    async def run():
        sidecar = build_sidecar()
        sidecar.config_reader._platform = context.platform.connect()
        await sidecar.config_reader._read_platform()
        for sequence, (version, is_read) in enumerate(context.heartbeats, start=1):
            heartbeat = {'router': 'r', 'address': _NOWHERE, 'config_version': version}
            sidecar.accept_heartbeat(Heartbeat(**heartbeat, sequence=sequence))
            await trio.sleep(1)
            if is_read:
                await sidecar.config_reader._read_platform()
        return sidecar.check_admission()

    refusal = trio.run(run, clock=MockClock(autojump_threshold=0.02))
    assert (refusal is None) == (answer == 'admits'), refusal


@given('a table that answers every transaction with status 200 and {content}')
def prepare_odd_commit(context, content):
    context.platform_answer = answer(200, b'' if content == 'nothing' else content.encode())


@given('a table whose row of a released claim has the version {version}')
def prepare_released_claim(context, version):
    context.order = build_order(idempotency_key='key')
    released = ClaimRow(
        fingerprint=context.order.fingerprint,
        writer='another',
        request='earlier',
        attempt=1,
        state=STATE_RELEASED,
    )
    context.platform = StoredPlatform()
    row = codec.to_builtins(released)
    context.platform.put(claim_key(context.order), row, version=version.encode())


@when('a sidecar claims the call and records its outcome')
def claim_and_record(context):
    async def run():
        async with trio.open_nursery() as nursery:
            platform = context.platform.connect()
            committer = GroupCommitter(platform.table, Metrics())
            nursery.start_soon(committer.run)
            store = ClaimStore('sidecar', platform, committer, Metrics())
            context.claim = await store.claim(context.order)
            if isinstance(context.claim, Claimed):
                await store.record_unknown(context.claim)
            context.other = await committer.submit(Put('calls/other', 0, {}))
            nursery.cancel_scope.cancel()

    trio.run(run)


@then('the claim is {result}, and the sidecar still commits other rows')
def check_claim(context, result):
    kind = getattr(context.claim, 'kind', None)
    expected = {'held': None, 'unavailable': ErrorKind.claims_unavailable}[result]
    assert kind is expected, context.claim
    assert context.other is PutResult.committed, context.other


@then('whether the call ran is unknown')
def check_unknown_execution(context):
    assert context.claim.outcome is ExecutionStatus.unknown, context.claim
    assert context.claim.status == 504, context.claim.status


_SIDECAR_SETTINGS = """
[instance]
name = sidecar
failure_domain = a
listen_host = 127.0.0.1
listen_port = 0
[fleet]
key = development-fleet-key
peer_routers = {peer_routers}
[platform]
table_url = {table_url}
object_url = {object_url}
live_url = {live_url}
[sidecar]
endpoint = engine
endpoint_url = {endpoint_url}
pool = farewell
kind = engine
slots = 1
"""
_URL_KEYS = ('peer_routers', 'table_url', 'object_url', 'live_url', 'endpoint_url')


@given('a settings file of a sidecar whose {key} is {url}')
def prepare_settings(context, key, url):
    urls = dict.fromkeys(_URL_KEYS, _NOWHERE)
    # The other routers are a list.
    urls['peer_routers'] = 'http://127.0.0.1:1,http://router.example'
    context.settings_text = _SIDECAR_SETTINGS.format_map({**urls, key: url})


@when('it is checked')
def check_settings_text(context):
    context.violations = []
    with tempfile.NamedTemporaryFile('w', suffix='.ini') as file:
        file.write(context.settings_text)
        file.flush()
        try:
            ProcessSettings.from_file(file.name)
        except SettingsError as error:
            context.violations = error.violations


@then('the only violation names {key} and {url}')
def check_violation(context, key, url):
    found = [(violation.key, violation.found) for violation in context.violations]
    assert found == [(key, repr(url))], found
