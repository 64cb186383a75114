"""HTTP/1.1 message types shared by the server side and the client side.

Bodies are held in memory. Header names are compared in lower case but kept as received or as
given.
"""

from collections.abc import Iterable, Mapping
from functools import cached_property
from types import MappingProxyType

import attrs

#: Header fields of a message as (name, value) pairs, in the order and spelling in which they were
#: received or are to be sent.
HeaderFields = list[tuple[bytes, bytes]]

#: Statuses of final responses that have no body, whatever their header fields say.
BODYLESS_STATUSES = frozenset((204, 304))

#: Memory that a request and a header field take beside their bytes, about.
_REQUEST_COST_BYTES = 512
FIELD_COST_BYTES = 160
#: Whitespace around the value of a header field, which is not a part of it; httptools strips only
#: what precedes the value.
FIELD_WHITESPACE = b' \t'

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


def find_header(fields: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes:
    """Returns the first value of a header field.

    Args:
        fields: Header fields of a message.
        name: Field name in lower case.

    Returns:
        The value, or an empty string if the field is absent.
    """
    for found, value in fields:
        if found.lower() == name:
            return value
    return b''


def list_header_values(fields: Iterable[tuple[bytes, bytes]], name: bytes) -> list[bytes]:
    """Lists the different values of a header field that can be repeated, in order.

    Args:
        fields: Header fields of a message.
        name: Field name in lower case.
    """
    values = [value for found, value in fields if found.lower() == name]
    return list(dict.fromkeys(values))


@attrs.define(kw_only=True)
class Request:
    """A complete request.

    Attributes:
        method: HTTP method in upper case.
        target: Request target, that is path and query, as sent.
        fields: Header fields.
        content: Body, with any chunked transfer coding removed.
        received_at: Time at which the last byte was read, in seconds of trio's clock.
        keeps_alive: Whether the connection stays open for another request (HTTP keep-alive).
        accepts_chunks: Whether the response may use the chunked transfer coding, which HTTP/1.0
            does not know.
    """

    method: bytes
    target: bytes
    fields: HeaderFields
    content: bytes = b''
    received_at: float = 0.0
    keeps_alive: bool = True
    accepts_chunks: bool = True

    @cached_property
    def memory_bytes(self) -> int:
        """Memory that the request takes, about."""
        size = _REQUEST_COST_BYTES + len(self.target) + len(self.content)
        return size + sum(len(name) + len(text) + FIELD_COST_BYTES for name, text in self.fields)

    @property
    def path(self) -> bytes:
        """Path of the target, without the query."""
        return self.target.partition(b'?')[0]

    @property
    def query(self) -> bytes:
        """Query string of the target, without the question mark."""
        return self.target.partition(b'?')[2]


@attrs.define(kw_only=True)
class ResponseHead:
    """Status and header fields of a response.

    Attributes:
        status: Status code.
        fields: Header fields.
        is_chunked: Whether the body uses the chunked transfer coding.
        content_length: Value of Content-Length in bytes, or None if the field is absent.
    """

    status: int
    fields: HeaderFields
    is_chunked: bool = False
    content_length: int | None = None


@attrs.define(frozen=True, kw_only=True)
class HttpLimits:
    """Size limits and timeouts for requests on one server connection.

    The entry role copies the values from the `CallerLimits` of its configuration. The defaults
    apply before the first configuration.

    Attributes:
        header_bytes: Maximum size of the request target and the header fields together.
        body_bytes: Maximum size of a request body.
        header_seconds: Timeout from the first byte of a request to the end of its head.
        idle_seconds: Timeout of a connection that waits for a request, and of each pause
            within a request body.
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


def encode_head(start_line: bytes, fields: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Serializes the start line and header fields of a message.

    Args:
        start_line: Request line or status line without the line break.
        fields: Header fields.

    Returns:
        The encoded head, including the empty line that terminates it.
    """
    lines = [start_line]
    lines.extend(b'%b: %b' % field for field in fields)
    lines.append(b'\r\n')
    return b'\r\n'.join(lines)


def status_line(status: int) -> bytes:
    """Returns the status line of a response, without the line break."""
    return b'HTTP/1.1 %d %b' % (status, _REASON_PHRASES.get(status, b'Status'))


def encode_chunk(content: bytes) -> bytes:
    """Returns a part of a body in the chunked transfer coding; nothing for an empty part."""
    # A chunk of length zero would end the body.
    return b'%x\r\n%b\r\n' % (len(content), content) if content else b''
