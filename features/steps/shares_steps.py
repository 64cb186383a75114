"""Steps that compare the decisions of the fair share with simple reference implementations."""

from behave import given, then, when
from hypothesis import given as generate
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies

from fireflymux.decisions.account_choice import choose_account
from fireflymux.decisions.account_shares import AccountShares
from fireflymux.messages import ServiceTotal
from fireflymux.decisions.service_totals import RETIRE_SECONDS, ServiceTotals

_FIXED = hypothesis_settings(max_examples=300, derandomize=True, deadline=None, database=None)
_COSTS = strategies.integers(0, 500)


@given('routers that receive the reports of sidecars')
@given('a single sidecar that grants, meters and settles requests')
@given('two accounts of any weights that are always backlogged on one slot')
def nothing(context):
    """The When step generates the traffic."""


@when('reports arrive in any order, repeated, and relayed by other routers')
def merge_reports(context):
    places = strategies.integers(0, 2)
    names = strategies.sampled_from('ab')
    report = strategies.tuples(strategies.just('report'), places, names, names, _COSTS)
    retire = strategies.tuples(strategies.just('retire'), places)
    relay = strategies.tuples(strategies.just('relay'), places, places)

    @_FIXED
    @generate(strategies.lists(strategies.one_of(report, relay, retire), max_size=40))
    def run(schedule):
        now = [0.0]
        routers = [ServiceTotals(clock=lambda: now[0]) for _ in range(3)]
        gone = set()
        retired_at = [set() for _ in range(3)]
        # Reference implementation: each router keeps all reports; for each sidecar and account,
        # the largest counts. A router ignores reports of sidecars that it has retired. A router
        # without reports copies the state of the router whose snapshot it merges.
        heard = [set() for _ in range(3)]
        for event in schedule:
            if event[0] == 'retire':
                # All reports are old enough to be retired by now. Their sidecars send no more reports.
                now[0] += 2 * RETIRE_SECONDS
                gone |= {sidecar for reports in heard for sidecar, _, _ in reports}
                routers[event[1]].retire_silent(lambda _: False)
                retired_at[event[1]] |= {sidecar for sidecar, _, _ in heard[event[1]]}
                continue
            if event[0] == 'relay':
                _, target, source = event
                routers[target].merge_snapshot(routers[source].to_snapshot())
                if not heard[target]:
                    heard[target] = set(heard[source])
                    retired_at[target] = set(retired_at[source])
                passed_over = retired_at[target] | retired_at[source]
                heard[target] |= {item for item in heard[source] if item[0] not in passed_over}
                continue
            _, router, sidecar, account, cost = event
            if sidecar in gone:
                continue
            total = ServiceTotal(pool='p', account=account, settled=cost)
            routers[router].merge(sidecar, [total])
            heard[router].add((sidecar, account, cost))
        for router, reports, retired in zip(routers, heard, retired_at, strict=True):
            for left_out in set('abc') - retired:
                check_sum(router, reports, left_out)

    context.run = run


def check_sum(router, reports, left_out):
    largest = {}
    for sidecar, account, cost in reports:
        if sidecar != left_out:
            key = (sidecar, account)
            largest[key] = max(largest.get(key, 0), cost)
    naive = {}
    for (_, account), cost in largest.items():
        naive[account] = naive.get(account, 0) + cost
    found = {total.account: total.settled for total in router.sum_without(left_out, 'p')}
    assert {name: cost for name, cost in found.items() if cost} == {
        name: cost for name, cost in naive.items() if cost
    }


@then('the sum without one sidecar equals that of the reference implementation')
@then('every virtual time equals the served cost plus the open estimates, divided by the weight')
@then('their normalized service differs by at most twice the largest normalized cost')
def run_generated(context):
    context.run()


def _shares(weights):
    return AccountShares('p', weights.__getitem__, clock=lambda: 0.0, idle_seconds=5)


@when('requests of any cost are granted, metered and settled')
def meter_requests(context):
    names = strategies.sampled_from('ab')
    events = strategies.tuples(strategies.sampled_from(('open', 'meter', 'close')), names, _COSTS)

    @_FIXED
    @generate(strategies.lists(events, max_size=40))
    def run(schedule):
        weights = {'a': 1.0, 'b': 4.0}
        shares = _shares(weights)
        charges = {'a': [], 'b': []}
        served = {'a': 0.0, 'b': 0.0}
        for act, name, cost in schedule:
            if act == 'open':
                charges[name].append(shares.open_charge(name))
            elif charges[name] and act == 'meter':
                shares.meter(charges[name][-1], cost)
                served[name] += cost
            elif charges[name]:
                shares.close_charge(charges[name].pop())
        for name, weight in weights.items():
            expected = sum(max(item.estimate - item.metered, 0) for item in charges[name])
            naive = (served[name] + expected) / weight
            assert abs(shares.virtual_time(name) - naive) < 1e-6

    context.run = run


@when('requests of any cost run to completion')
def run_one_slot(context):
    costs = strategies.lists(strategies.integers(1, 500), min_size=20, max_size=200)
    weights = strategies.integers(1, 8)

    @_FIXED
    @generate(costs, weights, weights)
    def run(schedule, first, second):
        limits = {'a': float(first), 'b': float(second)}
        shares = _shares(limits)
        served = {'a': 0.0, 'b': 0.0}
        largest = max(schedule) / min(first, second)
        for cost in schedule:
            name = choose_account('ab', shares.virtual_time)
            charge = shares.open_charge(name)
            shares.meter(charge, cost)
            shares.close_charge(charge)
            served[name] += cost / limits[name]
            assert abs(served['a'] - served['b']) <= 2 * largest

    context.run = run


def _serve(shares, account):
    charge = shares.open_charge(account)
    shares.meter(charge, 50)
    shares.close_charge(charge)


@given('a slot that one account used for a minute, with one request per second of another account')
def use_spare(context):
    context.now = 0.0
    context.shares = AccountShares('p', lambda _: 1.0, clock=lambda: context.now, idle_seconds=5)
    for second in range(60):
        context.now = float(second)
        for account in 20 * ['busy'] + ['small']:
            context.shares.raise_floors([account])
            _serve(context.shares, account)


@when('both are backlogged for {count:d} grants')
def contend(context, count):
    waiting = ('busy', 'small')
    context.granted = []
    for _ in range(count):
        context.now += 0.05
        context.shares.raise_floors(waiting)
        account = choose_account(waiting, context.shares.virtual_time)
        _serve(context.shares, account)
        context.shares.record_backlog(waiting)
        context.granted.append(account)


@then('each of the two gets half of the grants, within two grants')
def check_contend(context):
    half = len(context.granted) / 2
    for account in ('busy', 'small'):
        assert abs(context.granted.count(account) - half) <= 2, context.granted
