"""Names of HTTP headers and content types on the links between processes."""

from collections.abc import Container, Mapping

#: Carries the run order, as JSON.
ORDER = 'X-Fireflymux-Run'
#: Repeats the request identifier, so that a crossed answer is noticed.
REQUEST_ECHO = 'X-Fireflymux-Request'
JSON = 'application/json'
PROBLEM = 'application/problem+json'
EVENT_STREAM = 'text/event-stream'
#: Last event of every whole stream of server-sent events.
STREAM_END = b'data: [DONE]\n\n'

#: Carries further headers of the endpoint's answer from a sidecar to a router, as JSON.
ANSWER_HEADERS = 'X-Fireflymux-Answer-Headers'
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


def keep_end_to_end(headers: Mapping[str, str], excluded: Container[str]) -> dict[str, str]:
    """Keeps the headers that a proxy passes on (RFC 9110, section 7.6.1).

    Args:
        headers: Headers by name.
        excluded: Lower-case names that the caller of this function sets itself.

    Returns:
        The headers to pass on, by lower-case name.
    """
    lowered = {name.lower(): value for name, value in headers.items()}
    return {
        name: value
        for name, value in lowered.items()
        if name not in _HOP_BY_HOP and name not in excluded
    }
