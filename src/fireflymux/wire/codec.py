"""JSON codec for the message classes that are generated from the schema, and for plain values."""

import json
import re
from types import MappingProxyType
from typing import Any, TypeVar

import cattrs
import orjson
from cattrs.preconf.orjson import make_converter

_MessageT = TypeVar('_MessageT')
#: Text, or a character of JSON outside of texts on which the nesting depends.
_STRUCTURE = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{},]', re.DOTALL)
#: Errors of values that do not match a class, or whose numbers or nesting exceed a limit.
_STRUCTURE_ERRORS = (
    cattrs.BaseValidationError,
    ValueError,
    TypeError,
    KeyError,
    AttributeError,
    OverflowError,
    RecursionError,
)
_DEPTH_CHANGES = MappingProxyType({b'[': 1, b'{': 1, b']': -1, b'}': -1})
_converter = make_converter(forbid_extra_keys=False, prefer_attrib_converters=False)


class DecodeError(ValueError):
    """The data is not valid JSON or does not match the message class."""


def encode(message: Any) -> bytes:
    """Encodes a message as JSON.

    Args:
        message: Instance of a message class, or a dictionary or list of plain values.

    Returns:
        JSON in UTF-8.
    """
    return orjson.dumps(_converter.unstructure(message))


def encode_header(message: Any) -> str:
    """Encodes a message as JSON in ASCII, for the value of a header.

    Args:
        message: Instance of a message class, or a dictionary or list of plain values.

    Returns:
        The JSON; other characters are escaped in it.
    """
    data = encode(message)
    return data.decode() if data.isascii() else json.dumps(orjson.loads(data))


def decode(data: bytes | str, message_type: type[_MessageT]) -> _MessageT:
    """Decodes a message from JSON and validates it.

    Args:
        data: JSON in UTF-8.
        message_type: Message class to instantiate.

    Returns:
        The message.

    Raises:
        DecodeError: The data is not valid JSON or does not match the class.
    """
    try:
        return structure(orjson.loads(data), message_type)
    except orjson.JSONDecodeError as error:
        raise DecodeError(str(error)) from error


def decode_items(data: bytes) -> tuple[list[Any], int]:
    """Decodes the items of a JSON list, so that one that cannot be read does not hide the others.

    Args:
        data: JSON in UTF-8.

    Returns:
        The parsed items, and the number of items that cannot be read, such as one that is nested
        more deeply than the parser allows.

    Raises:
        DecodeError: The data is no list.
    """
    try:
        whole = orjson.loads(data)
    except orjson.JSONDecodeError:
        return _decode_each(data)
    if not isinstance(whole, list):
        raise DecodeError('not a list')
    return whole, 0


def _decode_each(data: bytes) -> tuple[list[Any], int]:
    parsed: list[Any] = []
    unreadable_count = 0
    for item in _split_list(data):
        try:
            parsed.append(orjson.loads(item))
        except orjson.JSONDecodeError:
            unreadable_count += 1
    return parsed, unreadable_count


def _split_list(data: bytes) -> list[bytes]:
    """Splits a JSON list at the commas between its items."""
    content = data.strip()
    if not content.startswith(b'[') or not content.endswith(b']'):
        raise DecodeError('not a list')
    items = []
    depth = 0
    start = 1
    for match in _STRUCTURE.finditer(content):
        character = match.group()
        depth += _DEPTH_CHANGES.get(character, 0)
        is_separator = depth == 1 and character == b','
        if is_separator or depth == 0:
            items.append(content[start : match.start()])
            start = match.end()
    if depth or start != len(content):
        raise DecodeError('the brackets do not match')
    return items


def structure(raw: Any, message_type: type[_MessageT]) -> _MessageT:
    """Builds a message from parsed JSON and validates it.

    Args:
        raw: Parsed JSON value.
        message_type: Message class to instantiate.

    Returns:
        The message.

    Raises:
        DecodeError: The value does not match the class.
    """
    try:
        return _converter.structure(raw, message_type)
    except _STRUCTURE_ERRORS as error:
        raise DecodeError('{0}: {1}'.format(message_type.__name__, error)) from error


def to_builtins(message: Any) -> Any:
    """Converts a message to values that can be encoded as JSON.

    Args:
        message: Instance of a message class.

    Returns:
        Dictionaries, lists and primitive values.
    """
    return _converter.unstructure(message)
