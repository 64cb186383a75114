"""Encodes messages between entry instances as arrays, with one item for each field in order.

While a fleet is upgraded, instances of two builds read each other's messages. Items after the known
ones are those of a later build and are ignored. A new field therefore goes to the end of its message
in the schema, and has a default, which stands for it in the messages of earlier builds.

Builds before this rule drop a message that has another number of items. A field that is added while
such a build may still run has to be sent in a message of its own.
"""

import typing
from collections.abc import Callable

import attrs
import msgspec

_MessageT = typing.TypeVar('_MessageT')


def encode_message(message: typing.Any) -> bytes:
    """Encodes a message.

    Args:
        message: Instance of a message class.
    """
    return msgspec.msgpack.encode(attrs.astuple(message, recurse=False))


def build_decoder(
    message_type: type[_MessageT], **bounded: typing.Any
) -> Callable[[bytes], _MessageT]:
    """Builds a function that decodes the messages of one class.

    Args:
        message_type: The message class.
        bounded: Types with ranges, which take the place of those that the class states.

    Returns:
        A function that returns the message in the given bytes, and raises `msgspec.MsgspecError`
        if a field is missing, of another type or out of its range.
    """
    names = tuple(field.name for field in attrs.fields(message_type))  # type: ignore[arg-type]
    decoder = msgspec.msgpack.Decoder(_build_array_type(message_type, bounded))

    def decode(received: bytes) -> _MessageT:
        values = msgspec.structs.astuple(decoder.decode(received))
        return message_type(**dict(zip(names, values, strict=True)))

    return decode


def _build_array_type(message_type: type, bounded: dict[str, typing.Any]) -> type[msgspec.Struct]:
    """Builds the class that msgspec decodes an array to, whose end it lets be longer or shorter."""
    hints = typing.get_type_hints(message_type) | bounded
    fields = [
        (field.name, hints[field.name], *_build_default(field.default))
        for field in attrs.fields(message_type)
    ]
    return msgspec.defstruct(message_type.__name__, fields, array_like=True)


def _build_default(default: typing.Any) -> tuple[typing.Any, ...]:
    """Returns the default of a field as msgspec takes it; nothing if the field is required."""
    if default is attrs.NOTHING:
        return ()
    if isinstance(default, attrs.Factory):  # type: ignore[arg-type]
        return (msgspec.field(default_factory=default.factory),)
    return (msgspec.field(default=default),)
