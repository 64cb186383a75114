"""Builds the answers of the processes' listeners."""

from collections.abc import AsyncIterator
from typing import Any

from quart import Response, request

from ..errors import ANSWERS, Refused, to_problem
from ..wire import codec
from ..wire.headers import JSON, PROBLEM


async def read_body() -> bytes:
    """Reads the whole body of the request that is served.

    Returns:
        The body.
    """
    body = await request.get_data()
    return body.encode() if isinstance(body, str) else body


def answer_message(message: Any) -> Response:
    """Answers with a message.

    Args:
        message: An instance of a generated class.

    Returns:
        A JSON answer with status 200.
    """
    return Response(codec.encode(message), content_type=JSON)


def answer_problem(refused: Refused) -> Response:
    """Answers with a failure.

    Args:
        refused: The failure.

    Returns:
        A problem document, with Retry-After where coming back helps.
    """
    answer = ANSWERS[refused.kind]
    headers = {}
    if answer.retry_after_seconds:
        headers['Retry-After'] = str(round(answer.retry_after_seconds))
    return Response(
        codec.encode(to_problem(refused)),
        status=answer.status,
        headers=headers,
        content_type=PROBLEM,
    )


def answer_stream(
    chunks: AsyncIterator[bytes],
    *,
    status: int,
    headers: dict[str, str],
) -> Response:
    """Answers with a stream that has no time limit.

    Args:
        chunks: The body.
        status: HTTP status code.
        headers: Headers of the answer.

    Returns:
        The answer.
    """
    response = Response(chunks, status=status, headers=headers)
    response.timeout = None
    return response
