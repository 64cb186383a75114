"""Steps that compare the decisions of the fair share with simple reference implementations."""

from behave import given, then, when
from hypothesis import given as generate
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies

from fireflymux.decisions.account_choice import choose_account
from fireflymux.decisions.account_shares import AccountShares
from fireflymux.decisions.service_totals import RETIRE_SECONDS, ServiceTotals
from fireflymux.messages import ServiceTotal

_REPRODUCIBLE_SETTINGS = hypothesis_settings(
    max_examples=300, derandomize=True, deadline=None, database=None
)
_COSTS = strategies.integers(0, 500)


@given('routers that receive the reports of sidecars')
@given('a single sidecar that grants, meters and settles requests')
@given('two accounts of any weights that are always backlogged on one slot')
def leave_setup_to_when_step(context):
    """The When step generates the traffic."""


@when('reports arrive in any order, repeated, and relayed by other routers')
def generate_reports(context):
    router_numbers = strategies.integers(0, 2)
    names = strategies.sampled_from('ab')
    report = strategies.tuples(strategies.just('report'), router_numbers, names, names, _COSTS)
    retire = strategies.tuples(strategies.just('retire'), router_numbers)
    relay = strategies.tuples(strategies.just('relay'), router_numbers, router_numbers)

    @_REPRODUCIBLE_SETTINGS
    @generate(strategies.lists(strategies.one_of(report, relay, retire), max_size=40))
    def run(schedule):
        now = [0.0]
        routers = [ServiceTotals(clock=lambda: now[0]) for _ in range(3)]
        retired_sidecars = set()
        retired_by_router = [set() for _ in range(3)]
        # Reference implementation: each router keeps all reports; for each sidecar and account,
        # the largest counts. A router ignores reports of sidecars that it has retired. A router
        # without reports copies the state of the router whose snapshot it merges.
        received = [set() for _ in range(3)]
        for event in schedule:
            if event[0] == 'retire':
                # All reports are old enough now to be retired, and their sidecars send no more.
                now[0] += 2 * RETIRE_SECONDS
                retired_sidecars |= {sidecar for reports in received for sidecar, _, _ in reports}
                routers[event[1]].retire_silent(lambda _: False)
                retired_by_router[event[1]] |= {sidecar for sidecar, _, _ in received[event[1]]}
                continue
            if event[0] == 'relay':
                _, target, source = event
                routers[target].merge_snapshot(routers[source].to_snapshot())
                if not received[target]:
                    received[target] = set(received[source])
                    retired_by_router[target] = set(retired_by_router[source])
                ignored = retired_by_router[target] | retired_by_router[source]
                received[target] |= {item for item in received[source] if item[0] not in ignored}
                continue
            _, router, sidecar, account, cost = event
            if sidecar in retired_sidecars:
                continue
            total = ServiceTotal(pool='p', account=account, settled=cost)
            routers[router].merge(sidecar, [total])
            received[router].add((sidecar, account, cost))
        for router, reports, retired in zip(routers, received, retired_by_router, strict=True):
            for excluded in set('abc') - retired:
                _check_sum(router, reports, excluded)

    context.compare = run


def _check_sum(router, reports, excluded):
    largest = {}
    for sidecar, account, cost in reports:
        if sidecar != excluded:
            key = (sidecar, account)
            largest[key] = max(largest.get(key, 0), cost)
    reference = {}
    for (_, account), cost in largest.items():
        reference[account] = reference.get(account, 0) + cost
    found = {total.account: total.settled for total in router.sum_without(excluded, 'p')}
    assert {name: cost for name, cost in found.items() if cost} == {
        name: cost for name, cost in reference.items() if cost
    }


@then('the sum without one sidecar equals that of the reference implementation')
@then('every virtual time equals the served cost plus the open estimates, divided by the weight')
@then('their normalized service differs by at most twice the largest normalized cost')
def run_comparison(context):
    context.compare()


def _build_shares(weights):
    return AccountShares('p', weights.__getitem__, clock=lambda: 0.0, idle_seconds=5)


@when('requests of any cost are granted, metered and settled')
def generate_metered_requests(context):
    names = strategies.sampled_from('ab')
    events = strategies.tuples(strategies.sampled_from(('open', 'meter', 'close')), names, _COSTS)

    @_REPRODUCIBLE_SETTINGS
    @generate(strategies.lists(events, max_size=40))
    def run(schedule):
        weights = {'a': 1.0, 'b': 4.0}
        shares = _build_shares(weights)
        charges = {'a': [], 'b': []}
        served = {'a': 0.0, 'b': 0.0}
        for action, name, cost in schedule:
            if action == 'open':
                charges[name].append(shares.open_charge(name))
            elif charges[name] and action == 'meter':
                shares.meter(charges[name][-1], cost)
                served[name] += cost
            elif charges[name]:
                shares.close_charge(charges[name].pop())
        for name, weight in weights.items():
            open_estimates = sum(max(item.estimate - item.metered, 0) for item in charges[name])
            reference = (served[name] + open_estimates) / weight
            assert abs(shares.virtual_time(name) - reference) < 1e-6

    context.compare = run


@when('requests of any cost run to completion')
def generate_grants(context):
    costs = strategies.lists(strategies.integers(1, 500), min_size=20, max_size=200)
    weights = strategies.integers(1, 8)

    @_REPRODUCIBLE_SETTINGS
    @generate(costs, weights, weights)
    def run(request_costs, first, second):
        weight_by_account = {'a': float(first), 'b': float(second)}
        shares = _build_shares(weight_by_account)
        served = {'a': 0.0, 'b': 0.0}
        largest = max(request_costs) / min(first, second)
        for cost in request_costs:
            name = choose_account('ab', shares.virtual_time)
            charge = shares.open_charge(name)
            shares.meter(charge, cost)
            shares.close_charge(charge)
            served[name] += cost / weight_by_account[name]
            assert abs(served['a'] - served['b']) <= 2 * largest

    context.compare = run


def _serve_request(shares, account):
    charge = shares.open_charge(account)
    shares.meter(charge, 50)
    shares.close_charge(charge)


@given('a slot that one account used for a minute, with one request per second of another account')
def use_spare_capacity(context):
    context.now = 0.0
    context.shares = AccountShares('p', lambda _: 1.0, clock=lambda: context.now, idle_seconds=5)
    for second in range(60):
        context.now = float(second)
        for account in 20 * ['busy'] + ['small']:
            context.shares.raise_floors([account])
            _serve_request(context.shares, account)


@when('both are backlogged for {count:d} grants')
def grant_backlogged(context, count):
    waiting = ('busy', 'small')
    context.granted = []
    for _ in range(count):
        context.now += 0.05
        context.shares.raise_floors(waiting)
        account = choose_account(waiting, context.shares.virtual_time)
        _serve_request(context.shares, account)
        context.shares.record_backlog(waiting)
        context.granted.append(account)


@then('each of the two gets half of the grants, within two grants')
def check_equal_grants(context):
    half = len(context.granted) / 2
    for account in ('busy', 'small'):
        assert abs(context.granted.count(account) - half) <= 2, context.granted
