"""Decodes and builds the header fields of requests and responses on the platform.

Requests pass from a caller through the system to an endpoint, and responses the other way. Some
header fields are forwarded, some are read and removed, and some are set by the system itself.
"""

import math

import attrs

from ..bounded_values import (
    MAXIMUM_IDENTIFIER,
    MAXIMUM_INTEGER,
    MAXIMUM_SECONDS,
    MAXIMUM_TOKENS,
    parse_integer,
)
from ..decisions.prompts import PromptPart
from ..http.messages import HeaderFields, Request, ResponseHead, find_header, list_header_values
from ..observability.logs import get_logger

_log = get_logger(__name__)

_ATTEMPT_ID = b'x-attempt-id'
#: HTTP joins the values of a repeated field in this way.
_ATTEMPT_SEPARATOR = b', '
_DEADLINE_MS = b'x-deadline-ms'
_AUTHORIZATION = b'authorization'
_MODEL = b'x-model'
_TOKEN_USAGE = b'x-token-usage'
_PROMPT_PREFIX = b'x-prompt-prefix'
_LENGTH_HINT = b'x-length-hint'
_LAST_EVENT_ID = b'last-event-id'
_SERVER_SIGNATURE = b'x-server-signature'
_NOT_EXECUTED = b'x-not-executed'
_SERVER_LOAD = b'x-server-load'
_SERVER_LEAVING = b'server-leaving'
_LEAVING_VALUE = b'1'
_RETRY_AFTER = b'retry-after'
_WARMUP_MS = b'x-warmup-ms'
_KV_FETCH = b'kv-fetch'
_UNAVAILABLE_STATUS = 503
#: Upper bound on the Retry-After time of an endpoint; a longer time is assumed to be an error.
_MAXIMUM_BACKOFF_SECONDS = 600.0
_ACCEPT_ENCODING = b'accept-encoding'
_CONTENT_ENCODING = b'content-encoding'
#: Values of fields with content codings for a body that is not encoded.
_NO_ENCODINGS = frozenset((b'', b'identity'))
_KEEP_ALIVE = b'keep-alive'
_AUTHORIZATION_SCHEME = b'token '
_MISDIRECTED_STATUS = 421
_MILLISECONDS_PER_SECOND = 1000.0
_KEEP_ALIVE_TIMEOUT_OPTION = b'timeout='
_HEXADECIMAL = 16
_MAXIMUM_WARMUP_MILLISECONDS = int(MAXIMUM_SECONDS * _MILLISECONDS_PER_SECOND)

#: Hop-by-hop and framing fields, and Expect; none of them is forwarded.
_HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
    )
)
#: Request fields that are forwarded although the Connection field lists them: they belong to the
#: request and not to one connection.
_END_TO_END = frozenset(
    (
        b'host',
        _ATTEMPT_ID,
        _MODEL,
        _TOKEN_USAGE,
        _PROMPT_PREFIX,
        _LENGTH_HINT,
        _LAST_EVENT_ID,
    )
)
#: Response fields that are not forwarded to the caller; the last three are meant for the system.
_NOT_RETURNED = _HOP_BY_HOP | {_SERVER_LOAD, _SERVER_LEAVING, _WARMUP_MS}
#: Request fields that are not forwarded as the caller sent them. Authorization and X-Deadline-Ms
#: are read here first, and the deadline is set anew; only the system may set the others.
_SYSTEM_FIELDS = frozenset(
    (
        _AUTHORIZATION,
        _DEADLINE_MS,
        b'x-tenant',
        b'x-expect-instance',
        b'x-hold',
        b'x-pin-ms',
        b'x-kv-backup',
        b'kv-from',
        _KV_FETCH,
    )
)


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
    tokens = found.get(_TOKEN_USAGE, b'').split(b',')
    output_tokens = _parse_tokens(found.get(_LENGTH_HINT, b''))
    resume_after = parse_integer(found.get(_LAST_EVENT_ID, b''), maximum=MAXIMUM_INTEGER)
    attempts = list_header_values(request.fields, _ATTEMPT_ID)
    return RequestMetadata(
        attempt=_ATTEMPT_SEPARATOR.join(attempts),
        has_several_attempts=len(attempts) > 1,
        deadline_seconds=_decode_deadline(found.get(_DEADLINE_MS, b'')),
        key=_decode_key(found.get(_AUTHORIZATION, b'')),
        prompt_tokens=_parse_tokens(tokens[0]) or 0,
        output_tokens=(_parse_tokens(tokens[-1]) or 0) if output_tokens is None else output_tokens,
        parts=_decode_parts(found.get(_PROMPT_PREFIX, b'')),
        resume_after=-1 if resume_after is None else resume_after,
        accepts_encodings=found.get(_ACCEPT_ENCODING, b'').lower() not in _NO_ENCODINGS,
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
    replaced = {_LAST_EVENT_ID} if resume_after >= 0 else set()
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
    listed = {option.strip() for option in options} - _END_TO_END
    dropped = _HOP_BY_HOP | _SYSTEM_FIELDS | extra_dropped | listed
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
    warmup = parse_integer(found.get(_WARMUP_MS, b''), maximum=_MAXIMUM_WARMUP_MILLISECONDS)
    return ResponseMetadata(
        attempt=_ATTEMPT_SEPARATOR.join(list_header_values(head.fields, _ATTEMPT_ID)),
        has_signature=bool(found.get(_SERVER_SIGNATURE)),
        was_not_executed=_NOT_EXECUTED in found or head.status == _MISDIRECTED_STATUS,
        idle_seconds=_decode_idle_timeout(found.get(_KEEP_ALIVE, b'')),
        is_leaving=found.get(_SERVER_LEAVING, b'').strip() == _LEAVING_VALUE,
        requested_backoff_seconds=_decode_backoff(head.status, found.get(_RETRY_AFTER, b'')),
        warmup_seconds=(warmup or 0) / _MILLISECONDS_PER_SECOND,
        is_encoded=found.get(_CONTENT_ENCODING, b'').lower() not in _NO_ENCODINGS,
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
    return find_header(fields, _KV_FETCH).rpartition(b':')[0].decode()


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
    fields = [field for field in head.fields if field[0].lower() not in _NOT_RETURNED]
    if attempt and not find_header(fields, _ATTEMPT_ID):
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


def _decode_deadline(text: bytes) -> float:
    try:
        deadline = float(text) / _MILLISECONDS_PER_SECOND
    except ValueError:
        return float('inf')
    return deadline if deadline > 0 else float('inf')


def _decode_key(text: bytes) -> str:
    if text[: len(_AUTHORIZATION_SCHEME)].lower() != _AUTHORIZATION_SCHEME:
        return ''
    return text[len(_AUTHORIZATION_SCHEME) :].strip().decode('latin-1')


def _decode_parts(text: bytes) -> tuple[PromptPart, ...]:
    # Later parts are useful only if all earlier ones are known, so parsing stops at an error.
    parts = []
    for entry in text.split(b','):
        hexadecimal, _, decimal = entry.partition(b':')
        identifier = parse_integer(hexadecimal, maximum=MAXIMUM_IDENTIFIER, base=_HEXADECIMAL)
        tokens = _parse_tokens(decimal)
        if identifier is None or tokens is None:
            break
        parts.append(PromptPart(identifier, tokens))
    return tuple(parts)


def _decode_idle_timeout(text: bytes) -> float | None:
    for option in text.split(b','):
        name = option.strip().lower()
        if name.startswith(_KEEP_ALIVE_TIMEOUT_OPTION):
            seconds = name[len(_KEEP_ALIVE_TIMEOUT_OPTION) :]
            return float(parse_integer(seconds, maximum=MAXIMUM_INTEGER) or 0)
    return None


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


def _parse_tokens(text: bytes) -> int | None:
    return parse_integer(text, maximum=MAXIMUM_TOKENS)
