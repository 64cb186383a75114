"""Steps for responses whose heads end early, at the clients that all roles use.

The entry role talks to endpoints, the store and other instances with `ClientConnection`, the other
roles to each other, to endpoints and to the platform with httpx.
"""

from types import MappingProxyType

import httpx
import trio
from behave import given, then, when

from emulator.scripted_server import ScriptedAnswer, ScriptedServer
from fireflymux.http.client_connection import ClientConnection, ConnectionBroken

_FIRST_LINES = b'HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Server-Signature: s\r\n'
_HEADS = MappingProxyType(
    {
        'a length': _FIRST_LINES + b'Content-Length: 4\r\n\r\n',
        'chunks': _FIRST_LINES + b'Transfer-Encoding: chunked\r\n\r\n',
        'neither': _FIRST_LINES + b'\r\n',
        'an interim response': (
            b'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n'
            + _FIRST_LINES
            + b'Content-Length: 4\r\n\r\n'
        ),
    }
)
_BODIES = MappingProxyType({'chunks': b'4\r\nword\r\n0\r\n\r\n'})
_BODY = b'word'


@given('a response with {framing}')
def set_response(context, framing):
    context.head = _HEADS[framing]
    context.body = _BODIES.get(framing, _BODY)


@when('a server sends each part of its head that ends early, and closes the connection')
def set_answers(context):
    head = context.head
    parts = [head[:end] for end in range(len(head))] + [head + context.body]
    context.answers = [ScriptedAnswer(part, closes=True) for part in parts]


async def _read_with_connection(url):
    host, _, port = url.rpartition('/')[2].rpartition(':')
    connection = await ClientConnection.open(host, int(port), timeout_seconds=2)
    try:
        await connection.send(b'GET / HTTP/1.1', [(b'Host', b'x')], b'')
        response = await connection.next_response()
        return response.head.status, await connection.read_full_body(response, 100)
    except ConnectionBroken:
        return None
    finally:
        connection.close()


async def _read_with_httpx(url):
    async with httpx.AsyncClient(timeout=2) as client:
        try:
            response = await client.get(url)
        except httpx.RemoteProtocolError:
            return None
        return response.status_code, response.content


_CLIENTS = MappingProxyType({'entry role': _read_with_connection, 'other roles': _read_with_httpx})


@then('the "{client}" client gets no response from any of them, and the whole one from all of it')
def check_responses(context, client):
    async def run():
        results = []
        async with trio.open_nursery() as nursery:
            server = await ScriptedServer.start(nursery, context.answers)
            for _ in context.answers:
                results.append(await _CLIENTS[client](server.url))
            nursery.cancel_scope.cancel()
        return results

    *ended, whole = trio.run(run)
    accepted = [(number, found) for number, found in enumerate(ended) if found is not None]
    assert not accepted, accepted
    assert whole == (200, _BODY), whole
