"""Steps for messages between instances that are of another shape or out of range."""

import socket
from unittest.mock import patch

import attrs
import msgspec
import orjson
import trio
from behave import then, when

from emulator.caller_exchange import exchange
from features.steps.entry_steps import _run_on_fleet
from features.steps.outside_values_steps import _expand, check_answered
from fireflymux._messages_generated import PeerDatagram, PeerNotice, PeerReport
from fireflymux.entry import snapshot_client

_REPORT = PeerReport(
    instance='entry-9',
    config_version=1,
    members_era=0,
    members_version=1,
    store_age_milliseconds=-1,
    is_whole=True,
    loads=[],
    placements=[],
    refusals=[],
    usage={},
    demand={},
    crashes=[],
    leaving=[],
)
_DATAGRAM = PeerDatagram(
    host='127.0.0.99',
    failure_domain='b',
    is_relayed=False,
    is_for_all=False,
    incarnation=1,
    sequence=1,
    part=0,
    parts=1,
    content=b'',
)
_NOTICE = PeerNotice(
    kind='notice', instance='entry-9', op_era=0, op_version=1, evacuated=[], warming=[]
)


def _pack(message, **changes):
    return msgspec.msgpack.encode(list((attrs.asdict(message) | changes).values()))


def _send_datagram(fleet, content, number=0):
    settings = fleet.settings[number]
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.sendto(content, (settings.peer_host, settings.peer_port))


def _parse_member(text):
    """Parses a value in JSON, in which the texts nan and inf stand for these floats."""
    value = orjson.loads(_expand(text))
    if isinstance(value, dict):
        return {
            name: float(entry) if entry in ('nan', 'inf') else entry
            for name, entry in value.items()
        }
    return value


async def _describe_after(fleet):
    """Returns what each instance knows of the others after a while, and its answers."""
    await trio.sleep(0.5)
    known = []
    for number, instance in enumerate(fleet.instances):
        replies = [(await fleet.call('/', number)).status for _ in range(3)]
        link = instance._peers
        known.append((replies, sorted(link.heard), link.list_hosts()))
        now = trio.current_time()
        standing = instance._state.shares.standing_of('mothers', now)
        assert 0 <= standing.asked < 1e9 and 0 <= standing.given < 1e9, standing
    return known


@when('datagrams arrive whose members are replaced by')
def send_odd_datagrams(context):
    async def act(fleet):
        for sequence, row in enumerate(context.table, 1):
            changed = {row['member']: _parse_member(row['value'])}
            if row['message'] == 'notice':
                _send_datagram(fleet, _pack(_NOTICE, **changed))
                continue
            content = _pack(_REPORT, **(changed if row['message'] == 'report' else {}))
            changes = {'sequence': sequence, 'content': content}
            if row['message'] == 'datagram':
                changes |= changed
            _send_datagram(fleet, _pack(_DATAGRAM, **changes))
            await trio.sleep(0.02)
        return await _describe_after(fleet)

    _run_on_fleet(context, act)


@when('part 5 of 6 and part 0 of 2 arrive with the same number')
def send_disagreeing_parts(context):
    async def act(fleet):
        for part, parts in ((5, 6), (0, 2)):
            _send_datagram(fleet, _pack(_DATAGRAM, part=part, parts=parts))
        return await _describe_after(fleet)

    _run_on_fleet(context, act)


@then('both instances still hear each other alone, and answer')
def check_hear_each_other(context):
    hosts = ['127.0.0.11', '127.0.0.12']
    expected = [([200] * 3, [host], [host]) for host in reversed(hosts)]
    assert context.result == expected, context.result


@when('a report that neither can apply arrives from another failure domain at the first')
def send_unusable_report(context):
    async def act(fleet):
        received = []
        link = fleet.instances[1]._peers
        handle = link._handle_datagram

        def record(datagram):
            received.append(datagram.host)
            handle(datagram)

        link._handle_datagram = record
        _send_datagram(fleet, _pack(_DATAGRAM, content=_pack(_REPORT, loads=[1])))
        await trio.sleep(0.3)
        return received.count(_DATAGRAM.host)

    _run_on_fleet(context, act)


@then('the second has got it, too')
def check_relayed(context):
    assert context.result == 1, context.result


@when('a notice states that "e0" warms up for 584 million years and "e1" for 3 seconds')
def send_endless_warmup(context):
    async def act(fleet):
        state = fleet.instances[0]._state
        numbers = {live.endpoint.identifier: live.number for live in state.list_endpoints()}
        warming = [numbers['e0'], 2**63, numbers['e1'], 3000]
        _send_datagram(fleet, _pack(_NOTICE, warming=warming))
        await trio.sleep(0.3)
        now = trio.current_time()
        return [
            live.endpoint.identifier for live in state.list_endpoints() if live.is_warming(now)
        ]

    _run_on_fleet(context, act)


@then('the instance takes "e1" alone to be warming up')
def check_warming(context):
    assert context.result == ['e1'], context.result


@when('a report states a count with the generation {generation:d} and one that leads to a refusal')
def send_endless_generation(context, generation):
    async def act(fleet):
        crashes = [[1, generation, 5, 6, 7], [2, 0, 5, 6, 7]]
        _send_datagram(fleet, _pack(_DATAGRAM, content=_pack(_REPORT, crashes=crashes)))
        await trio.sleep(0.3)
        counts = fleet.instances[0]._state.crashes
        for fingerprint in (1, 2):
            counts.record(fingerprint, endpoint=9, sent_at=0, now=trio.current_time())
        now = trio.current_time()
        return counts.report(now), counts.must_refuse(1, now), counts.must_refuse(2, now)

    _run_on_fleet(context, act)


@then('the instance takes over the latter alone')
def check_generation(context):
    own, *refused = context.result
    assert [count.generation for count in own] == [0, 0], own
    assert refused == [False, True], refused


@when('an instance fetches snapshots whose members are replaced by')
def fetch_odd_snapshots(context):
    async def act(fleet):
        first, second = fleet.instances
        left = [
            b'"%b":%b' % (row['member'].encode(), _expand(row['value']).encode())
            for row in context.table
        ]

        fetch_from_peer = snapshot_client._request_snapshot

        async def request_snapshot(state, host):
            if state is not first._state:
                return await fetch_from_peer(state, host)
            content = orjson.dumps(attrs.asdict(second._snapshots._build_snapshot({})))
            # The last of equal members counts.
            return content[:-1] + b',' + left.pop(0) + b'}' if left else content

        # An instance that misses a table fetches all the time.
        first._snapshots._has_tables = lambda: not left
        with patch.object(snapshot_client, '_request_snapshot', request_snapshot):
            with trio.fail_after(12):
                while left:
                    await trio.sleep(0.05)
            return await _describe_after(fleet)

    _run_on_fleet(context, act)


@when('a snapshot newer than the version "{version}" is asked for')
def ask_for_snapshot(context, version):
    async def act(fleet):
        settings = fleet.settings[0]
        line = 'GET /v1/snapshot?config_version={0} HTTP/1.1'.format(_expand(version))
        address = '{0}:{1}'.format(settings.peer_host, settings.peer_port)
        reply = await exchange(address, (line + '\r\nHost: x\r\n\r\n').encode())
        await trio.sleep(0.2)
        return [reply, *[await fleet.call('/', number) for number in (0, 1)]], [1, 1]

    _run_on_fleet(context, act)


@then('it is answered 200, and both instances go on')
def check_snapshot(context):
    check_answered(context)
