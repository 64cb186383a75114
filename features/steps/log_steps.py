"""Steps for structured logs: lines about a request or an account, slow readers, line limits."""

import os
import subprocess
import sys
from pathlib import Path

import orjson
from behave import given, then, when

from fireflymux.observability.account_table import tabulate_accounts
from fireflymux.observability.explain import explain_request, parse_lines
from fireflymux.observability.log_stream import LineRateLimiter, LogStream

_ROOT = Path(__file__).resolve().parent.parent.parent
_START_SCRIPT = """
import logging, warnings
from fireflymux.observability.library_logs import redirect_library_logs
from fireflymux.observability.logs import configure_logging
configure_logging('info', instance='entry-1')
redirect_library_logs()
"""
_REPORT_SCRIPTS = {
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
class Resource:
    def __del__(self):
        raise ValueError('closed twice')
resource = Resource()
del resource
""",
    'the process crashes': "raise ValueError('unexpected state')",
}


def _format_line(second, instance, event, **fields):
    record = {'time': '2026-12-04T01:00:{0:09.6f}Z'.format(second), 'event': event}
    return orjson.dumps(record | {'instance': instance} | fields).decode()


@given('the logs of two processes, one with a request that was placed, broke off and failed')
def write_request_logs(context):
    context.lines = [
        _format_line(5.2, 'entry-1', 'request_failed', request='a1', kind='endpoint_crashed'),
        '   5.0000 entry-1 {0}'.format(
            _format_line(5.0, 'entry-1', 'request_placed', request='a1', endpoint='e7')
        ),
        _format_line(4.0, 'entry-1', 'endpoint_ejected', endpoint='e9'),
        _format_line(5.1, 'entry-1', 'attempt_ended', request='a1', result='Broken'),
        _format_line(1.0, 'entry-1', 'started'),
        _format_line(5.0, 'entry-2', 'endpoint_gone', endpoint='e9'),
        _format_line(5.1, 'entry-1', 'request_placed', request='b2', endpoint='e7'),
        'no record at all',
        '{"broken": ',
    ]


@when('the log lines about this request are collected')
def collect_request_lines(context):
    context.request_lines = explain_request('a1', parse_lines(context.lines))


@then("they are the request's lines and the state changes before them, in order of time")
def check_request_lines(context):
    events = [line.event for line in context.request_lines]
    assert events == ['endpoint_ejected', 'request_placed', 'attempt_ended', 'request_failed']
    assert explain_request('c3', parse_lines(context.lines)) == []


@given(
    'the logs of two processes, with one account refused for exceeding its share and one served'
)
def write_account_logs(context):
    refusal = {'predicted': 0.03, 'limit': 0.08, 'cost': 9000, 'over': True}
    placed = {'event': 'request_placed', 'account': 'starved', 'cost': 2000}
    context.lines = [
        _format_line(
            5.2, 'entry-1', 'request_not_placed', account='starved', preferred=0.2, **refusal
        ),
        _format_line(
            5.8, 'entry-2', 'request_not_placed', account='starved', came_back=True, **refusal
        ),
        _format_line(5.1, 'entry-2', **placed),
        _format_line(6.1, 'entry-1', **placed),
        _format_line(5.3, 'entry-1', 'request_placed', account='served', cost=40000),
        _format_line(5.3, 'entry-1', 'endpoint_gone', endpoint='e9'),
    ]


@when('the table of accounts is built')
def build_account_table(context):
    context.account_table = tabulate_accounts(parse_lines(context.lines))
    context.one_account_table = tabulate_accounts(parse_lines(context.lines), ['served'])


@then('it has the tokens placed and refused, the refusals and their circumstances for each second')
def check_account_table(context):
    rows = [tuple(row.values()) for row in context.account_table]
    assert rows[:2] == [
        ('starved', '01:00:05', 2, 18, 2, 1, 2, 1),
        ('starved', '01:00:06', 2, 0, 0, 0, 0, 0),
    ], rows
    assert [tuple(row.values()) for row in context.one_account_table] == [
        ('served', '01:00:05', 40, 0, 0, 0, 0, 0)
    ], context.one_account_table


@given('a log stream that writes to a pipe that nobody reads')
def open_unread_pipe(context):
    context.reader, writer = os.pipe()
    context.stream = LogStream(writer)


@when('{count:d} lines are written to it')
def write_lines(context, count):
    for number in range(count):
        context.stream.write('line {0}\n'.format(number))
    context.count = count


@then('no write blocked, and the number of dropped lines is logged once the pipe is read')
def check_dropped_lines(context):
    dropped = context.stream.dropped
    assert 0 < dropped < context.count, dropped
    received = os.read(context.reader, 1 << 20)
    assert received.count(b'\n') == context.count - dropped, dropped
    context.stream.write('again\n')
    note, last = os.read(context.reader, 1 << 20).splitlines()
    assert orjson.loads(note)['count'] == dropped, note
    assert last == b'again', last


@when('1000 lines of one kind and one of another are logged within a second')
def log_many_lines(context):
    now = [7.0]
    budget = LineRateLimiter(clock=lambda: now[0])
    written = sum(budget.allows('many') for _ in range(1000))
    context.written = written, budget.allows('one')
    now[0] = 8.0
    assert budget.allows('many')
    context.left_out = budget.take_suppressed_count('many'), budget.take_suppressed_count('many')


@then('200 and 1 are written, and the next line of the first kind reports that 800 were left out')
def check_line_budget(context):
    assert context.written == (200, True), context.written
    assert context.left_out == (800, 0), context.left_out


@given('a process that has started its log')
def prepare_script(context):
    context.script = _START_SCRIPT


@when('a library logs an error with a long traceback')
@when('a library warns')
@when('a finalizer raises')
@when('the process crashes')
def run_report_script(context):
    (step,) = [text for text in _REPORT_SCRIPTS if text in context.scenario.steps[1].name]
    completed = subprocess.run(
        [sys.executable, '-c', context.script + _REPORT_SCRIPTS[step]],
        env=os.environ | {'PYTHONPATH': str(_ROOT / 'src')},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        timeout=20,
    )
    context.printed = completed.stdout


@then('its log has one JSON line with event "{event}", and nothing else')
def check_one_line(context, event):
    (line,) = context.printed.splitlines()
    record = orjson.loads(line)
    assert record['event'] == event and record['instance'] == 'entry-1', line
    assert context.printed.endswith('\n'), line
