"""Reads request bodies and builds the responses of routers and sidecars."""

from collections.abc import AsyncIterator
from typing import Any

from quart import Response, request

from ..errors import ERROR_RESPONSES, CallFailure, to_problem
from ..wire import codec
from ..wire.headers import JSON, PROBLEM_JSON


async def read_body() -> bytes:
    """Reads the complete body of the current request.

    Returns:
        The body.
    """
    body = await request.get_data()
    return body.encode() if isinstance(body, str) else body


def build_message_response(message: Any) -> Response:
    """Builds a response from a message between processes.

    Args:
        message: Instance of a class generated from the message schema.

    Returns:
        A JSON response with status 200.
    """
    return Response(codec.encode(message), content_type=JSON)


def build_problem_response(failure: CallFailure) -> Response:
    """Builds an error response.

    Args:
        failure: The error.

    Returns:
        A problem document (RFC 9457), with a Retry-After header if a retry may succeed.
    """
    error_response = ERROR_RESPONSES[failure.kind]
    headers = {}
    if error_response.retry_after_seconds:
        headers['Retry-After'] = str(round(error_response.retry_after_seconds))
    return Response(
        codec.encode(to_problem(failure)),
        status=failure.status,
        headers=headers,
        content_type=PROBLEM_JSON,
    )


def build_stream_response(
    chunks: AsyncIterator[bytes],
    *,
    status: int,
    headers: dict[str, str],
) -> Response:
    """Builds a streamed response without Quart's time limit for responses.

    Args:
        chunks: Chunks of the body.
        status: HTTP status code.
        headers: Headers of the response.

    Returns:
        The response.
    """
    response = Response(chunks, status=status, headers=headers)
    response.timeout = None
    return response
