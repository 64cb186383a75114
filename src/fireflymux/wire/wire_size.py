"""Estimates the sizes of HTTP/1.1 messages, for the metric of control traffic."""

import httpx

#: Colon, space and line break of a header line.
_HEADER_LINE_OVERHEAD_BYTES = 4
#: Request line without its target; the status line is of similar length.
_START_LINE_OVERHEAD_BYTES = 15


def _headers_size(headers: httpx.Headers) -> int:
    return sum(len(name) + len(value) + _HEADER_LINE_OVERHEAD_BYTES for name, value in headers.raw)


def request_size(response: httpx.Response) -> int:
    """Returns the size of the request that led to a response.

    Args:
        response: Response to the request, whose body must be in memory.

    Returns:
        Size of start line, headers and body in bytes.
    """
    request = response.request
    start_line = len(request.url.raw_path) + _START_LINE_OVERHEAD_BYTES
    return start_line + _headers_size(request.headers) + len(request.content)


def response_size(response: httpx.Response) -> int:
    """Returns the size of a response.

    Args:
        response: Response whose body has been read.

    Returns:
        Size of start line, headers and body in bytes.
    """
    return _START_LINE_OVERHEAD_BYTES + _headers_size(response.headers) + len(response.content)
