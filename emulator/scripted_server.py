"""Answers HTTP requests with raw bytes from a script, to emulate faulty servers in one process."""

from collections.abc import Sequence
from functools import partial

import attrs
import trio

from fireflymux.http.messages import encode_head, status_line

from .raw_response import encode_answer

_HEAD_END = b'\r\n\r\n'
_RECEIVE_BYTES = 65536
#: Stands in the header of an answer for the value of a field of its request.
ECHO = b'ECHO'


@attrs.define(frozen=True)
class ScriptedAnswer:
    """Bytes that answer one request.

    Attributes:
        content: The bytes.
        closes: Whether the connection is closed after them.
    """

    content: bytes
    closes: bool = False


@attrs.define(eq=False)
class ScriptedServer:
    """Server on loopback whose answers are taken from a script, whatever the request is.

    Attributes:
        answers: Answers that are left; the last one is repeated.
        echoed_field: Name of a header field in lower case; its value in the request replaces
            `ECHO` in the answers. Empty to replace nothing.
        requests: Requests received so far, head and body of each.
        connection_count: Connections accepted so far.
        url: Base URL, once the server listens.
    """

    answers: list[ScriptedAnswer]
    echoed_field: bytes = b''
    requests: list[bytes] = attrs.field(factory=list)
    connection_count: int = 0
    url: str = ''

    @classmethod
    async def start(
        cls,
        nursery: trio.Nursery,
        answers: Sequence[ScriptedAnswer],
        echoed_field: bytes = b'',
    ) -> 'ScriptedServer':
        """Starts a server that listens until the nursery is cancelled."""
        server = cls(list(answers), echoed_field)
        serve = partial(trio.serve_tcp, server._serve, 0, host='127.0.0.1')
        listeners = await nursery.start(serve)
        server.url = 'http://127.0.0.1:{0}'.format(listeners[0].socket.getsockname()[1])
        return server

    async def _serve(self, stream: trio.SocketStream) -> None:
        self.connection_count += 1
        is_open = True
        while is_open:
            try:
                is_open = await self._answer_request(stream)
            except trio.BrokenResourceError:
                return

    async def _answer_request(self, stream: trio.SocketStream) -> bool:
        """Answers one request; returns whether the connection stays open."""
        received = b''
        while not _is_whole(received):
            part = await stream.receive_some(_RECEIVE_BYTES)
            if not part:
                return False
            received += part
        self.requests.append(received)
        answer = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
        content = answer.content
        if self.echoed_field:
            content = content.replace(ECHO, _find_field(received, self.echoed_field))
        await stream.send_all(content)
        if answer.closes:
            await stream.aclose()
        return not answer.closes


def _find_field(received: bytes, name: bytes) -> bytes:
    """Returns the value of a header field of a request; empty if it has none."""
    head = received.partition(_HEAD_END)[0]
    for line in head.split(b'\r\n'):
        field, _, value = line.partition(b':')
        if field.lower() == name:
            return value.strip()
    return b''


def _is_whole(received: bytes) -> bool:
    head, separator, body = received.partition(_HEAD_END)
    length = 0
    for line in head.lower().split(b'\r\n'):
        if line.startswith(b'content-length:'):
            length = int(line.partition(b':')[2])
    return bool(separator) and len(body) >= length


def answer(
    status: int,
    content: bytes,
    content_type: bytes = b'application/json',
    fields: Sequence[tuple[bytes, bytes]] = (),
) -> ScriptedAnswer:
    """Returns a complete response."""
    return ScriptedAnswer(
        encode_answer(status, [(b'Content-Type', content_type), *fields], content)
    )


def broken_off(
    status: int,
    content: bytes,
    content_type: bytes,
    fields: Sequence[tuple[bytes, bytes]] = (),
) -> ScriptedAnswer:
    """Returns a chunked response whose connection is closed before the last chunk."""
    framing = [(b'Content-Type', content_type), (b'Transfer-Encoding', b'chunked')]
    head = encode_head(status_line(status), [*framing, *fields])
    return ScriptedAnswer(head + b'%x\r\n%s\r\n' % (len(content), content), closes=True)
