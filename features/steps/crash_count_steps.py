"""Steps for the crash counts that entry instances share."""

from behave import then, when
from hypothesis import given as generate
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies

from fireflymux.decisions.crash_counts import CrashCounts

_PROPERTY_SETTINGS = hypothesis_settings(
    max_examples=300, derandomize=True, deadline=None, database=None
)
_FINGERPRINT = 7
_INSTANCES = 3


def _exchange_reports(counts, now):
    for name, sender in enumerate(counts):
        for receiver in counts:
            if receiver is not sender:
                receiver.merge(str(name), sender.report(now))


@when('attempts break off and are answered on three instances that report to each other')
def share_counts(context):
    instances = strategies.integers(0, _INSTANCES - 1)
    action = strategies.one_of(
        strategies.tuples(strategies.just('break'), instances),
        strategies.tuples(strategies.just('answer'), instances),
        strategies.tuples(strategies.just('report'), instances, instances),
    )

    @_PROPERTY_SETTINGS
    @generate(strategies.lists(action, max_size=25), instances)
    def run(actions, last):
        counts = [CrashCounts() for _ in range(_INSTANCES)]
        # The reference: the crashes since the last answer, as one process would count them.
        crashes = 0
        for number, (kind, instance, *receivers) in enumerate(actions):
            now = float(number)
            if kind == 'report':
                counts[receivers[0]].merge(str(instance), counts[instance].report(now))
                continue
            _exchange_reports(counts, now)
            if kind == 'break':
                counts[instance].record(_FINGERPRINT, endpoint=number, sent_at=now, now=now)
                crashes += 1
            else:
                counts[instance].record_response(_FINGERPRINT, now)
                crashes = 0
            old_reports = [sender.report(now) for sender in counts]
        _exchange_reports(counts, float(len(actions)))
        expected = crashes >= 3
        assert [own.must_refuse(_FINGERPRINT, float(len(actions))) for own in counts] == [
            expected
        ] * _INSTANCES
        if not actions or actions[-1][0] == 'report':
            return
        # An answer clears the count at an instance that is told of it, also if a report from
        # before the answer reaches that instance later.
        counts[last].record_response(_FINGERPRINT, float(len(actions)))
        receiver = (last + 1) % _INSTANCES
        counts[receiver].merge(str(last), counts[last].report(float(len(actions))))
        third = (last + 2) % _INSTANCES
        counts[receiver].merge(str(third), old_reports[third])
        assert not counts[receiver].must_refuse(_FINGERPRINT, float(len(actions)))

    run()


@then('a request is refused after three crashes since its last answer, on all of them')
def shared_counts_checked(context):
    """The When step checks each generated case."""


@when(
    'one endpoint breaks off the same request on four instances at once, and three times in turn'
)
def record_overlapping_crashes(context):
    overlapping = [CrashCounts() for _ in range(4)]
    for counts in overlapping:
        for _ in range(2):
            counts.record(_FINGERPRINT, endpoint=1, sent_at=0.0, now=1.0)
    _exchange_reports(overlapping, 1.0)
    sequential = CrashCounts()
    for number in range(3):
        sequential.record(_FINGERPRINT, endpoint=1, sent_at=number + 0.5, now=number + 1.0)
    context.crash_results = (
        [counts.must_refuse(_FINGERPRINT, 1.0) for counts in overlapping],
        sequential,
    )


@then('only the attempts in turn make the request refused')
def check_overlapping_crashes(context):
    overlapping, sequential = context.crash_results
    assert not any(overlapping), overlapping
    assert sequential.must_refuse(_FINGERPRINT, 3.0)
