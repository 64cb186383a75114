"""Steps for the entry role as a process of its own: settings, signals and exit codes."""

import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

import trio
from behave import given, then, when

from emulator.caller_exchange import encode_call, exchange
from emulator.entry_fleet import free_port, route
from features.steps.entry_steps import _put_configuration, _run_on_fleet

_ROOT = Path(__file__).resolve().parent.parent.parent


@given('the entry role in a process of its own')
def use_own_process(context):
    async def build(fleet):
        await fleet.add_backend('e0', 'pool', 'answer slowly')
        _put_configuration(fleet, 5, [route('/', 'unsafe', 'pool')])

    context.build = build


_SETTINGS_TEMPLATE = """[entry]
name = entry-9
failure_domain = a
caller_address = 127.0.0.1:{caller}
readiness_address = 127.0.0.1:{readiness}
peer_host = 127.0.0.1
peer_port = {peer}
store_address = {store}
shutdown_timeout_seconds = 8
"""


def _start_process(path, *, stdout=subprocess.PIPE):
    return subprocess.Popen(
        [sys.executable, '-m', 'fireflymux', 'entry', str(path)],
        cwd=_ROOT,
        env=os.environ | {'PYTHONPATH': str(_ROOT / 'src')},
        stdout=stdout,
        stderr=subprocess.PIPE,
        text=True,
    )


async def _wait_for_line(log_path, text):
    """Waits until the log of a process contains a text."""
    while text not in log_path.read_text():
        await trio.sleep(0.05)


async def _ask_readiness(address):
    """Returns the status of a readiness check, or 0 if the process does not answer."""
    try:
        return (await exchange(address, b'GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n')).status
    except Exception:
        return 0


@when('it gets SIGTERM while a slow request is in progress')
def stop_process(context):
    folder = Path(tempfile.mkdtemp())

    async def act(fleet):
        ports = {name: free_port() for name in ('caller', 'readiness', 'peer')}
        path = folder / 'entry.ini'
        path.write_text(_SETTINGS_TEMPLATE.format(store=await fleet.start_store(), **ports))
        process = _start_process(path)
        context.closers.append(process.kill)
        readiness = '127.0.0.1:{0}'.format(ports['readiness'])
        while await _ask_readiness(readiness) != 200:
            await trio.sleep(0.05)
        replies = []

        async def call():
            address = '127.0.0.1:{0}'.format(ports['caller'])
            replies.append(await exchange(address, encode_call('/a', deadline_ms=5000)))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            while not fleet.backends['e0'].requests:
                await trio.sleep(0.02)
            process.send_signal(signal.SIGTERM)
            status_meanwhile = await _ask_readiness(readiness)
            while status_meanwhile == 200 and not replies:
                await trio.sleep(0.05)
                status_meanwhile = await _ask_readiness(readiness)
        code = await trio.to_thread.run_sync(process.wait)
        return replies[0], status_meanwhile, code

    _run_on_fleet(context, act)


@given('a settings file of an entry instance with three mistakes')
def write_invalid_settings(context):
    path = Path(tempfile.mkdtemp()) / 'entry.ini'
    text = _SETTINGS_TEMPLATE.format(caller=1, readiness=1, peer=0, store='nowhere')
    path.write_text('{0}unknown_key = 1\n'.format(text))
    context.path = path


@given(
    'a settings file of an entry instance with the store at port 99999 and callers at 1.2.3.4.5'
)
def write_unusable_addresses(context):
    path = Path(tempfile.mkdtemp()) / 'entry.ini'
    text = _SETTINGS_TEMPLATE.format(caller=1, readiness=1, peer=1, store='127.0.0.1:99999')
    path.write_text(text.replace('127.0.0.1:1\n', '1.2.3.4.5:1\n', 1))
    context.path = path


@then('it names both addresses and exits with code 2')
def check_address_errors(context):
    assert context.code == 2, context.errors
    for key in ('caller_address', 'store_address'):
        assert key in context.errors, context.errors


@when('the entry role starts')
def start_with_invalid_settings(context):
    process = _start_process(context.path)
    _, context.errors = process.communicate(timeout=20)
    context.code = process.returncode


@then('it names all three and exits with code 2')
def check_settings_errors(context):
    assert context.code == 2, context.code
    for key in ('peer_port', 'store_address', 'unknown_key'):
        assert key in context.errors, context.errors


@then('the request is answered, the process is not ready meanwhile, and exits with code 0')
def check_stop(context):
    reply, status_meanwhile, code = context.result
    assert reply.status == 200 and reply.is_whole, reply
    assert reply.fields.get('connection') == 'close', reply
    assert status_meanwhile == 503, status_meanwhile
    assert code == 0, code


@when('it gets SIGHUP with other seeds in its file, and again with a mistake in it')
def reload_settings(context):
    folder = Path(tempfile.mkdtemp())

    async def act(fleet):
        ports = {name: free_port() for name in ('caller', 'readiness', 'peer')}
        path = folder / 'entry.ini'
        text = _SETTINGS_TEMPLATE.format(store=await fleet.start_store(), **ports)
        path.write_text(text)
        log_path = folder / 'entry.log'
        with log_path.open('w') as stream:
            process = _start_process(path, stdout=stream)
        context.closers.append(process.kill)
        readiness = '127.0.0.1:{0}'.format(ports['readiness'])
        while await _ask_readiness(readiness) != 200:
            await trio.sleep(0.05)
        path.write_text('{0}seeds = 127.0.0.9:1\nretry_ratio = 0.1\n'.format(text))
        process.send_signal(signal.SIGHUP)
        await _wait_for_line(log_path, '"event":"settings_reloaded"')
        path.write_text('{0}seeds = 127.0.0.9:1\nretry_ratio = 9\n'.format(text))
        process.send_signal(signal.SIGHUP)
        await _wait_for_line(log_path, '"event":"settings_invalid"')
        status = await _ask_readiness(readiness)
        process.send_signal(signal.SIGTERM)
        await trio.to_thread.run_sync(process.wait)
        return status, log_path.read_text()

    _run_on_fleet(context, act)


@then('it logs what it applied and what was wrong, and goes on')
def check_reload(context):
    status, lines = context.result
    assert status == 200, status
    assert '"taken":["seeds"],"need_restart":["retry_ratio"]' in lines, lines
    assert '"event":"settings_invalid"' in lines, lines
