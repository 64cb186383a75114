"""Decodes values from outside within bounds.

Header fields, stored rows and messages of other instances can state any value. Python integers
have no limit, and their conversion to a float, to MessagePack or to JSON raises an error beyond
some size, as does the conversion of many digits to an integer. Values are therefore checked where
they enter the process.

The functions `parse_...` decode text and return None if it is not valid. The functions `check_...`
take decoded JSON or MessagePack and raise `OutOfBounds`.
"""

import ipaddress
import string
from functools import lru_cache
from typing import Any
from urllib.parse import urlsplit

#: Greatest integer that floats, and so all implementations of JSON, represent exactly.
MAXIMUM_INTEGER = 9007199254740991
MAXIMUM_PORT = 65535
#: Greatest number of tokens of one prompt part, prompt or response.
MAXIMUM_TOKENS = 1000000000
#: Greatest identifier of a prompt part, which messages between instances hold in 64 bits.
MAXIMUM_IDENTIFIER = 18446744073709551615
#: Greatest number of seconds of a warm-up, a timeout or another span of time.
MAXIMUM_SECONDS = 86400.0
#: Greatest length of a name in characters.
MAXIMUM_NAME_CHARACTERS = 200
#: Digits after which a text counts as no number, whatever they are.
_MAXIMUM_DIGITS = 20
#: Addresses whose check is remembered, since each datagram states one.
_CACHED_ADDRESSES = 1024
_MAXIMUM_ADDRESS_CHARACTERS = 15
_DECIMAL = 10
_DECIMAL_DIGITS = frozenset(string.digits.encode())
_HEXADECIMAL_DIGITS = frozenset(string.hexdigits.encode())


class OutOfBounds(ValueError):
    """A value from outside is missing, has another type, or is out of its range."""


def parse_integer(text: bytes, *, maximum: int, base: int = _DECIMAL) -> int | None:
    """Decodes an integer that is not negative.

    Args:
        text: Its digits, without a sign; spaces around them are ignored.
        maximum: Greatest integer that is valid.
        base: 10 or 16.

    Returns:
        The integer; None if the text is something else, too long, or exceeds the maximum.
    """
    digits = text.strip()
    allowed = _DECIMAL_DIGITS if base == _DECIMAL else _HEXADECIMAL_DIGITS
    if not digits or len(digits) > _MAXIMUM_DIGITS or not allowed.issuperset(digits):
        return None
    number = int(digits, base)
    return number if number <= maximum else None


def is_header_text(text: str) -> bool:
    """Tells whether a text can be the value of a header field: not empty, and on one line."""
    return bool(text) and text.isprintable() and text == text.strip()


def is_ipv4_address(value: Any) -> bool:
    """Tells whether a decoded value is an IPv4 address in text; False for host names."""
    if not isinstance(value, str) or len(value) > _MAXIMUM_ADDRESS_CHARACTERS:
        return False
    return _is_ipv4_text(value)


def is_socket_address(text: str) -> bool:
    """Tells whether a text is an IPv4 address and a port from 1 to the greatest, with a colon."""
    host, _, port = text.rpartition(':')
    return is_ipv4_address(host) and bool(parse_integer(port.encode(), maximum=MAXIMUM_PORT))


def is_http_url(text: str) -> bool:
    """Tells whether a text is an HTTP URL with a host, and a port from 1 to the greatest if any."""
    try:
        url = urlsplit(text)
        is_port_valid = url.port is None or url.port > 0
    except ValueError:
        return False
    return url.scheme in {'http', 'https'} and bool(url.hostname) and is_port_valid


@lru_cache(maxsize=_CACHED_ADDRESSES)
def _is_ipv4_text(text: str) -> bool:
    try:
        ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return True


def check_integer(value: Any, *, maximum: int = MAXIMUM_INTEGER, minimum: int = 0) -> int:
    """Checks a decoded integer.

    Args:
        value: The decoded value.
        maximum: Greatest integer that is valid.
        minimum: Least integer that is valid.

    Returns:
        The integer.

    Raises:
        OutOfBounds: It is no integer, or out of range.
    """
    if isinstance(value, bool) or not isinstance(value, int):
        raise OutOfBounds('{0} in place of an integer'.format(type(value).__name__))
    if not minimum <= value <= maximum:
        raise OutOfBounds('an integer is not from {0} to {1}'.format(minimum, maximum))
    return value


def check_number(value: Any, *, maximum: float, minimum: float = 0) -> float:
    """Checks a decoded integer or float; the arguments and errors are those of `check_integer`."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise OutOfBounds('{0} in place of a number'.format(type(value).__name__))
    # A float that is not a number fails every comparison.
    if not minimum <= value <= maximum:
        raise OutOfBounds('a number is not from {0} to {1}'.format(minimum, maximum))
    return float(value)


def check_text(value: Any) -> str:
    """Checks a decoded text; raises `OutOfBounds` if it is something else."""
    if not isinstance(value, str):
        raise OutOfBounds('{0} in place of a text'.format(type(value).__name__))
    return value


def check_list(value: Any) -> list[Any]:
    """Checks a decoded list; raises `OutOfBounds` if it is something else."""
    if not isinstance(value, list):
        raise OutOfBounds('{0} in place of a list'.format(type(value).__name__))
    return value


def check_name(value: Any) -> str:
    """Checks a decoded name, which may be sent as the value of a header field.

    Args:
        value: The decoded value.

    Returns:
        The name.

    Raises:
        OutOfBounds: It is no text, too long, or not valid in a header field.
    """
    name = check_text(value)
    if len(name) > MAXIMUM_NAME_CHARACTERS or not is_header_text(name):
        raise OutOfBounds('a name is empty, too long, or has control characters')
    return name
