"""Steps for calls that end within any of their awaits."""

import random
from types import SimpleNamespace

import trio
from behave import given, then, when

from emulator.scripted_calls import end_at_step, open_unreachable_port
from fireflymux.decisions.entry_configuration import Repeatability
from fireflymux.entry.failure_responses import write_failure
from fireflymux.entry.quarantine import _PROBE_SECONDS
from fireflymux.errors import NOT_RUN_STATUSES, CallFailure, ErrorKind, ExecutionStatus

#: Statuses that tell that a request may have run.
_MAY_HAVE_RUN_STATUSES = frozenset((502, 504))


@given('a "{kind}" call whose endpoint {behaviours}')
def set_up_call(context, kind, behaviours):
    context.kind = Repeatability[kind]
    context.behaviours = tuple(behaviours.split(', then '))


@when('it ends by {cause} within each of its awaits in turn')
def end_within_each(context, cause):
    with open_unreachable_port() as port:
        last = end_at_step(context.kind, context.behaviours, cause, 0, port)
        context.walks = [
            end_at_step(context.kind, context.behaviours, cause, step, port)
            for step in range(1, last.steps + 1)
        ]
    assert len(context.walks) > 3, last


@then('neither its caller nor the log is told that it did not run where it did')
def check_not_denied(context):
    ran = [walk for walk in context.walks if walk.runs]
    assert ran or context.behaviours[0] in {'rejects it', 'accepts no connection'}
    wrong = [walk for walk in ran if walk.status in NOT_RUN_STATUSES or walk.logged == 'no']
    assert not wrong, wrong


@then('none that was never sent is told to have run')
def check_not_claimed(context):
    unsent = [walk for walk in context.walks if not walk.sends]
    wrong = [
        walk
        for walk in unsent
        if walk.status in _MAY_HAVE_RUN_STATUSES or walk.logged not in {'', 'no'}
    ]
    assert not wrong, wrong


@when('it ends by itself')
def end_by_itself(context):
    with open_unreachable_port() as port:
        context.walk = end_at_step(context.kind, context.behaviours, '', 0, port)


@then("it is answered 502 without a wait, and a crash of its prompt's part is counted afterwards")
def check_at_once(context):
    walk = context.walk
    # The stream that breaks off within its answer was answered 200 before it did.
    assert walk.status == 502 or context.behaviours == ('breaks off within its answer',), walk
    assert walk.seconds < _PROBE_SECONDS / 2, walk
    assert walk.crash_counts == 2, walk


@then('it is answered 200 after the time in which an endpoint accepts a connection')
def check_waited(context):
    walk = context.walk
    assert walk.status == 200, walk
    assert walk.seconds >= _PROBE_SECONDS, walk


class _Writer:
    has_begun = False

    async def answer(self, status, fields, content):
        self.status = status
        self.fields = {name.lower(): value for name, value in fields}


@when('errors of every kind are written for requests that may have run')
def write_errors(context):
    context.writers = []
    for kind in ErrorKind:
        for ran in (ExecutionStatus.unknown, ExecutionStatus.yes):
            writer = _Writer()
            failure = CallFailure(kind, ran=ran)
            metadata = SimpleNamespace(attempt=b'a')
            trio.run(write_failure, failure, metadata, writer, random.Random(1))
            context.writers.append((kind, writer))


@then('none has a status that promises that the request did not run, or a time to come back')
def check_errors(context):
    wrong = [
        (kind.value, writer.status)
        for kind, writer in context.writers
        if writer.status in NOT_RUN_STATUSES or b'retry-after' in writer.fields
    ]
    assert not wrong, wrong
