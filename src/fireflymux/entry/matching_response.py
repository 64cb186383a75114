"""Reads the head of the response to an attempt, behind late responses to other requests."""

from ..http.connection_pool import UpstreamConnection
from ..http.response_parser import IncomingResponse
from ..http.response_reader import ResponseTooLarge
from ..platform.call_headers import ResponseMetadata, decode_response_headers

#: Largest body of a response that is not a stream and states its length.
MAXIMUM_RESPONSE_BYTES = 8388608
#: Limits on late responses to other requests that are skipped: their number, and the bytes of all
#: their bodies, which are as many as one response may have.
_MAXIMUM_SKIPPED_RESPONSES = 16
_MAXIMUM_SKIPPED_BYTES = MAXIMUM_RESPONSE_BYTES


async def read_matching_response(
    connection: UpstreamConnection, attempt_id: bytes
) -> tuple[IncomingResponse, ResponseMetadata]:
    """Reads the head of the response to an attempt, and skips late responses to other requests.

    A response without an identifier can be to any request of its connection, so that it counts only
    as the first response to the first request.
    """
    remaining_bytes = _MAXIMUM_SKIPPED_BYTES
    for skipped in range(_MAXIMUM_SKIPPED_RESPONSES):
        response = await connection.next_response()
        metadata = decode_response_headers(response.head)
        is_only_one = not (metadata.attempt or skipped or connection.has_earlier_requests)
        if metadata.attempt == attempt_id or is_only_one:
            return response, metadata
        remaining_bytes -= await _skip_body(connection, response, remaining_bytes)
        connection.drop(response)
    size = _MAXIMUM_SKIPPED_BYTES - remaining_bytes
    raise ResponseTooLarge('answers to other requests', size)


async def _skip_body(
    connection: UpstreamConnection, response: IncomingResponse, maximum_bytes: int
) -> int:
    """Reads a response body to its end without keeping it, and returns its size."""
    size = 0
    while part := await connection.next_body_part(response):
        size += len(part)
        if size > maximum_bytes:
            raise ResponseTooLarge('answers to other requests', size)
    return size
