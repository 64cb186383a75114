"""JSON codec for the message classes that are generated from the schema, and for plain values."""

from typing import Any, TypeVar

import cattrs
import orjson
from cattrs.preconf.orjson import make_converter

_MessageT = TypeVar('_MessageT')
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
    except (cattrs.BaseValidationError, ValueError, TypeError, KeyError) as error:
        raise DecodeError('{0}: {1}'.format(message_type.__name__, error)) from error


def to_builtins(message: Any) -> Any:
    """Converts a message to values that can be encoded as JSON.

    Args:
        message: Instance of a message class.

    Returns:
        Dictionaries, lists and primitive values.
    """
    return _converter.unstructure(message)
