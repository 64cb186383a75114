"""Steps for the metrics of an entry instance."""

import trio
from behave import then, when

from emulator.caller_exchange import exchange
from emulator.entry_fleet import free_port
from features.steps.entry_steps import _run_on_fleet


@when('a caller is answered once and refused once')
def send_and_read_metrics(context):
    async def act(fleet):
        address = '127.0.0.1:{0}'.format(free_port())
        await fleet.add_instance(fleet.settings[0].store_address, metrics_address=address)
        await fleet.wait_ready(1)
        await fleet.call('/a', number=1)
        await fleet.call('/a', number=1, key='wrong')
        raw = b'GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n'
        return (await exchange(address, raw)).content.decode()

    _run_on_fleet(context, act)


@then('the metrics count both, by result')
def check_metrics(context):
    lines = context.result.splitlines()
    assert 'fireflymux_requests_total{pool="general",result="whole"} 1' in lines, lines
    assert 'fireflymux_refusals_total{kind="unauthenticated"} 1' in lines, lines
    assert any(line.startswith('fireflymux_request_seconds_count') for line in lines), lines


@when('a caller sends a prompt of {prompt:d} tokens and asks for {answer:d} output tokens')
def ask_tokens(context, prompt, answer):
    async def act(fleet):
        address = '127.0.0.1:{0}'.format(free_port())
        await fleet.add_instance(fleet.settings[0].store_address, metrics_address=address)
        await fleet.wait_ready(1)
        usage = 'X-Token-Usage: {0},{1}'.format(prompt, answer)
        await fleet.call('/a', number=1, more=usage)
        shares = fleet.instances[1]._state.shares
        context.charged_tokens = shares.given.total('mothers', trio.current_time())
        raw = b'GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n'
        return (await exchange(address, raw)).content.decode()

    _run_on_fleet(context, act)


@then(
    'the metrics count {tokens:d} tokens as asked, given and unused,'
    ' and the account is charged nothing'
)
def check_unused(context, tokens):
    lines = context.result.splitlines()
    name = 'fireflymux_account_tokens_total'
    for state in ('asked', 'given', 'unused'):
        line = '{0}{{account="mothers",state="{1}"}} {2}'.format(name, state, tokens)
        assert line in lines, (line, lines)
    assert abs(context.charged_tokens) < 1, context.charged_tokens
