"""Tells callers that their requests failed."""

import random

import orjson

from ..errors import ERROR_RESPONSES, CallFailure, ExecutionStatus
from ..http.response_writer import ResponseWriter
from ..platform.call_headers import RequestMetadata, build_error_headers

#: Retry-After is the delay of the error kind times a random fraction, of at least this size, so
#: that refused callers do not all return at once. A delay that the failure states is not varied.
_MINIMUM_RETRY_AFTER_FRACTION = 0.5
_UNAVAILABLE_STATUS = 503


async def write_failure(
    failure: CallFailure,
    metadata: RequestMetadata,
    writer: ResponseWriter,
    rng: random.Random,
) -> None:
    """Writes an error response, or closes the connection if another response has already begun.

    Args:
        failure: The failure.
        metadata: What the header fields of the request say.
        writer: Writes the response to the request.
        rng: Source of the spread of Retry-After.
    """
    if writer.has_begun:
        writer.abort()
        return
    error_response = ERROR_RESPONSES[failure.kind]
    content = orjson.dumps({'kind': failure.kind.value, 'title': error_response.title})
    retry_after = _choose_retry_after(failure, rng)
    fields = build_error_headers(metadata.attempt, retry_after)
    await writer.answer(failure.status, fields, content)


def _choose_retry_after(failure: CallFailure, rng: random.Random) -> float:
    """Returns the seconds after which a caller may retry; zero unless no endpoint has run it.

    It is the delay that the failure states, or else a random fraction of the one for its kind.
    """
    error_response = ERROR_RESPONSES[failure.kind]
    if failure.outcome is not ExecutionStatus.no or error_response.status != _UNAVAILABLE_STATUS:
        return 0.0
    spread = rng.uniform(_MINIMUM_RETRY_AFTER_FRACTION, 1)
    if failure.retry_after_seconds is not None:
        return failure.retry_after_seconds
    return error_response.retry_after_seconds * spread
