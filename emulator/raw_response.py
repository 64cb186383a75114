"""Bytes that a faulty endpoint writes beside, instead of or after its response.

The server side of `fireflymux.http` writes exactly one response for each request. Emulated endpoints
that are meant to break this rule use the functions here.
"""

from collections.abc import Iterable

from fireflymux.http.messages import encode_head, status_line
from fireflymux.http.response_writer import ResponsePhase, ResponseWriter


async def send_raw(writer: ResponseWriter, content: bytes) -> None:
    """Sends bytes on the connection of a response without any framing.

    Args:
        writer: Writes the response to the request.
        content: The bytes.
    """
    await writer._send(content, writer._phase)


async def send_encoded(writer: ResponseWriter, content: bytes) -> None:
    """Sends the response to a request, and whatever follows it in the same write.

    Args:
        writer: Writes the response to the request.
        content: The encoded response, and further bytes.
    """
    await writer._send(content, ResponsePhase.complete)


def end_at_close(writer: ResponseWriter) -> None:
    """Ends a response that was sent as raw bytes by closing the connection after it.

    Args:
        writer: Writes the response to the request.
    """
    writer._phase = ResponsePhase.complete
    writer.must_close = True


async def send_extra_answer(
    writer: ResponseWriter,
    status: int,
    fields: Iterable[tuple[bytes, bytes]],
    content: bytes,
) -> None:
    """Sends one more complete response, before or after the one to the request.

    Args:
        writer: Writes the response to the request.
        status: Status code.
        fields: Header fields, without the one that states the body length.
        content: Response body.
    """
    await send_raw(writer, encode_answer(status, fields, content))


def encode_answer(status: int, fields: Iterable[tuple[bytes, bytes]], content: bytes) -> bytes:
    """Encodes a complete response.

    Args:
        status: Status code.
        fields: Header fields, without the one that states the body length.
        content: Response body.
    """
    framing = (b'Content-Length', b'%d' % len(content))
    return encode_head(status_line(status), [*fields, framing]) + content
