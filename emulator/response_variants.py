"""Variants of entry instances that mix responses up, each with one mechanism disabled.

`emulator.variants` lists them by name. The patches set private names of src, so a rename there
must be made here.
"""

from typing import Any

from fireflymux.entry import attempt
from fireflymux.entry.event_relay import EventRelay
from fireflymux.entry.outcomes import Whole
from fireflymux.http.messages import HeaderFields
from fireflymux.http.response_writer import ResponseWriter
from fireflymux.http.server_connection import ServerConnection
from fireflymux.platform.call_headers import filter_response_headers

_FIRST_ERROR_STATUS = 400
_MAXIMUM_BYTES = 1000000


def second_head() -> None:
    """Writes an error that answers a resumed stream with its head into that stream."""
    original = attempt._read_response_body

    async def read(state: Any, item: Any, connection: Any, response: Any, metadata: Any) -> Any:
        head = response.head
        is_error = head.status >= _FIRST_ERROR_STATUS and metadata.has_signature
        if not is_error or metadata.was_not_executed:
            return await original(state, item, connection, response, metadata)
        content = await connection.read_full_body(response, _MAXIMUM_BYTES)
        return Whole(head.status, filter_response_headers(head), content)

    attempt._read_response_body = read
    ResponseWriter._require = lambda _writer, _phase: None


def any_continuation() -> None:
    """Joins every successful response to a stream that broke off, whatever it holds."""

    def begin_attempt(relay: EventRelay, _fields: HeaderFields) -> None:
        relay._partial = b''
        relay._is_resumed = False

    EventRelay.begin_attempt = begin_attempt


def early_continue() -> None:
    """Tells a caller to send its body while the response to an earlier request is under way."""
    original = ServerConnection._process

    async def process(connection: ServerConnection, received: bytes) -> bool:
        is_open = await original(connection, received)
        parser, writer = connection._parser, connection._writer
        if parser.expects_continue and parser.is_in_body:
            parser.expects_continue = False
            await writer._send(b'HTTP/1.1 100 Continue\r\n\r\n', writer._phase)
        return is_open

    ServerConnection._process = process


#: All variants of the responses of entry instances.
RESPONSE_VARIANTS = (second_head, any_continuation, early_continue)
