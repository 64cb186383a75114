"""Reads what the responses and errors of an endpoint say."""

import httpx
import orjson

from ..errors import CallFailure, ErrorKind, ExecutionStatus
from ..wire.headers import filter_forwarded_headers
from .response_buffer import ResponseHead

#: Assumed size of a token, for prompts and for responses that state no token count.
BYTES_PER_TOKEN = 4
_MAXIMUM_COMPLETION_TOKENS = 1e7
#: Response headers that are not forwarded, because sidecar and router set their own.
_NOT_FORWARDED_HEADERS = frozenset(
    ('content-type', 'content-length', 'content-encoding', 'date', 'server', 'x-request-id')
)


class ResponseTooLarge(Exception):
    """A body that must be kept whole is larger than it may be; the argument is its size so far."""


def to_oversized(error: ResponseTooLarge) -> CallFailure:
    """Builds the failure for a body that is too large; its call may have run."""
    return CallFailure(ErrorKind.response_too_large, 'a body of {0} bytes'.format(*error.args))


def to_failure(error: httpx.HTTPError, kind: ErrorKind) -> CallFailure:
    """Builds the failure for a transport error.

    Args:
        error: The error.
        kind: Error kind to use if the endpoint may have received the request.

    Returns:
        The failure, which also tells whether the call may have run.
    """
    if isinstance(error, httpx.ConnectError | httpx.ConnectTimeout | httpx.PoolTimeout):
        return CallFailure(ErrorKind.endpoint_unreachable, repr(error))
    return CallFailure(kind, repr(error), ExecutionStatus.unknown)


def build_head(response: httpx.Response) -> ResponseHead:
    """Builds the head of a response as routers get it."""
    return ResponseHead(
        response.status_code,
        response.headers.get('Content-Type', 'application/octet-stream'),
        filter_forwarded_headers(dict(response.headers), _NOT_FORWARDED_HEADERS),
    )


def count_completion_tokens(body: bytes) -> float:
    """Returns the number of tokens that a response states, or one estimated from its size."""
    estimate = len(body) / BYTES_PER_TOKEN
    try:
        count = float(orjson.loads(body)['usage']['completion_tokens'])
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError):
        return estimate
    return count if 0 <= count <= _MAXIMUM_COMPLETION_TOKENS else estimate
