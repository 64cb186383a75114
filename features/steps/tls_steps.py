"""Steps for connections over TLS."""

import ssl
import tempfile
from pathlib import Path

import httpx
import orjson
import trustme
from behave import given, then, when

from emulator.callers import CHAT, Answer, authorization
from emulator.small_fleet import start_small_fleet


@given('a small fleet with TLS on every listener')
def start_with_tls(context):
    folder = tempfile.TemporaryDirectory()
    context.closers.append(folder.cleanup)
    files = {
        name: str(Path(folder.name) / name) for name in ('ca_file', 'certificate_file', 'key_file')
    }
    authority = trustme.CA()
    issued = authority.issue_cert('127.0.0.1')
    authority.cert_pem.write_to_path(files['ca_file'])
    issued.private_key_pem.write_to_path(files['key_file'])
    for certificate in issued.cert_chain_pems:
        certificate.write_to_path(files['certificate_file'], append=True)
    context.ca_file = files['ca_file']
    context.fleet = start_small_fleet(settings={'tls': files})
    context.closers.append(context.fleet.close)


@when('a caller streams a chat over TLS through {name}')
def stream_over_tls(context, name):
    context.answer = Answer('tls', tokens=20, is_stream=True)
    body = {
        'model': 'farewell',
        'messages': [{'role': 'user', 'content': 'hello'}],
        'stream': True,
        'emulator': {'tokens': 20, 'nonce': 'tls'},
    }
    url = context.fleet.processes[name].address + CHAT
    assert url.startswith('https://'), url
    response = context.fleet.client.post(
        url, headers=authorization('families'), content=orjson.dumps(body)
    )
    context.answer.status = response.status_code
    context.answer.text = response.text


@then('the listeners refuse plain HTTP')
def check_plain_refused(context):
    for name in ('router-0', 'engine-0'):
        url = context.fleet.processes[name].address.replace('https', 'http')
        try:
            httpx.get(url + '/live', timeout=5)
        except httpx.HTTPError:
            continue
        raise AssertionError('{0} answered plain HTTP'.format(name))


@then('a client that does not trust the certificate authority rejects {name}')
def check_untrusted_authority(context, name):
    ssl_context = ssl.create_default_context()
    try:
        httpx.get(context.fleet.processes[name].address + '/live', verify=ssl_context)
    except httpx.ConnectError as error:
        assert 'CERTIFICATE' in str(error).upper(), error
        return
    raise AssertionError('the certificate was accepted')
