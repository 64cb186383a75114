"""An endpoint in a process of its own that sends bytes without end in place of an answer.

Run as `python -m emulator.flooding_server PORT SHAPE`. Each connection has a thread, which reads one
request and then sends the bytes of the shape as fast as the other side takes them.
"""

import re
import socket
import sys
import threading
from collections.abc import Mapping
from types import MappingProxyType

_BACKLOG = 512
_RECEIVE_BYTES = 65536
_BLOCK_BYTES = 65536
_ATTEMPT = re.compile(rb'x-attempt-id: *([^\r]*)', re.IGNORECASE)
_SIGNED = b'HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\nX-Server-Signature: flood\r\n'
_CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
#: Length that a sized body states. All but its last byte are sent.
_SIZED_BYTES = 8388608
_OTHER = b'HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 9\r\n\r\nunrelated'

#: By shape, what precedes the endless bytes, and a unit of these.
_SHAPES: Mapping[str, tuple[bytes, bytes]] = MappingProxyType(
    {
        'small fields': (_SIGNED, b'a:b\r\n'),
        'one field': (_SIGNED + b'a: ', b'xxxxxxxx'),
        'interim responses': (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
        'other answers': (b'', _OTHER),
        'a body without a length': (_SIGNED + b'\r\n', b'xxxxxxxx'),
        'a body with a length': (
            _SIGNED + b'Content-Length: %d\r\n\r\n' % _SIZED_BYTES,
            b'xxxxxxxx',
        ),
        'chunks': (_SIGNED + _CHUNKED, b'2000\r\n%b\r\n' % (b'x' * 0x2000)),
        'small chunks': (_SIGNED + _CHUNKED, b'1\r\nx\r\n'),
        'a chunk extension': (_SIGNED + _CHUNKED + b'1;', b'xxxxxxxx'),
        'trailers': (_SIGNED + _CHUNKED + b'0\r\n', b'a:b\r\n'),
        'an event': (_SIGNED + _CHUNKED, b'2000\r\n%b\r\n' % (b'x' * 0x2000)),
        'an event in small chunks': (_SIGNED + _CHUNKED, b'1\r\nx\r\n'),
        'comments': (_SIGNED + _CHUNKED, b'3\r\n:\n\n\r\n'),
        'noise': (b'', b'\x00\xff\x13\x37'),
    }
)


def list_shapes() -> list[str]:
    """Lists the shapes of bytes that the server can send."""
    return list(_SHAPES)


def _send_endlessly(connection: socket.socket, shape: str) -> None:
    with connection:
        received = b''
        while b'\r\n\r\n' not in received:
            part = connection.recv(_RECEIVE_BYTES)
            if not part:
                return
            received += part
        found = _ATTEMPT.search(received)
        start, unit = _SHAPES[shape]
        if b'%b' in start:
            start = start.replace(b'%b', found.group(1) if found else b'')
        connection.sendall(start)
        block = unit * max(_BLOCK_BYTES // len(unit), 1)
        if shape == 'a body with a length':
            _send_sized(connection, block)
        while connection.fileno() >= 0:
            connection.sendall(block)


def _send_sized(connection: socket.socket, block: bytes) -> None:
    """Sends a body but for its last byte, and waits until the other side closes."""
    left = _SIZED_BYTES - 1
    while left:
        part = block[:left]
        connection.sendall(part)
        left -= len(part)
    connection.recv(1)
    raise ConnectionAbortedError


def _serve(connection: socket.socket, shape: str) -> None:
    try:
        _send_endlessly(connection, shape)
    except OSError:
        # The other side has closed the connection.
        return


def main(port: int, shape: str) -> None:
    """Serves until the process is killed."""
    with socket.create_server(('127.0.0.1', port), backlog=_BACKLOG) as listener:
        while listener.fileno() >= 0:
            connection, _ = listener.accept()
            threading.Thread(target=_serve, args=(connection, shape), daemon=True).start()


if __name__ == '__main__':
    main(int(sys.argv[1]), sys.argv[2])
