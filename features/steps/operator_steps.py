"""Steps for the operator's commands, and for the logs and metrics that operators read."""

import subprocess
import sys
import tempfile
from pathlib import Path

import orjson
from behave import given, then, when

from emulator.callers import chat
from emulator.fleet import FLEET_KEY
from emulator.process import wait_until

_VALID_SETTINGS = """[instance]
name = r
failure_domain = a
listen_host = 127.0.0.1
listen_port = 0
[fleet]
key = a-secret-of-the-fleet
[platform]
table_url = http://127.0.0.1:1
object_url = http://127.0.0.1:1
live_url = http://127.0.0.1:1
[router]
"""
_INVALID_SETTINGS = (
    _VALID_SETTINGS.replace('listen_port = 0', 'listen_port = 70000')
    .replace('name = r\n', '')
    .replace('key = a-secret-of-the-fleet', 'key = short')
    .replace('[router]', '[router]\nqueue_length = 3\n[balancer]\n')
)


def _write_settings(context, text):
    folder = tempfile.TemporaryDirectory()
    context.closers.append(folder.cleanup)
    context.path = Path(folder.name) / 'router.ini'
    context.path.write_text(text)


@given(
    'a settings file with an unknown section, an unknown key, a missing key and an invalid port'
)
def write_invalid_settings(context):
    _write_settings(context, _INVALID_SETTINGS)


@given('a valid settings file')
def write_valid_settings(context):
    _write_settings(context, _VALID_SETTINGS)


@given('a valid settings file in a folder named "{name}"')
def write_valid_settings_in(context, name):
    folder = tempfile.TemporaryDirectory()
    context.closers.append(folder.cleanup)
    context.path = Path(folder.name) / name / 'router.ini'
    context.path.parent.mkdir()
    context.path.write_text(_VALID_SETTINGS)


@then('the only output is that the file is valid')
def check_only_validity_printed(context):
    assert context.completed.stderr == '', context.completed
    assert context.completed.stdout == '{0}: valid\n'.format(context.path), context.completed


@when('the operator creates a contract for "{account}" with the secret "{secret}"')
def create_number_like_contract(context, account, secret):
    context.credentials = account, secret
    context.fleet.add_contract_with_secret(account, secret, 'farewell')


@then('a chat with that account and secret is answered')
def check_number_like_chat(context):
    account, secret = context.credentials
    address = context.fleet.processes['router-0'].address

    wait_until(
        lambda: chat(address, account, secret=secret, tokens=3, model='farewell').is_whole,
        seconds=10,
        what='the chat of the new account was not answered',
    )


@when('the operator checks the settings file')
def run_check_settings(context):
    context.completed = subprocess.run(
        [sys.executable, '-m', 'fireflymux', 'check-settings', str(context.path)],
        capture_output=True,
        text=True,
        timeout=60,
    )


@then('the exit code is {code:d}')
def check_exit_code(context, code):
    assert context.completed.returncode == code, context.completed


@then('each problem is reported with file, section, key, the value found and the values allowed')
def check_problems(context):
    lines = context.completed.stderr.splitlines()
    expected = ('[balancer]', '[router] queue_length', '[instance] name', '[instance] listen_port')
    for name in (*expected, '[fleet] key'):
        found = [line for line in lines if name in line]
        assert found, (name, lines)
        assert str(context.path) in found[0], found
        assert 'found' in found[0] and 'allowed' in found[0], found


@then('no secret is printed')
def check_no_secret_printed(context):
    assert 'short' not in context.completed.stderr, context.completed.stderr


@when('the operator lists the contracts as a table and as JSON')
def list_contracts_in_both_formats(context):
    context.listed_table = context.fleet.run_operator_command('contract', 'list').stdout
    context.listed_json = context.fleet.run_operator_command('contract', 'list', '--json').stdout


@then('both contain families and vets and no key digest')
def check_listed_contracts(context):
    names = {row['account'] for row in orjson.loads(context.listed_json)}
    assert names == {'families', 'vets'}
    assert 'families' in context.listed_table and 'vets' in context.listed_table
    assert 'key_digest' not in context.listed_table + context.listed_json


@when('the operator creates a contract with weight 0')
def create_zero_weight_contract(context):
    context.completed = context.fleet.run_operator_command(
        'contract', 'create', 'zero', 'secret', 'farewell', '--weight', '0'
    )


@when('the operator lists the contracts')
def list_contracts(context):
    context.completed = context.fleet.run_operator_command('contract', 'list')


@when('a caller streams a chat through {name}')
def stream_chat(context, name):
    address = context.fleet.processes[name].address
    assert chat(address, 'families', tokens=3, model='farewell').is_whole


def _parse_keys(line):
    try:
        return set(orjson.loads(line))
    except orjson.JSONDecodeError:
        return set()


@then('each log line of {name} is JSON and none contains a secret')
def check_log(context, name):
    lines = context.fleet.processes[name].log.read_text().splitlines()
    for line in lines:
        assert {'time', 'level', 'module', 'event', 'instance'} <= _parse_keys(line), line
        assert FLEET_KEY not in line and '.secret' not in line, line


@then('the metrics of {router} and {sidecar} count requests, heartbeats and control bytes')
def check_metrics(context, router, sidecar):
    processes = context.fleet.processes
    for metric in ('requests_total', 'heartbeats_total', 'control_bytes_total'):
        assert context.fleet.metric(processes[router], metric) > 0, metric
    assert context.fleet.metric(processes[sidecar], 'control_bytes_total') > 0


@when('an operator with a wrong credential creates a contract')
def create_unauthorized(context):
    _write_settings(
        context,
        '[platform]\ntable_url = {0}/table\nobject_url = {0}/objects\nlive_url = {0}/live\n'
        'credential = guessed\n'.format(context.fleet.platform),
    )
    command = ['contract', 'create', 'intruder', 'secret', 'farewell']
    context.completed = subprocess.run(
        [sys.executable, '-m', 'fireflymux', *command, '--settings', str(context.path)],
        capture_output=True,
        text=True,
        timeout=60,
    )
