"""Steps that simulate load on one engine: floods, retries, priorities, long prompts."""

import itertools
import math

import attrs
from behave import then, when

from features.steps.engine_choice_steps import _TOKENS_PER_SECOND, _view_engine
from fireflymux.decisions.engine_choice import choose_engine, is_worth_placing
from fireflymux.decisions.fair_shares import FairShares
from fireflymux.decisions.placing_policy import PlacingPolicy
from fireflymux.decisions.prompts import PromptPart
from fireflymux.decisions.waiting import WaitingRequest, WaitingRequests


@attrs.define
class _LoadResult:
    """Outcome of a simulated load.

    Attributes:
        asked: Requests by sender, without retries.
        on_time: Requests placed in time by sender, without retries.
        idle_seconds: Time in which the engine had no prompt to read.
        on_time_by_second: The same as `on_time` for each second.
    """

    asked: dict[str, int]
    on_time: dict[str, int]
    idle_seconds: float
    on_time_by_second: dict[str, list[int]]

    def lowest_ratio(self, sender, other, seconds, start=0):
        """Returns the lowest ratio of one sender's requests on time to another's in any window.

        Args:
            sender: Sender in the numerator.
            other: Sender in the denominator.
            seconds: Length of the windows.
            start: Second at which the first window starts.
        """
        counts = zip(self.on_time_by_second[sender], self.on_time_by_second[other], strict=True)
        per_second = list(counts)[start:]
        windows = [
            per_second[first : first + seconds] for first in range(len(per_second) - seconds + 1)
        ]
        return min(
            sum(own for own, _ in window) / max(sum(others for _, others in window), 1)
            for window in windows
        )


def _process_prompts(engine, tokens):
    """Lets an engine read tokens of its prompts, in order.

    Args:
        engine: Tokens left to read of each prompt; prompts that are read are removed.
        tokens: Tokens to read.
    """
    while engine and tokens > 0:
        read = min(tokens, engine[0])
        tokens -= read
        engine[0] -= read
        if engine[0] <= 0:
            engine.pop(0)


def _simulate_load(
    intervals,
    *,
    caller_retry_seconds=None,
    recognizes_retries=True,
    priorities=None,
    start_seconds=None,
):
    """Simulates 20 s on one engine of 80,000 tokens a second with prompts of 2,000 tokens.

    The target is 0.4 s; requests that are not placed within 0.1 s are refused.

    Args:
        intervals: Seconds between two requests of each sender. The part of the sender's name
            after the last dot is its account.
        caller_retry_seconds: Time after which a refused caller retries once; None for never.
        recognizes_retries: Whether retries of callers are marked as such.
        priorities: Priority by sender, 0 for those without one; the lowest number is the most
            urgent.
        start_seconds: Time of the first request by sender, 0 for those without one.
    """
    shares = FairShares(4.0)
    queue = WaitingRequests()
    engine = []
    result = _LoadResult(
        asked=dict.fromkeys(intervals, 0),
        on_time=dict.fromkeys(intervals, 0),
        idle_seconds=0.0,
        on_time_by_second={sender: [0] * 20 for sender in intervals},
    )
    pending_retries = []
    outstanding = []
    step = 0.005

    def add_request(sender, now, *, is_caller_retry):
        account = sender.rpartition('.')[2]
        waiting = WaitingRequest(
            account=account,
            priority=(priorities or {}).get(sender, 0),
            parts=(PromptPart(len(outstanding), 2000),),
            prompt_tokens=2000,
            output_tokens=0,
            arrived_at=now,
            target_seconds=0.4,
            is_caller_retry=is_caller_retry and recognizes_retries,
            excluded=set(),
        )
        shares.asked.charge(account, 2000, now)
        queue.record_priority(waiting, now)
        queue.add(waiting)
        outstanding.append((waiting, sender, is_caller_retry))

    for tick in range(4000):
        now = tick * step
        for sender, interval in intervals.items():
            if now < (start_seconds or {}).get(sender, 0):
                continue
            for _ in range(int((now + step) / interval) - int(now / interval)):
                result.asked[sender] += 1
                add_request(sender, now, is_caller_retry=False)
        while pending_retries and pending_retries[0][0] <= now:
            add_request(pending_retries.pop(0)[1], now, is_caller_retry=True)

        def choose(waiting, now=now):
            placement = choose_engine([_view_engine(1, sum(engine))], waiting.parts, 2000)
            is_over = shares.is_over(waiting.account, now)
            wait_fraction = PlacingPolicy().wait_fraction(
                has_more_urgent=waiting.has_more_urgent, is_over=is_over
            )
            if not is_worth_placing(
                placement,
                elapsed_seconds=now - waiting.arrived_at,
                target_seconds=0.4,
                wait_fraction=wait_fraction,
                is_late=waiting.is_caller_retry,
            ):
                return None
            engine.append(2000)
            shares.charge(waiting.account, 2000, now)
            return placement

        queue.place(
            choose,
            usage=lambda account, now=now: shares.bucket_deficit_of(account, now),
            is_over=lambda account, now=now: shares.is_over(account, now),
        )
        for entry in list(outstanding):
            waiting, sender, is_caller_retry = entry
            if waiting.placement is not None:
                result.on_time[sender] += not is_caller_retry
                result.on_time_by_second[sender][int(now)] += not is_caller_retry
                outstanding.remove(entry)
            elif now - waiting.arrived_at > 0.1:
                queue.discard(waiting)
                outstanding.remove(entry)
                if caller_retry_seconds is not None and not is_caller_retry:
                    pending_retries.append((now + caller_retry_seconds, sender))
        work = step * _TOKENS_PER_SECOND
        result.idle_seconds += max(work - sum(engine), 0) / _TOKENS_PER_SECOND
        _process_prompts(engine, work)
    return result


@when('one account demands ten times the capacity of an engine and another a fifth of it')
def simulate_flood(context):
    context.result = _simulate_load({'flood': 0.0025, 'modest': 0.125})


@then('the modest account gets nine tenths of its demand, and the engine is hardly ever idle')
def check_flood(context):
    result = context.result
    assert result.on_time['modest'] >= 0.9 * result.asked['modest'], result
    assert result.idle_seconds <= 0.2, result


@when('the demand is twice the capacity of an engine, and each refused caller retries once')
def simulate_retries(context):
    context.result = _simulate_load({'only': 0.0125}, caller_retry_seconds=0.7)
    context.baseline = _simulate_load(
        {'only': 0.0125}, caller_retry_seconds=0.7, recognizes_retries=False
    )


@then(
    'nine tenths of the capacity serve requests on time, more than if retries were not recognized'
)
def check_retries(context):
    result, baseline = context.result, context.baseline
    capacity = 20 * _TOKENS_PER_SECOND / 2000
    assert result.on_time['only'] >= 0.9 * capacity, (result, baseline)
    assert result.on_time['only'] > baseline.on_time['only'], (result, baseline)
    assert result.idle_seconds <= 0.2, result


_URGENT_SENDERS = ('urgent.a', 'urgent.b')


_PRIORITY_INTERVALS = {'urgent.a': 0.2, 'urgent.b': 0.2, 'bulk.a': 0.018, 'bulk.b': 0.018}


@when('the demand is three times the capacity of an engine, a twelfth of it urgent')
def simulate_priorities(context):
    context.result = _simulate_load(_PRIORITY_INTERVALS, priorities={'bulk.a': 1, 'bulk.b': 1})
    context.baseline = _simulate_load(_PRIORITY_INTERVALS)


@then('nine tenths of the urgent requests are on time, and both accounts get the same')
def check_priorities(context):
    result, baseline = context.result, context.baseline
    for sender in _URGENT_SENDERS:
        assert result.on_time[sender] >= 0.9 * result.asked[sender], (result, baseline)
        assert baseline.on_time[sender] < 0.9 * baseline.asked[sender], baseline
    shares = [
        result.on_time['urgent.{0}'.format(name)] + result.on_time['bulk.{0}'.format(name)]
        for name in 'ab'
    ]
    assert min(shares) >= 0.9 * max(shares), result
    assert result.idle_seconds <= 0.2, result


@when('an urgent and a bulk account each demand the full capacity of an engine')
def simulate_ranked_accounts(context):
    context.result = _simulate_load({'urgent': 0.025, 'bulk': 0.025}, priorities={'bulk': 1})


@then('in any {seconds:d} seconds each of the two gets at least half of what the other one got')
def check_ranked_accounts(context, seconds):
    result = context.result
    assert result.lowest_ratio('bulk', 'urgent', seconds) >= 0.5, result
    assert result.lowest_ratio('urgent', 'bulk', seconds) >= 0.5, result
    assert result.idle_seconds <= 0.2, result


@when(
    'an account uses an engine alone for {start:d} seconds'
    ' and two more demand all of it from then on'
)
def simulate_late_accounts(context, start):
    context.start = start
    intervals = {'first': 0.025, 'second': 0.025, 'third': 0.025}
    context.result = _simulate_load(intervals, start_seconds={'second': start, 'third': start})


@then(
    'in any {seconds:d} seconds from then on each of the three gets at least half'
    ' of what another got'
)
def check_late_accounts(context, seconds):
    result = context.result
    for sender, other in itertools.permutations(result.asked, 2):
        ratio = result.lowest_ratio(sender, other, seconds, context.start)
        assert ratio >= 0.5, (sender, other, ratio, result.on_time_by_second)


_SHORT_TOKENS = 4000


_LONG_TOKENS = 18000


_LOAD_PERIOD_SECONDS = 3.0


def _simulate_prompt_sizes(may_place):
    """Simulates 40 s on one engine of 80,000 tokens a second with a target of 0.6 s.

    The request rate follows a sine wave between zero and twice the engine's capacity.

    Args:
        may_place: Tells whether a prompt is placed, by its placement and the time that it waited.

    Returns:
        Fractions of the long prompts and of all prompts that were placed.
    """
    step = 0.005
    engine, waiting = [], []
    asked = {_SHORT_TOKENS: 0, _LONG_TOKENS: 0}
    placed = dict.fromkeys(asked, 0)
    rates = {_SHORT_TOKENS: 13.3, _LONG_TOKENS: 1.5}
    due = dict.fromkeys(rates, 0.0)
    for tick in range(8000):
        now = tick * step
        load_factor = 1 + math.sin(2 * math.pi * now / _LOAD_PERIOD_SECONDS)
        for tokens, rate in rates.items():
            due[tokens] += load_factor * rate * step
            while due[tokens] >= 1:
                due[tokens] -= 1
                asked[tokens] += 1
                waiting.append((tokens, now))
        remaining = []
        for tokens, arrived in waiting:
            placement = choose_engine([_view_engine(1, sum(engine))], (), tokens)
            if may_place(placement, now - arrived):
                placed[tokens] += 1
                engine.append(tokens)
            elif now - arrived < PlacingPolicy().patience_part * 0.6:
                remaining.append((tokens, arrived))
        waiting = remaining
        _process_prompts(engine, step * _TOKENS_PER_SECOND)
    overall = sum(placed.values()) / sum(asked.values())
    return placed[_LONG_TOKENS] / asked[_LONG_TOKENS], overall


@when(
    'the demand is up to twice the capacity of an engine, a tenth of the prompts 4.5 times as long'
)
def simulate_prompt_sizes(context):
    def place_by_spare_time(placement, elapsed):
        return is_worth_placing(
            placement,
            elapsed_seconds=elapsed,
            target_seconds=0.6,
            wait_fraction=PlacingPolicy().target_part,
        )

    def place_by_first_event(placement, elapsed):
        return elapsed + placement.seconds <= 0.75 * 0.6

    context.result = _simulate_prompt_sizes(place_by_spare_time)
    context.baseline = _simulate_prompt_sizes(place_by_first_event)


@then('the placed fraction of long prompts is at least half that of all prompts')
def check_prompt_sizes(context):
    long, overall = context.result
    assert long >= 0.5 * overall, (context.result, context.baseline)
    assert context.baseline[0] < long, (context.result, context.baseline)
