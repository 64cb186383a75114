"""A caller's request to an entry instance, and the response to it."""

import random

import attrs

from fireflymux.http.client_connection import ClientConnection, ConnectionBroken

HOST = 'models.example'
KEY = 'key-of-mothers'


@attrs.define
class Reply:
    """Response that a caller received.

    Attributes:
        status: HTTP status; 0 if the connection ended before the head of the response.
        fields: Header fields by name in lower case.
        content: Body as far as it was received.
        is_whole: Whether the response was received completely.
    """

    status: int
    fields: dict[str, str]
    content: bytes
    is_whole: bool


def encode_call(
    path: str,
    *,
    method: str = 'POST',
    key: str = KEY,
    attempt: str = '',
    deadline_ms: int = 2000,
    content: bytes = b'',
    host: str = HOST,
    more: str = '',
    version: str = '1.1',
) -> bytes:
    """Encodes a caller's request.

    Args:
        path: Path of the request.
        method: HTTP method.
        key: Key of the client account; empty for none.
        attempt: Identifier of the attempt; empty for a random one.
        deadline_ms: Time in which the caller wants the answer.
        content: Body of the request.
        host: Value of the Host header.
        more: Further header lines; empty for none.
        version: HTTP version.
    """
    attempt = attempt or '{0:016x}'.format(random.getrandbits(64))
    lines = [
        '{0} {1} HTTP/{2}'.format(method, path, version),
        'Host: {0}'.format(host),
        'X-Attempt-Id: {0}'.format(attempt),
        'X-Deadline-Ms: {0}'.format(deadline_ms),
        'Content-Length: {0}'.format(len(content)),
    ]
    if key:
        lines.append('Authorization: Token {0}'.format(key))
    if more:
        lines.append(more)
    return '\r\n'.join([*lines, '', '']).encode() + content


async def exchange(address: str, raw: bytes) -> Reply:
    """Sends bytes on a new connection and reads one response."""
    host, _, port = address.rpartition(':')
    connection = await ClientConnection.open(host, int(port), timeout_seconds=2)
    content = b''
    head = None
    try:
        connection._parser.answers_head = raw.startswith(b'HEAD ')
        await connection._socket.send(raw)
        answer = await connection.next_response()
        head = answer.head
        while piece := await connection.next_body_part(answer):
            content += piece
        is_whole = True
    except ConnectionBroken:
        is_whole = False
    finally:
        connection.close()
    if head is None:
        return Reply(0, {}, content, False)
    fields = {name.decode().lower(): text.decode() for name, text in head.fields}
    return Reply(head.status, fields, content, is_whole)
