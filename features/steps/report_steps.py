"""Steps for the reports that entry instances send each other in datagrams."""

import random

import msgspec
import trio
from behave import given, then, when
from hypothesis import given as generate
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies

from emulator.entry_fleet import configuration, open_fleet, route
from fireflymux.decisions.loads import EndpointLoad, FleetLoads, find_load_changes
from fireflymux.entry.report_datagrams import ReportAssembler, ReportSplitter, decode_datagram

_REPRODUCIBLE_SETTINGS = hypothesis_settings(
    max_examples=200, derandomize=True, deadline=None, database=None
)
_HOST = '10.0.0.1'


@given(
    'two instances, one of which has state for {accounts:d} accounts and {requests:d} broken '
    'requests'
)
def set_state_size(context, accounts, requests):
    context.accounts = accounts
    context.requests = requests


def _fill_state(state, accounts, requests):
    now = trio.current_time()
    for number in range(accounts):
        name = 'account-with-a-name-{0}'.format(number)
        state.shares.given.charge(name, 1e6, now)
        state.shares.asked.charge(name, 2e6, now)
    for number in range(requests):
        state.crashes.record(2**55 + number, endpoint=number, sent_at=now, now=now)


@when('that instance reports all its state')
def report_large_state(context):
    async def run():
        with trio.fail_after(10):
            async with open_fleet() as fleet:
                fleet.store.put('op', 'config', configuration(5, [route('/', 'safe', 'pool')]))
                address = await fleet.start_store()
                for _ in range(2):
                    await fleet.add_instance(address)
                for number in range(2):
                    await fleet.wait_ready(number)
                sender, receiver = (instance._state for instance in fleet.instances)
                _fill_state(sender, context.accounts, context.requests)
                await trio.sleep(1)
                now = trio.current_time()
                return receiver.shares.given.totals(now), receiver.crashes._others

    context.given, context.crashes = trio.run(run)


@then('the other one has this state within a second')
def check_large_state(context):
    assert len(context.given) == context.accounts, len(context.given)
    (counts,) = context.crashes.values()
    assert len(counts) == context.requests, len(counts)


_DATAGRAM_FATES = strategies.lists(
    strategies.sampled_from(('delivered', 'lost', 'duplicated')), max_size=60
)


@when('datagrams of reports of any length are lost, duplicated and reordered')
def generate_datagrams(context):
    @_REPRODUCIBLE_SETTINGS
    @generate(
        strategies.lists(strategies.integers(1, 6000), min_size=1, max_size=8),
        _DATAGRAM_FATES,
        strategies.integers(0, 1000),
    )
    def run(lengths, fates, seed):
        rng = random.Random(seed)
        sender = ReportSplitter(_HOST, 'a', rng)
        contents = [bytes([number]) * length for number, length in enumerate(lengths)]
        splits = [sender.split(content, is_for_all=False) for content in contents]
        sent = [datagram for datagrams in splits for datagram in datagrams]
        arriving = []
        for number, datagram in enumerate(sent):
            fate = fates[number] if number < len(fates) else 'delivered'
            arriving.extend([datagram] * {'delivered': 1, 'lost': 0, 'duplicated': 2}[fate])
        rng.shuffle(arriving)
        assembler = ReportAssembler()
        newest = []
        for raw in arriving:
            report = assembler.take(decode_datagram(raw))
            if report is None:
                continue
            assert report.content in contents
            if report.is_newest:
                newest.append(report.content)
        order = [contents.index(content) for content in newest]
        assert order == sorted(set(order)), order
        single_datagram = [index for index, datagrams in enumerate(splits) if len(datagrams) == 1]
        arrived_single = [index for index in single_datagram if splits[index][0] in arriving]
        assert max(order, default=-1) >= max(arrived_single, default=-1), (order, arrived_single)

    run()


@then('reports are assembled from all their parts, and none replaces a newer one')
def check_datagrams(context):
    """The When step asserts it for each generated case."""


@when('an instance restarts while its last reports are still in transit')
def restart_sender(context):
    before = ReportSplitter(_HOST, 'a', random.Random(1))
    after = ReportSplitter(_HOST, 'a', random.Random(2))
    reports = [before.split(b'%d' % number, is_for_all=True)[0] for number in range(5)]
    first = after.split(b'new', is_for_all=True)[0]
    assembler = ReportAssembler()
    arriving = [*reports[:4], first, reports[4], reports[2]]
    context.assembled = [assembler.take(decode_datagram(raw)) for raw in arriving]


@then('the reports of its previous run no longer replace anything')
def check_no_replacement(context):
    newest_flags = [report is not None and report.is_newest for report in context.assembled]
    assert newest_flags == [True] * 5 + [False] * 2, context.assembled


@when('arbitrary bytes arrive at the port for reports')
def generate_bytes(context):
    @_REPRODUCIBLE_SETTINGS
    @generate(strategies.binary(max_size=200))
    def run(raw):
        try:
            datagram = decode_datagram(raw)
        except msgspec.MsgspecError:
            return
        ReportAssembler().take(datagram)

    run()


@then('they are parsed as a report or rejected, and raise no other error')
def check_bytes(context):
    """The When step asserts it for each generated case."""


@when('an instance reports changes of its loads, some are lost, and a complete report follows')
def generate_load_changes(context):
    step = strategies.tuples(
        strategies.sampled_from(('begin', 'end', 'report', 'lost', 'whole')),
        strategies.integers(0, 3),
    )

    @_REPRODUCIBLE_SETTINGS
    @generate(strategies.lists(step, max_size=60))
    def run(steps):
        sender, receiver = FleetLoads(), FleetLoads()
        # Reference implementation: the number of requests that run on each endpoint.
        running = dict.fromkeys(range(4), 0)
        sent = {}
        for kind, endpoint in [*steps, ('whole', 0)]:
            if kind == 'begin':
                sender.begin(endpoint, 10)
                running[endpoint] += 1
            elif kind == 'end' and running[endpoint]:
                sender.end_prefill(endpoint, 10)
                sender.end(endpoint)
                running[endpoint] -= 1
            elif kind in {'report', 'lost', 'whole'}:
                current = sender.report()
                is_whole = kind == 'whole'
                loads = current if is_whole else find_load_changes(sent, current)
                sent = current
                if kind != 'lost':
                    receiver.merge('sender', loads, 0.0, is_whole=is_whole)
        for endpoint, count in running.items():
            load = receiver.total(endpoint)
            assert (load.pending_tokens, load.running) == (10 * count, count), endpoint
        receiver.expire(1.5)
        assert all(receiver.total(endpoint) == EndpointLoad() for endpoint in running)

    run()


@then(
    "the receiver has exactly the sender's loads, and none after the sender has stopped reporting"
)
def check_loads(context):
    """The When step asserts it for each generated case."""
