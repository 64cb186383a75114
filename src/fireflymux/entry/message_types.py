"""Types with ranges that the messages between entry instances are decoded with.

The classes of the messages are generated with plain types. A message whose members are out of
these ranges is malformed: some calculations would fail with them, and so would their encoding in
messages of the receiver.
"""

import typing

import msgspec

from ..bounded_values import MAXIMUM_INTEGER, MAXIMUM_NAME_CHARACTERS

#: Greatest fingerprint, and the greatest total of tokens of an account.
_MAXIMUM_FINGERPRINT = 72057594037927935
_MAXIMUM_ACCOUNT_TOKENS = 1e15

#: A version, a number of an endpoint, or another count.
Count = typing.Annotated[int, msgspec.Meta(ge=0, le=MAXIMUM_INTEGER)]
#: A number that stands for a longer value; at most 64 bits, as MessagePack has no longer ones.
Identifier = typing.Annotated[int, msgspec.Meta(ge=0)]
#: The digest of a request.
Fingerprint = typing.Annotated[int, msgspec.Meta(ge=0, le=_MAXIMUM_FINGERPRINT)]
#: Tokens of an account, which refunds can make negative; neither infinite nor NaN.
Tokens = typing.Annotated[
    float, msgspec.Meta(ge=-_MAXIMUM_ACCOUNT_TOKENS, le=_MAXIMUM_ACCOUNT_TOKENS)
]
#: Name of an instance or a failure domain.
Name = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=MAXIMUM_NAME_CHARACTERS)]
