"""Authenticates callers and validates their requests before they are queued."""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass

import attrs
import orjson

from ..errors import CallFailure, ErrorKind
from ..messages import Contract
from ..store.configuration import Configuration
from ..web.credentials import matches_digest, parse_caller_key
from ..wire.headers import filter_forwarded_headers

CHAT_PATH = '/v1/chat/completions'
SERVICE_PREFIX = '/services/'
_SAFE_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))
_MAXIMUM_IDEMPOTENCY_KEY_LENGTH = 255
_DUMMY_DIGEST = '0' * 64
#: Headers of a caller that are not forwarded to the endpoint: the router handles them, or the
#: sidecar sets its own.
_NOT_FORWARDED_HEADERS = frozenset(
    (
        'accept-encoding',
        'authorization',
        'content-length',
        'content-type',
        'host',
        'idempotency-key',
        'traceparent',
        'x-request-id',
        'x-request-timeout-seconds',
    )
)


@attrs.define(frozen=True, kw_only=True)
class CallerRequest:
    """A validated request.

    Attributes:
        contract: Contract of the caller's account.
        pool: Requested model or service.
        method: HTTP method to use at the endpoint.
        path: Path and query to use at the endpoint.
        body: Body of the request.
        content_type: Content type of the body.
        idempotency_key: Key of a call that must run at most once; empty for other requests.
        may_repeat: Whether the request may run more than once.
        is_stream: Whether the caller asked a model for server-sent events.
        timeout_seconds: Time after its arrival at which the request stops waiting in the queue and
            is not retried any more. An attempt that runs then is not ended.
        traceparent: Trace context of the caller.
        headers: Further headers to forward to a plain service.
    """

    contract: Contract
    pool: str
    method: str
    path: str
    body: bytes
    content_type: str
    idempotency_key: str
    may_repeat: bool
    is_stream: bool
    timeout_seconds: float
    traceparent: str
    headers: dict[str, str] = attrs.field(factory=dict)

    @property
    def account(self) -> str:
        """The caller's account."""
        return self.contract.account

    @property
    def fingerprint(self) -> str:
        """SHA-256 digest of method, path and body, in hexadecimal.

        Crash verdicts name requests by it, and a reused idempotency key is detected by it.
        """
        digest = hashlib.sha256('{0} {1}\n'.format(self.method, self.path).encode())
        digest.update(self.body)
        return digest.hexdigest()


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A request as received over HTTP, not yet validated.

    Attributes:
        method: HTTP method.
        path: Path and query, still percent-encoded.
        headers: Headers by lower-case name.
        body: The complete body.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes


def authenticate(configuration: Configuration, authorization: str) -> Contract | CallFailure:
    """Authenticates a caller by the key in the Authorization header.

    Args:
        configuration: Replica of the configuration, with the contracts.
        authorization: Value of the header.

    Returns:
        The contract of the caller's account, or why the request is refused.
    """
    account, secret = parse_caller_key(authorization)
    contract = configuration.contracts.get(account)
    # Compares with a dummy digest for an unknown account, so that the response time does not
    # reveal which accounts exist.
    digest = contract.key_digest if contract else _DUMMY_DIGEST
    if not matches_digest(secret, digest) or contract is None:
        return CallFailure(ErrorKind.unauthenticated)
    if contract.retired:
        return CallFailure(ErrorKind.account_retired)
    return contract


def parse_request(
    received: ReceivedRequest,
    contract: Contract,
    *,
    default_timeout_seconds: float,
) -> CallerRequest | CallFailure:
    """Validates a request of an authenticated caller.

    Args:
        received: The request as received.
        contract: Contract of the caller's account.
        default_timeout_seconds: Timeout for waiting and retrying; the caller may only shorten it.

    Returns:
        The request, or why it is refused.
    """
    timeout = _parse_timeout(received.headers, default_timeout_seconds)
    if isinstance(timeout, CallFailure):
        return timeout
    if received.path == CHAT_PATH:
        return _parse_chat(received, contract, timeout)
    return _parse_service(received, contract, timeout)


def _parse_timeout(headers: Mapping[str, str], default: float) -> float | CallFailure:
    text = headers.get('x-request-timeout-seconds')
    if text is None:
        return default
    try:
        timeout = float(text)
    except ValueError:
        timeout = -1.0
    if timeout > 0:
        return min(timeout, default)
    return CallFailure(ErrorKind.malformed_request, 'X-Request-Timeout-Seconds is not a duration')


def _parse_chat(
    received: ReceivedRequest,
    contract: Contract,
    timeout: float,
) -> CallerRequest | CallFailure:
    if received.method != 'POST':
        return CallFailure(ErrorKind.malformed_request, 'chat completions take POST')
    try:
        payload = orjson.loads(received.body)
    except orjson.JSONDecodeError as error:
        return CallFailure(ErrorKind.malformed_request, 'the body is not JSON: {0}'.format(error))
    problem = _validate_chat(payload)
    if problem:
        return CallFailure(ErrorKind.malformed_request, problem)
    return CallerRequest(
        contract=contract,
        pool=payload['model'],
        method='POST',
        path=CHAT_PATH,
        body=received.body,
        content_type='application/json',
        idempotency_key='',
        may_repeat=True,
        is_stream=bool(payload.get('stream', False)),
        timeout_seconds=timeout,
        traceparent=received.headers.get('traceparent', ''),
    )


def _validate_chat(payload: object) -> str:
    """Returns what is wrong with the body of a chat completion; empty if it is valid."""
    if not isinstance(payload, dict):
        return 'the body is not a JSON object'
    if not isinstance(payload.get('model'), str):
        return 'the member "model" is not a string'
    if not isinstance(payload.get('messages'), list) or not payload['messages']:
        return 'the member "messages" is not a list with at least one message'
    if not isinstance(payload.get('stream', False), bool):
        return 'the member "stream" is not a boolean'
    return ''


def _parse_service(
    received: ReceivedRequest,
    contract: Contract,
    timeout: float,
) -> CallerRequest | CallFailure:
    pool, _, rest = received.path[len(SERVICE_PREFIX) :].partition('/')
    key = received.headers.get('idempotency-key', '')
    is_safe = received.method in _SAFE_METHODS
    if len(key) > _MAXIMUM_IDEMPOTENCY_KEY_LENGTH:
        return CallFailure(ErrorKind.malformed_request, 'the Idempotency-Key is too long')
    if not is_safe and not key and pool in contract.key_required_pools:
        return CallFailure(ErrorKind.idempotency_key_required)
    return CallerRequest(
        contract=contract,
        pool=pool,
        method=received.method,
        path='/{0}'.format(rest),
        body=received.body,
        content_type=received.headers.get('content-type', 'application/octet-stream'),
        idempotency_key='' if is_safe else key,
        may_repeat=is_safe,
        is_stream=False,
        timeout_seconds=timeout,
        traceparent=received.headers.get('traceparent', ''),
        headers=filter_forwarded_headers(received.headers, _NOT_FORWARDED_HEADERS),
    )
