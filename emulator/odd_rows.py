"""Rows of the endpoint table that another writer left, and that name no endpoint to use."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

import orjson

_NESTING_DEPTH = 100000
_HUGE_NUMBER = b'9' * 5000


def _encode_row(**changes: Any) -> bytes:
    """Encodes a row that is sound but for some members."""
    row = {
        'service': 'models',
        'address': '127.0.0.1:9',
        'zone': 'a',
        'batch_slots': 8,
        'state': 'ready',
        'sequence': 1,
        'born': 1700000000000,
    }
    return orjson.dumps(row | changes)


def _replace_member(name: str, text: bytes) -> bytes:
    """Encodes a row with a member that the JSON encoder would not write."""
    return _encode_row(**{name: 'MEMBER'}).replace(b'"MEMBER"', text)


#: Contents of rows, by what is odd about them.
ODD_ROWS: Mapping[str, bytes] = MappingProxyType(
    {
        'nothing': b'',
        'no JSON': b'{"service": "models", "address"',
        'no text': b'\xff\xfe\x00\xd8{"service": "models"}',
        'deeply nested': b'[' * _NESTING_DEPTH,
        'deeply nested member': _replace_member(
            'zone', b'[' * _NESTING_DEPTH + b']' * _NESTING_DEPTH
        ),
        'null': b'null',
        'a list': b'[1, 2, 3]',
        'a text': b'"ready"',
        'a huge number': _HUGE_NUMBER,
        'lone surrogate': _replace_member('service', b'"\x5cud800"'),
        'port out of range': _encode_row(address='127.0.0.1:99999'),
        'port below zero': _encode_row(address='127.0.0.1:-1'),
        'port of many digits': _encode_row(address='127.0.0.1:' + '9' * 5000),
        'port in other digits': _encode_row(address='127.0.0.1:\u0661\u0662'),
        'address of a name': _encode_row(address='models.example:80'),
        'address with a null byte': _encode_row(address='127.0.0.1\x00:80'),
        'address as a list': _encode_row(address=['127.0.0.1', 80]),
        'slots as a huge number': _replace_member('batch_slots', _HUGE_NUMBER),
        'slots as a huge fraction': _replace_member('batch_slots', b'1e308'),
        'slots below zero': _encode_row(batch_slots=-1),
        'start as a huge number': _replace_member('born', _HUGE_NUMBER),
        'sequence as a huge number': _replace_member('sequence', _HUGE_NUMBER),
        'warm-up beyond all numbers': _replace_member('warmup_left_ms', b'1e999'),
        'warm-up as a huge number': _replace_member('warmup_left_ms', _HUGE_NUMBER),
        'warm-up as a text': _encode_row(warmup_left_ms='soon'),
        'service as a number': _encode_row(service=7),
        'state as a list': _encode_row(state=['ready']),
        'zone missing': _encode_row(zone=None),
    }
)
