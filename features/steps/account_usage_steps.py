"""Steps for what accounts are owed and charged: fair levels, refunds, buckets, lost reports."""

import math

from behave import then, when
from hypothesis import given as generate
from hypothesis import strategies

from features.steps.decision_steps import _PROPERTY_SETTINGS
from fireflymux.decisions.account_buckets import AccountBuckets
from fireflymux.decisions.account_usage import AccountUsage
from fireflymux.decisions.fair_shares import FairShares, find_fair_level


@when('accounts demand any amounts')
def compute_fair_levels(context):
    @_PROPERTY_SETTINGS
    @generate(
        strategies.dictionaries(strategies.text(max_size=3), strategies.integers(0, 1000)),
        strategies.integers(0, 3000),
    )
    def run(asked, capacity):
        level = find_fair_level(asked, capacity)
        allocated = sum(min(demand, level) for demand in asked.values())
        assert abs(allocated - min(capacity, sum(asked.values()))) < 0.001

    run()


@when(
    'half of the tokens charged to one of two accounts are refunded, and another instance is told'
)
def refund_tokens(context):
    context.instances = here, there = FairShares(4.0), FairShares(4.0)
    for tick in range(1, 400):
        now = tick / 100
        for account in ('unlucky', 'lucky'):
            here.asked.charge(account, 900, now)
            here.charge(account, 600, now)
        here.charge('unlucky', 600, now)
        here.refund('unlucky', 600, charged_at=now, now=now)
        if tick % 20 == 0:
            given, asked = here.given.report(now), here.asked.report(now)
            there.merge('here', given=given, asked=asked, now=now)


@then('both instances count the same usage for both accounts')
def check_refunded(context):
    for shares in context.instances:
        unlucky, lucky = (shares.standing_of(name, 3.99) for name in ('unlucky', 'lucky'))
        assert math.isclose(unlucky.given, lucky.given, rel_tol=0.01), (unlucky, lucky)
        assert math.isclose(unlucky.missing, lucky.missing, abs_tol=600), (unlucky, lucky)


@when('accounts use any number of tokens, in seconds with and without a shortage')
def use_buckets(context):
    uses = strategies.tuples(strategies.sampled_from('ab'), strategies.floats(0, 1e5))
    levels = strategies.one_of(strategies.just(math.inf), strategies.floats(1, 1e6))
    seconds = strategies.tuples(strategies.lists(uses, max_size=8), levels)

    @_PROPERTY_SETTINGS
    @generate(strategies.lists(seconds, max_size=12))
    def run(periods):
        buckets = AccountBuckets(0.5)
        baseline = dict.fromkeys('ab', 0.0)
        for used, level in periods:
            for account, tokens in used:
                buckets.take(account, tokens)
                baseline[account] += tokens
            buckets.refill(level, 1.0)
            for account, deficit in baseline.items():
                remaining = 0.0 if math.isinf(level) else min(deficit - level, level)
                baseline[account] = max(remaining, 0.0)
                assert math.isclose(buckets.deficit_of(account), baseline[account], abs_tol=1e-6)
                assert buckets.deficit_of(account) <= 2 * buckets.depth

    run()


@when('an instance charges tokens at any time and any of its reports are lost')
def lose_usage_reports(context):
    charges = strategies.tuples(strategies.floats(0, 5), strategies.integers(1, 50000))
    window = 1.0

    @_PROPERTY_SETTINGS
    @generate(strategies.lists(charges, min_size=1, max_size=30), strategies.integers(0, 2**25))
    def run(charged, lost):
        sender, receiver = AccountUsage(window), AccountUsage(window)
        receiver.merge('sender', {}, 0.0)
        charged.sort()
        known, reported_at = 0.0, 0.0
        lower_bound, upper_bound, unreported = 0.0, 0.0, 0
        for number in range(1, 31):
            now = number / 5
            while charged and charged[0][0] <= now:
                charged_at, tokens = charged.pop(0)
                sender.charge('a', tokens, charged_at)
                unreported += tokens
            # All reports after the 25th arrive, so that everything is known in the end.
            if number <= 25 and lost >> (number - 1) & 1:
                continue
            report = sender.report(now)
            known += sum(receiver.find_increases('sender', report, now).values())
            receiver.merge('sender', report, now)
            age = now - reported_at
            correction = math.exp(min(age, window) / 2)
            lower_bound += correction * math.exp(-age) * unreported
            upper_bound += correction * unreported
            reported_at, unreported = now, 0
        # Counts below one token are dropped.
        assert lower_bound - 50 <= known <= upper_bound + 50, (lower_bound, known, upper_bound)

    run()
