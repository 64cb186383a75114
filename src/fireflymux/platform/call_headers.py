"""Decodes and builds the header fields of requests and responses on the platform.

Requests pass from a caller through the system to an endpoint, and responses the other way. Some
header fields are forwarded, some are read and removed, and some are set by the system itself.
"""

import math

import attrs

from ..bounded_values import MAXIMUM_INTEGER, MAXIMUM_SECONDS, parse_integer
from ..decisions.prompts import PromptPart
from ..http.messages import HeaderFields, Request, ResponseHead, find_header, list_header_values
from ..observability.logs import get_logger
from . import header_names as names
from .header_values import (
    decode_deadline,
    decode_idle_timeout,
    decode_key,
    decode_parts,
    decode_tokens,
)

_log = get_logger(__name__)

#: HTTP joins the values of a repeated field in this way.
_ATTEMPT_SEPARATOR = b', '
_LEAVING_VALUE = b'1'
_UNAVAILABLE_STATUS = 503
#: Values of fields with content codings for a body that is not encoded.
_NO_ENCODINGS = frozenset((b'', b'identity'))
_MISDIRECTED_STATUS = 421
_MILLISECONDS_PER_SECOND = 1000.0
#: Upper bound on the Retry-After time of an endpoint; a longer time is assumed to be an error.
_MAXIMUM_BACKOFF_SECONDS = 600.0
_MAXIMUM_WARMUP_MILLISECONDS = int(MAXIMUM_SECONDS * _MILLISECONDS_PER_SECOND)


@attrs.define(frozen=True, kw_only=True)
class RequestMetadata:
    """Metadata of a request, from the header fields that the caller sent.

    Attributes:
        attempt: Identifier of the caller's attempt, as sent; empty if not sent. It is forwarded to
            every endpoint that is tried, and the response repeats it.
        has_several_attempts: Whether it states different identifiers, so that its response could
            not be told from others.
        deadline_seconds: How long the caller waits for the response; infinite if not stated.
        key: API key of the caller; empty if not sent.
        prompt_tokens: Length of the prompt in tokens.
        output_tokens: Expected length of the response in tokens.
        parts: Parts of the prompt, in order.
        resume_after: Number of the last event that the caller received; -1 if the request does
            not resume a stream.
        accepts_encodings: Whether it states that the body of its response may be encoded.
    """

    attempt: bytes
    has_several_attempts: bool = False
    deadline_seconds: float
    key: str
    prompt_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...]
    resume_after: int
    accepts_encodings: bool = False


@attrs.define(frozen=True, kw_only=True)
class ResponseMetadata:
    """Metadata of a response, from the header fields that the endpoint sent.

    Attributes:
        attempt: Identifier of the attempt that the response belongs to, as sent; empty if not
            sent. Different ones are joined, so that they are equal to none of them.
        has_signature: Whether the response has a signature field that is not empty; its value is
            not checked. An unsigned response is not accepted as the result of a request.
        was_not_executed: Whether the endpoint states that it did not execute the request; a
            response with status 421 (Misdirected Request) states it, too.
        idle_seconds: Idle timeout of the connection at the endpoint; None if not stated.
        is_leaving: Whether the endpoint states that it is leaving and takes no new requests.
        requested_backoff_seconds: Time for which the endpoint asks this instance to send it no
            requests; zero if it sent no Retry-After with status 503.
        warmup_seconds: How much longer the endpoint warms up; zero if it does not say so.
        is_encoded: Whether the body is encoded, and thus not the endpoint's own, as endpoints do not
            encode bodies unless asked to.
    """

    attempt: bytes
    has_signature: bool
    was_not_executed: bool
    idle_seconds: float | None
    is_leaving: bool
    requested_backoff_seconds: float
    warmup_seconds: float
    is_encoded: bool = False


def decode_request_headers(request: Request) -> RequestMetadata:
    """Decodes the header fields of a caller's request.

    Args:
        request: The request.

    Returns:
        Its metadata. Malformed fields are treated as missing, and so are numbers that are negative
        or out of range, except that the prompt parts before the first malformed one count.
        X-Token-Usage has the form `prompt,output`, both in tokens; a single number counts as both.
        X-Length-Hint takes precedence for the output. Of a field that is repeated, the last value
        counts, except for X-Attempt-Id.
    """
    found = {name.lower(): value for name, value in request.fields}
    tokens = found.get(names.TOKEN_USAGE, b'').split(b',')
    output_tokens = decode_tokens(found.get(names.LENGTH_HINT, b''))
    resume_after = parse_integer(found.get(names.LAST_EVENT_ID, b''), maximum=MAXIMUM_INTEGER)
    attempts = list_header_values(request.fields, names.ATTEMPT_ID)
    return RequestMetadata(
        attempt=_ATTEMPT_SEPARATOR.join(attempts),
        has_several_attempts=len(attempts) > 1,
        deadline_seconds=decode_deadline(found.get(names.DEADLINE_MS, b'')),
        key=decode_key(found.get(names.AUTHORIZATION, b'')),
        prompt_tokens=decode_tokens(tokens[0]) or 0,
        output_tokens=(decode_tokens(tokens[-1]) or 0) if output_tokens is None else output_tokens,
        parts=decode_parts(found.get(names.PROMPT_PREFIX, b'')),
        resume_after=-1 if resume_after is None else resume_after,
        accepts_encodings=found.get(names.ACCEPT_ENCODING, b'').lower() not in _NO_ENCODINGS,
    )


def build_request_headers(
    request: Request,
    *,
    endpoint: str,
    account: str,
    remaining_seconds: float,
    resume_after: int,
    fetch_address: str = '',
) -> HeaderFields:
    """Builds the header fields of a request to an endpoint.

    Args:
        request: The caller's request.
        endpoint: Identifier of the target endpoint, sent as X-Expect-Instance. If another endpoint
            has taken over the address, it rejects the request because of this field.
        account: Client account; empty for requests without a key.
        remaining_seconds: Time left until the caller's deadline; must be finite. At least one
            millisecond is sent.
        resume_after: Number of the last event that the caller received; -1 to start the stream
            from the beginning.
        fetch_address: IP address and port of the engine that the endpoint fetches cached parts of
            the prompt from; empty for none.

    Returns:
        The header fields, including Content-Length if the request needs it.
    """
    replaced = {names.LAST_EVENT_ID} if resume_after >= 0 else set()
    fields = _filter_request_headers(request, replaced)
    remaining = max(int(remaining_seconds * _MILLISECONDS_PER_SECOND), 1)
    fields.append((b'X-Deadline-Ms', b'%d' % remaining))
    fields.append((b'X-Expect-Instance', endpoint.encode()))
    if account:
        fields.append((b'X-Tenant', account.encode()))
    if resume_after >= 0:
        fields.append((b'Last-Event-Id', b'%d' % resume_after))
    if fetch_address:
        fields.append((b'Kv-Fetch', fetch_address.encode()))
    if request.content or request.method not in {b'GET', b'HEAD'}:
        fields.append((b'Content-Length', b'%d' % len(request.content)))
    return fields


def _filter_request_headers(request: Request, extra_dropped: set[bytes]) -> HeaderFields:
    """Selects the header fields of a caller's request that are forwarded.

    Fields that a Connection field lists are left out, except for those that belong to the request.
    """
    # RFC 9110: fields named by the Connection field are hop-by-hop as well.
    options = b','.join(list_header_values(request.fields, b'connection')).lower().split(b',')
    listed = {option.strip() for option in options} - names.END_TO_END
    dropped = names.HOP_BY_HOP | names.SYSTEM_FIELDS | extra_dropped | listed
    return [field for field in request.fields if field[0].lower() not in dropped]


def decode_response_headers(head: ResponseHead) -> ResponseMetadata:
    """Decodes the header fields of an endpoint's response.

    Args:
        head: Status and header fields of the response.

    Returns:
        Its metadata. Malformed fields are treated as missing, and so are numbers that are negative
        or out of range, except that such a timeout in Keep-Alive is treated as zero. X-Not-Executed
        counts with any value. Of a field that is repeated, the last value counts, except for
        X-Attempt-Id.
    """
    found = {name.lower(): value for name, value in head.fields}
    warmup = parse_integer(found.get(names.WARMUP_MS, b''), maximum=_MAXIMUM_WARMUP_MILLISECONDS)
    return ResponseMetadata(
        attempt=_ATTEMPT_SEPARATOR.join(list_header_values(head.fields, names.ATTEMPT_ID)),
        has_signature=bool(found.get(names.SERVER_SIGNATURE)),
        was_not_executed=names.NOT_EXECUTED in found or head.status == _MISDIRECTED_STATUS,
        idle_seconds=decode_idle_timeout(found.get(names.KEEP_ALIVE, b'')),
        is_leaving=found.get(names.SERVER_LEAVING, b'').strip() == _LEAVING_VALUE,
        requested_backoff_seconds=_decode_backoff(head.status, found.get(names.RETRY_AFTER, b'')),
        warmup_seconds=(warmup or 0) / _MILLISECONDS_PER_SECOND,
        is_encoded=found.get(names.CONTENT_ENCODING, b'').lower() not in _NO_ENCODINGS,
    )


def build_endpoint_response_headers(attempt: bytes, endpoint: str) -> HeaderFields:
    """Builds the header fields of a response as an endpoint sends them.

    Only simulated endpoints use it.

    Args:
        attempt: Identifier of the attempt that the response belongs to.
        endpoint: Identifier of the endpoint, sent as its signature.

    Returns:
        The header fields, without those that state the body length.
    """
    return [(b'X-Attempt-Id', attempt), (b'X-Server-Signature', endpoint.encode())]


def find_fetch_host(fields: HeaderFields) -> str:
    """Returns the host that an engine is told to fetch cached parts from.

    Only simulated engines use it.

    Args:
        fields: Header fields of a request to the engine.

    Returns:
        The host without its port; empty if there is none.
    """
    return find_header(fields, names.KV_FETCH).rpartition(b':')[0].decode()


def filter_response_headers(head: ResponseHead, attempt: bytes) -> HeaderFields:
    """Selects the header fields of an endpoint's response that are forwarded to the caller.

    Unlike with requests, fields that the Connection field lists are forwarded.

    Args:
        head: Status and header fields of the response.
        attempt: Identifier of the caller's attempt, which is added if the response has none; empty
            if the caller sent none.

    Returns:
        The header fields, without those that state the body length.
    """
    fields = [field for field in head.fields if field[0].lower() not in names.NOT_RETURNED]
    if attempt and not find_header(fields, names.ATTEMPT_ID):
        fields.append((b'X-Attempt-Id', attempt))
    return fields


def build_error_headers(attempt: bytes, retry_after_seconds: float) -> HeaderFields:
    """Builds the header fields of an error response from the system itself.

    Args:
        attempt: Identifier of the caller's attempt; empty if it sent none.
        retry_after_seconds: Time after which the caller may retry; zero to omit Retry-After.

    Returns:
        The header fields, without those that state the body length.
    """
    fields: HeaderFields = [(b'Content-Type', b'application/problem+json')]
    if attempt:
        fields.append((b'X-Attempt-Id', attempt))
    if retry_after_seconds > 0:
        fields.append((b'Retry-After', b'%.2f' % retry_after_seconds))
    return fields


def _decode_backoff(status: int, text: bytes) -> float:
    """Returns the seconds of Retry-After in a 503 response, reduced to the upper bound.

    Returns zero if the field is absent or malformed, or for another status.
    """
    if status != _UNAVAILABLE_STATUS or not text:
        return 0.0
    try:
        stated = float(text)
    except ValueError:
        _log.warning('rest_malformed', stated=text.decode('latin-1'))
        return 0.0
    if not math.isfinite(stated) or stated < 0:
        _log.warning('rest_malformed', stated=text.decode('latin-1'))
        return 0.0
    if stated > _MAXIMUM_BACKOFF_SECONDS:
        _log.warning('rest_bounded', stated=stated, bound=_MAXIMUM_BACKOFF_SECONDS)
    return min(stated, _MAXIMUM_BACKOFF_SECONDS)
