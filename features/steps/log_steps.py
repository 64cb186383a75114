"""Steps for structured logs: lines about a request or an account, slow readers, line limits."""

import os
import subprocess
import sys
from pathlib import Path

import orjson
from behave import given, then, when

from fireflymux.observability.account_table import tabulate_accounts
from fireflymux.observability.explain import explain_request, parse_lines
from fireflymux.observability.log_stream import LineBudget, LogStream

_ROOT = Path(__file__).resolve().parent.parent.parent
_START = """
import logging, warnings
from fireflymux.observability.library_logs import redirect_library_logs
from fireflymux.observability.logs import start_logs
start_logs('info', instance='entry-1')
redirect_library_logs()
"""
_REPORTS = {
    'a library logs an error with a long traceback': """
def fail(depth):
    fail(depth - 1) if depth else 1 / 0
try:
    fail(200)
except ZeroDivisionError:
    logging.getLogger('some.library').exception('it failed' * 1000)
""",
    'a library warns': "warnings.warn('old call')",
    'a finalizer raises': """
class Held:
    def __del__(self):
        raise ValueError('closed twice')
held = Held()
del held
""",
    'the process crashes': "raise ValueError('unexpected state')",
}


def _line(second, instance, event, **fields):
    record = {'time': '2026-12-04T01:00:{0:09.6f}Z'.format(second), 'event': event}
    return orjson.dumps(record | {'instance': instance} | fields).decode()


@given('the logs of two processes, one with a request that was placed, broke off and failed')
def two_logs(context):
    context.lines = [
        _line(5.2, 'entry-1', 'request_failed', request='a1', kind='endpoint_crashed'),
        '   5.0000 entry-1 {0}'.format(
            _line(5.0, 'entry-1', 'request_placed', request='a1', endpoint='e7')
        ),
        _line(4.0, 'entry-1', 'endpoint_ejected', endpoint='e9'),
        _line(5.1, 'entry-1', 'attempt_ended', request='a1', result='Broken'),
        _line(1.0, 'entry-1', 'started'),
        _line(5.0, 'entry-2', 'endpoint_gone', endpoint='e9'),
        _line(5.1, 'entry-1', 'request_placed', request='b2', endpoint='e7'),
        'no record at all',
        '{"broken": ',
    ]


@when('the log lines about this request are collected')
def ask_story(context):
    context.story = explain_request('a1', parse_lines(context.lines))


@then("they are the request's lines and the state changes before them, in order of time")
def check_story(context):
    events = [line.event for line in context.story]
    assert events == ['endpoint_ejected', 'request_placed', 'attempt_ended', 'request_failed']
    assert explain_request('c3', parse_lines(context.lines)) == []


@given(
    'the logs of two processes, with one account refused for exceeding its share and one served'
)
def account_logs(context):
    refusal = {'predicted': 0.03, 'limit': 0.08, 'cost': 9000, 'over': True}
    placed = {'event': 'request_placed', 'account': 'starved', 'cost': 2000}
    context.lines = [
        _line(5.2, 'entry-1', 'request_not_placed', account='starved', preferred=0.2, **refusal),
        _line(5.8, 'entry-2', 'request_not_placed', account='starved', came_back=True, **refusal),
        _line(5.1, 'entry-2', **placed),
        _line(6.1, 'entry-1', **placed),
        _line(5.3, 'entry-1', 'request_placed', account='served', cost=40000),
        _line(5.3, 'entry-1', 'endpoint_gone', endpoint='e9'),
    ]


@when('the table of accounts is built')
def ask_accounts(context):
    context.accounts = tabulate_accounts(parse_lines(context.lines))
    context.named = tabulate_accounts(parse_lines(context.lines), ['served'])


@then('it has the tokens placed and refused, the refusals and their circumstances for each second')
def check_accounts(context):
    rows = [tuple(row.values()) for row in context.accounts]
    assert rows[:2] == [
        ('starved', '01:00:05', 2, 18, 2, 1, 2, 1),
        ('starved', '01:00:06', 2, 0, 0, 0, 0, 0),
    ], rows
    assert [tuple(row.values()) for row in context.named] == [
        ('served', '01:00:05', 40, 0, 0, 0, 0, 0)
    ], context.named


@given('a log stream that writes to a pipe that nobody reads')
def unread_pipe(context):
    context.reader, writer = os.pipe()
    context.stream = LogStream(writer)


@when('{count:d} lines are written to it')
def write_lines(context, count):
    for number in range(count):
        context.stream.write('line {0}\n'.format(number))
    context.count = count


@then('no write blocked, and the number of dropped lines is logged once the pipe is read')
def check_dropped(context):
    dropped = context.stream.dropped
    assert 0 < dropped < context.count, dropped
    received = os.read(context.reader, 1 << 20)
    assert received.count(b'\n') == context.count - dropped, dropped
    context.stream.write('again\n')
    note, last = os.read(context.reader, 1 << 20).splitlines()
    assert orjson.loads(note)['count'] == dropped, note
    assert last == b'again', last


@when('1000 lines of one kind and one of another are logged within a second')
def flood(context):
    now = [7.0]
    budget = LineBudget(clock=lambda: now[0])
    written = sum(budget.allows('many') for _ in range(1000))
    context.flood = written, budget.allows('one')
    now[0] = 8.0
    assert budget.allows('many')
    context.left_out = budget.take_left_out('many'), budget.take_left_out('many')


@then('200 and 1 are written, and the next line of the first kind reports that 800 were left out')
def check_flood(context):
    assert context.flood == (200, True), context.flood
    assert context.left_out == (800, 0), context.left_out


@given('a process that has started its log')
def started_log(context):
    context.script = _START


@when('a library logs an error with a long traceback')
@when('a library warns')
@when('a finalizer raises')
@when('the process crashes')
def report(context):
    (step,) = [text for text in _REPORTS if text in context.scenario.steps[1].name]
    done = subprocess.run(
        [sys.executable, '-c', context.script + _REPORTS[step]],
        env=os.environ | {'PYTHONPATH': str(_ROOT / 'src')},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        timeout=20,
    )
    context.printed = done.stdout


@then('its log has one JSON line with event "{event}", and nothing else')
def check_one_line(context, event):
    (line,) = context.printed.splitlines()
    found = orjson.loads(line)
    assert found['event'] == event and found['instance'] == 'entry-1', line
    assert context.printed.endswith('\n'), line
