"""Counts control traffic, by estimates of the sizes of HTTP/1.1 messages."""

import httpx

from ..observability.metrics import Metrics

#: Colon, space and line break of a header line.
_HEADER_LINE_OVERHEAD_BYTES = 4
#: Request line without its target; the status line is of similar length.
_START_LINE_OVERHEAD_BYTES = 15


def count_control_bytes(metrics: Metrics, response: httpx.Response) -> None:
    """Counts the bytes of a request to another process and of its response.

    Args:
        metrics: Metrics of this process.
        response: Response whose body has been read; that of its request must be in memory.
    """
    metrics.control_bytes.add({'direction': 'sent'}, _request_size(response))
    metrics.control_bytes.add({'direction': 'received'}, _response_size(response))


def _request_size(response: httpx.Response) -> int:
    """Returns the size of start line, headers and body of a request, given its response."""
    request = response.request
    start_line = len(request.url.raw_path) + _START_LINE_OVERHEAD_BYTES
    return start_line + _headers_size(request.headers) + len(request.content)


def _response_size(response: httpx.Response) -> int:
    """Returns the size of start line, headers and body of a response."""
    return _START_LINE_OVERHEAD_BYTES + _headers_size(response.headers) + len(response.content)


def _headers_size(headers: httpx.Headers) -> int:
    return sum(len(name) + len(value) + _HEADER_LINE_OVERHEAD_BYTES for name, value in headers.raw)
