"""Steps for the counts of crashes by part of prompts."""

from behave import given, then, when
from hypothesis import given as generate
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies

from features.steps.entry_steps import _run_on_fleet
from fireflymux.decisions.crash_counts import CrashCounts
from fireflymux.decisions.part_crashes import PartCrashes

_REPRODUCIBLE_SETTINGS = hypothesis_settings(
    max_examples=300, derandomize=True, deadline=None, database=None
)
_PART = 7
_QUARANTINE_SECONDS = 120.0


@given('crash counts of parts at {count:d} instances')
def set_instances(context, count):
    context.count = count
    context.instances = [PartCrashes(CrashCounts()) for _ in range(count)]


def _report(instances, sender, now):
    for receiver in instances:
        if receiver is instances[sender]:
            continue
        counts = instances[sender].counts.report(now)
        receiver.counts.merge(str(sender), counts)
        receiver.clear_completed(counts, now)


def _exchange_all(instances, now):
    # What a report clears is told in the next one.
    for _ in range(2):
        for sender in range(len(instances)):
            _report(instances, sender, now)


@when(
    'they count crashes, complete parts and report in any order, and one of them completes a '
    'part last'
)
def run_any_order(context):
    numbers = strategies.integers(0, context.count - 1)
    kinds = strategies.sampled_from(('crash', 'complete', 'report'))

    @_REPRODUCIBLE_SETTINGS
    @generate(strategies.lists(strategies.tuples(kinds, numbers), max_size=25), numbers)
    def run(actions, last):
        instances = [PartCrashes(CrashCounts()) for _ in range(context.count)]
        for number, (kind, instance) in enumerate(actions):
            now = float(number)
            if kind == 'crash':
                instances[instance].record_crash([_PART], endpoint=number, sent_at=now, now=now)
            elif kind == 'complete':
                instances[instance].record_response([_PART], now)
            else:
                _report(instances, instance, now)
        now = float(len(actions))
        instances[last].record_response([_PART], now)
        _exchange_all(instances, now)
        assert [own.find_cause([_PART], now) for own in instances] == [None] * len(instances)

    run()


@then('that part is refused at none of them once the reports have arrived')
def check_any_order(context):
    """The When step asserts it for each generated case."""


def _crash(instance, count, now, first_endpoint=100):
    for number in range(count):
        at = now + number
        instance.record_crash([_PART], endpoint=first_endpoint + number, sent_at=at, now=at)


@when('a part has crashed {crashes:d} endpoints, and {others:d} other parts run at 1 crash each')
def flood(context, crashes, others):
    (instance,) = context.instances
    _crash(instance, crashes, 0.0)
    context.was_refused = instance.find_cause([_PART], 5.0)
    for part in range(1000, 1000 + others):
        instance.record_crash([part], endpoint=1, sent_at=5.0, now=5.0)


@then('that part is still refused, and at most {most:d} counts are reported')
def check_flood(context, most):
    (instance,) = context.instances
    assert context.was_refused == _PART
    assert instance.find_cause([_PART], 6.0) == _PART
    assert len(instance.counts.report(6.0)) <= most


@when('a part has crashed {crashes:d} endpoints, and the quarantine ends')
def end_quarantine(context, crashes):
    instances = context.instances
    _crash(instances[0], crashes, 0.0)
    _exchange_all(instances, 3.0)
    context.before = [own.find_cause([_PART], 3.0) for own in instances]
    context.later = 3.0 + _QUARANTINE_SECONDS
    _exchange_all(instances, context.later)
    context.trial = [own.find_cause([_PART], context.later) for own in instances]
    _crash(instances[1], 1, context.later + 1, first_endpoint=200)
    _exchange_all(instances, context.later + 2)


@then('that part is sent once more, and refused at all instances after one more crash')
def check_trial(context):
    everywhere = [_PART] * context.count
    assert context.before == everywhere, context.before
    assert context.trial == [None] * context.count, context.trial
    now = context.later + 2
    assert [own.find_cause([_PART], now) for own in context.instances] == everywhere


@when('{count:d} requests with one part in common are sent')
def send_with_part(context, count):
    async def act(fleet):
        return [
            await fleet.call(
                '/a',
                content=b'%d' % number,
                more='X-Prompt-Prefix: aa:5,bb:5,{0:x}:5\r\nX-Token-Usage: 15,2'.format(number),
            )
            for number in range(count)
        ]

    _run_on_fleet(context, act)


@then('none of them is refused as one that crashes endpoints')
def check_not_refused(context):
    kinds = [reply.content for reply in context.result]
    assert not any(b'prompt_quarantined' in content for content in kinds), kinds
