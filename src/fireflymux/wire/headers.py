"""HTTP headers and content types used between processes, and filtering of forwarded headers."""

from collections.abc import Container, Mapping

#: Request header with the run order as JSON, sent by a router to a sidecar.
RUN_ORDER = 'X-Fireflymux-Run'
#: Response header that repeats the request identifier, so that the router can detect a response
#: to another request.
REQUEST_ECHO = 'X-Fireflymux-Request'
#: Response header that repeats it in an error of a sidecar itself, which has no other echo.
PROBLEM_ECHO = 'X-Fireflymux-Problem-Of'
#: Header of a request to a sidecar and of its response, which repeats the value. Each request has its
#: own: attempts of one request, and transfers of one response, share the identifiers above.
EXCHANGE = 'X-Fireflymux-Exchange'
JSON = 'application/json'
PROBLEM_JSON = 'application/problem+json'
EVENT_STREAM = 'text/event-stream'
#: Final event of every complete stream of server-sent events.
STREAM_END = b'data: [DONE]\n\n'

#: Response header with the forwarded headers of the endpoint as JSON, sent by a sidecar.
ENDPOINT_HEADERS_HEADER = 'X-Fireflymux-Answer-Headers'
_HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)


def encode_headers(headers: Mapping[str, str]) -> list[tuple[bytes, bytes]]:
    """Encodes headers of a received request, back to the bytes that they had there.

    Args:
        headers: Headers by name; the servers of all roles decode the values as Latin-1.

    Returns:
        Names and values.
    """
    return [(name.encode(), value.encode('latin-1')) for name, value in headers.items()]


def filter_forwarded_headers(
    headers: Mapping[str, str], excluded: Container[str]
) -> dict[str, str]:
    """Drops the hop-by-hop headers, which a proxy must not forward (RFC 9110, section 7.6.1).

    Args:
        headers: Headers by name.
        excluded: Lower-case names of other headers to drop.

    Returns:
        The headers to forward, by lower-case name.
    """
    lowered = {name.lower(): value for name, value in headers.items()}
    return {
        name: value
        for name, value in lowered.items()
        if name not in _HOP_BY_HOP and name not in excluded
    }
