"""Encodes messages as JSON and decodes them with full checking."""

from typing import Any, TypeVar

import cattrs
import orjson
from cattrs.preconf.orjson import make_converter

_MessageT = TypeVar('_MessageT')
_converter = make_converter(forbid_extra_keys=False, prefer_attrib_converters=False)


class DecodeError(ValueError):
    """A message is not valid JSON or does not match its schema."""


def encode(message: Any) -> bytes:
    """Encodes a message.

    Args:
        message: An instance of a generated class.

    Returns:
        UTF-8 JSON.
    """
    return orjson.dumps(_converter.unstructure(message))


def decode(data: bytes | str, message_type: type[_MessageT]) -> _MessageT:
    """Decodes and checks a message.

    Args:
        data: UTF-8 JSON.
        message_type: The generated class to build.

    Returns:
        The message.

    Raises:
        DecodeError: The data is not JSON or does not match the class.
    """
    try:
        return structure(orjson.loads(data), message_type)
    except orjson.JSONDecodeError as error:
        raise DecodeError(str(error)) from error


def structure(raw: Any, message_type: type[_MessageT]) -> _MessageT:
    """Checks parsed JSON and builds a message from it.

    Args:
        raw: Parsed JSON.
        message_type: The generated class to build.

    Returns:
        The message.

    Raises:
        DecodeError: The value does not match the class.
    """
    try:
        return _converter.structure(raw, message_type)
    except (cattrs.BaseValidationError, ValueError, TypeError, KeyError) as error:
        raise DecodeError('{0}: {1}'.format(message_type.__name__, error)) from error


def to_plain(message: Any) -> Any:
    """Turns a message into dictionaries and lists.

    Args:
        message: An instance of a generated class.

    Returns:
        Values that a JSON encoder accepts.
    """
    return _converter.unstructure(message)
