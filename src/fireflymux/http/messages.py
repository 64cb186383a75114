"""Heads of HTTP messages and whole requests, as read from a connection."""

from collections.abc import Iterable, Mapping
from types import MappingProxyType

import attrs

#: Field lines of a message in the order received; names as they were sent.
Fields = list[tuple[bytes, bytes]]

_REASON_PHRASES: Mapping[int, bytes] = MappingProxyType(
    {
        200: b'OK',
        400: b'Bad Request',
        401: b'Unauthorized',
        404: b'Not Found',
        405: b'Method Not Allowed',
        408: b'Request Timeout',
        413: b'Content Too Large',
        421: b'Misdirected Request',
        429: b'Too Many Requests',
        431: b'Request Header Fields Too Large',
        500: b'Internal Server Error',
        502: b'Bad Gateway',
        503: b'Service Unavailable',
        504: b'Gateway Timeout',
    }
)


def find_field(fields: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes:
    """Returns the first value of a field.

    Args:
        fields: Field lines.
        name: Lower-case name.

    Returns:
        The value; empty if there is no such field.
    """
    for found, content in fields:
        if found.lower() == name:
            return content
    return b''


@attrs.define(kw_only=True)
class Request:
    """One whole request.

    Attributes:
        method: Method in capitals.
        target: Path and query as they were sent.
        fields: Field lines.
        content: Body without its framing.
        received_at: Time at which its last byte was read, in seconds of trio's clock.
        keeps_alive: Whether the sender keeps the connection for further requests.
    """

    method: bytes
    target: bytes
    fields: Fields
    content: bytes = b''
    received_at: float = 0.0
    keeps_alive: bool = True

    @property
    def path(self) -> bytes:
        """Target without its query."""
        return self.target.partition(b'?')[0]

    @property
    def query(self) -> bytes:
        """Query of the target, without the question mark."""
        return self.target.partition(b'?')[2]


@attrs.define(kw_only=True)
class AnswerHead:
    """Status and fields of one answer.

    Attributes:
        status: Status code.
        fields: Field lines.
        is_chunked: Whether the body comes in chunks.
        content_length: Length of the body in bytes, or None if it isn't stated.
    """

    status: int
    fields: Fields
    is_chunked: bool = False
    content_length: int | None = None


@attrs.define(frozen=True, kw_only=True)
class HttpLimits:
    """Bounds on what a client may send and how long it may take.

    Attributes:
        header_bytes: Largest head of a request.
        body_bytes: Largest body of a request.
        header_seconds: Longest time from the first byte of a head to its end.
        idle_seconds: Longest time that a connection without a request stays open.
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


def encode_head(start_line: bytes, fields: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Encodes the head of a message.

    Args:
        start_line: Request or status line without its end.
        fields: Field lines.

    Returns:
        The head with the empty line that ends it.
    """
    lines = [start_line]
    lines.extend(b'%b: %b' % field for field in fields)
    lines.append(b'\r\n')
    return b'\r\n'.join(lines)


def status_line(status: int) -> bytes:
    """Returns the status line of an answer."""
    return b'HTTP/1.1 %d %b' % (status, _REASON_PHRASES.get(status, b'Status'))
