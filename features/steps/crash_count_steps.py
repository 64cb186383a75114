"""Steps of counts of broken attempts that entry instances share."""

from behave import then, when
from hypothesis import given as generate
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies

from fireflymux.decisions.crash_counts import CrashCounts

_FIXED = hypothesis_settings(max_examples=300, derandomize=True, deadline=None, database=None)
_REQUEST = 7
_INSTANCES = 3


def _exchange(counts, now):
    for name, sender in enumerate(counts):
        for receiver in counts:
            if receiver is not sender:
                receiver.merge(str(name), sender.report(now))


@when('attempts break off and are answered on three instances that report to each other')
def share_counts(context):
    place = strategies.integers(0, _INSTANCES - 1)
    step = strategies.one_of(
        strategies.tuples(strategies.just('break'), place),
        strategies.tuples(strategies.just('answer'), place),
        strategies.tuples(strategies.just('report'), place, place),
    )

    @_FIXED
    @generate(strategies.lists(step, max_size=25), place)
    def run(steps, last):
        counts = [CrashCounts() for _ in range(_INSTANCES)]
        # Naive: what one process that saw every step would know.
        crashes = 0
        for number, (kind, here, *there) in enumerate(steps):
            now = float(number)
            if kind == 'report':
                counts[there[0]].merge(str(here), counts[here].report(now))
                continue
            _exchange(counts, now)
            if kind == 'break':
                counts[here].record(_REQUEST, endpoint=number, sent_at=now, now=now)
                crashes += 1
            else:
                counts[here].record_answer(_REQUEST, now)
                crashes = 0
            stale = [sender.report(now) for sender in counts]
        _exchange(counts, float(len(steps)))
        expected = crashes >= 3
        assert [known.is_refused(_REQUEST) for known in counts] == [expected] * _INSTANCES
        if not steps or steps[-1][0] == 'report':
            return
        counts[last].record_answer(_REQUEST, float(len(steps)))
        other = (last + 1) % _INSTANCES
        counts[other].merge(str(last), counts[last].report(float(len(steps))))
        third = (last + 2) % _INSTANCES
        counts[other].merge(str(third), stale[third])
        assert not counts[other].is_refused(_REQUEST)

    run()


@then('a request is refused after three crashes since its last answer, on all of them')
def shared_counts_checked(context):
    """The generated cases assert it."""


@when(
    'one endpoint breaks off the same request on four instances at once, and three times in turn'
)
def break_together(context):
    together = [CrashCounts() for _ in range(4)]
    for counts in together:
        for _ in range(2):
            counts.record(_REQUEST, endpoint=1, sent_at=0.0, now=1.0)
    _exchange(together, 1.0)
    alone = CrashCounts()
    for number in range(3):
        alone.record(_REQUEST, endpoint=1, sent_at=number + 0.5, now=number + 1.0)
    context.refused = ([counts.is_refused(_REQUEST) for counts in together], alone)


@then('only the attempts in turn make the request refused')
def check_together(context):
    together, alone = context.refused
    assert not any(together), together
    assert alone.is_refused(_REQUEST)
