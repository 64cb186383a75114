"""Counts the bytes of an HTTP exchange, headers included."""

import httpx

_HEADER_LINE_OVERHEAD_BYTES = 4
_START_LINE_OVERHEAD_BYTES = 15


def _headers_size(headers: httpx.Headers) -> int:
    return sum(len(name) + len(value) + _HEADER_LINE_OVERHEAD_BYTES for name, value in headers.raw)


def sent_bytes(response: httpx.Response) -> int:
    """Counts the bytes of the request that a response answers.

    Args:
        response: A response whose request had its body in memory.

    Returns:
        Bytes at the level of HTTP.
    """
    request = response.request
    start_line = len(request.url.raw_path) + _START_LINE_OVERHEAD_BYTES
    return start_line + _headers_size(request.headers) + len(request.content)


def received_bytes(response: httpx.Response) -> int:
    """Counts the bytes of a response that was read.

    Args:
        response: The response.

    Returns:
        Bytes at the level of HTTP.
    """
    return _START_LINE_OVERHEAD_BYTES + _headers_size(response.headers) + len(response.content)
