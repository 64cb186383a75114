"""Decodes the values of header fields of requests and responses on the platform.

A malformed value, or a number out of range, is treated as missing.
"""

from ..bounded_values import MAXIMUM_IDENTIFIER, MAXIMUM_INTEGER, MAXIMUM_TOKENS, parse_integer
from ..decisions.prompts import PromptPart

_AUTHORIZATION_SCHEME = b'token '
_KEEP_ALIVE_TIMEOUT_OPTION = b'timeout='
_MILLISECONDS_PER_SECOND = 1000.0
_HEXADECIMAL = 16


def decode_deadline(text: bytes) -> float:
    """Returns how long the caller waits, in seconds; infinite unless a positive time is stated."""
    try:
        deadline = float(text) / _MILLISECONDS_PER_SECOND
    except ValueError:
        return float('inf')
    return deadline if deadline > 0 else float('inf')


def decode_key(text: bytes) -> str:
    """Returns the API key in Authorization; empty for a field of another scheme."""
    if text[: len(_AUTHORIZATION_SCHEME)].lower() != _AUTHORIZATION_SCHEME:
        return ''
    return text[len(_AUTHORIZATION_SCHEME) :].strip().decode('latin-1')


def decode_parts(text: bytes) -> tuple[PromptPart, ...]:
    """Returns the parts of the prompt that stand before the first malformed one."""
    # Later parts are useful only if all earlier ones are known, so parsing stops at an error.
    parts = []
    for entry in text.split(b','):
        hexadecimal, _, decimal = entry.partition(b':')
        identifier = parse_integer(hexadecimal, maximum=MAXIMUM_IDENTIFIER, base=_HEXADECIMAL)
        tokens = decode_tokens(decimal)
        if identifier is None or tokens is None:
            break
        parts.append(PromptPart(identifier, tokens))
    return tuple(parts)


def decode_idle_timeout(text: bytes) -> float | None:
    """Returns the timeout in Keep-Alive, in seconds; None if not stated, zero if malformed."""
    for option in text.split(b','):
        name = option.strip().lower()
        if name.startswith(_KEEP_ALIVE_TIMEOUT_OPTION):
            seconds = name[len(_KEEP_ALIVE_TIMEOUT_OPTION) :]
            return float(parse_integer(seconds, maximum=MAXIMUM_INTEGER) or 0)
    return None


def decode_tokens(text: bytes) -> int | None:
    """Returns a number of tokens; None if malformed or out of range."""
    return parse_integer(text, maximum=MAXIMUM_TOKENS)
