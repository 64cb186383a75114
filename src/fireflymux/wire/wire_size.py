"""Counts the bytes of an HTTP exchange, headers included."""

import httpx

_LINE_OVERHEAD = 4
_START_LINE_OVERHEAD = 15


def _header_bytes(fields: httpx.Headers) -> int:
    return sum(len(name) + len(text) + _LINE_OVERHEAD for name, text in fields.raw)


def sent_bytes(response: httpx.Response) -> int:
    """Counts the bytes of the request that a response answers.

    Args:
        response: A response whose request had its body in memory.

    Returns:
        Bytes at the level of HTTP.
    """
    request = response.request
    start_line = len(request.url.raw_path) + _START_LINE_OVERHEAD
    return start_line + _header_bytes(request.headers) + len(request.content)


def received_bytes(response: httpx.Response) -> int:
    """Counts the bytes of a response that was read.

    Args:
        response: The response.

    Returns:
        Bytes at the level of HTTP.
    """
    return _START_LINE_OVERHEAD + _header_bytes(response.headers) + len(response.content)
