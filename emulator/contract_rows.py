"""Rows that put contracts directly into the empty table, without the command line."""

from collections.abc import Mapping, Sequence
from typing import Any

from fireflymux.messages import ConfigChange, ConfigHead, Contract
from fireflymux.web.credentials import compute_key_digest
from fireflymux.wire import codec


def build_contract_puts(contracts: Sequence[Mapping[str, Any]]) -> list[dict[str, Any]]:
    """Builds the writes of a transaction that creates contracts.

    Args:
        contracts: Fields of each contract that replace the defaults, which set no limit in
            practice.
    """
    puts = []
    for version, terms in enumerate(contracts, start=1):
        contract = Contract(
            **{
                'weight': 1.0,
                'rate_per_second': 1e6,
                'concurrency': 100000,
                'queue_length': 1000000,
                'key_digest': compute_key_digest('secret'),
                **terms,
            }
        )
        change = ConfigChange(
            version=version,
            change_id=str(version),
            operator='test',
            contract=contract,
        )
        puts.append(
            {
                'key': 'config/changes/{0:012d}'.format(version),
                'expected_version': 0,
                'value': codec.to_builtins(change),
            }
        )
    head = ConfigHead(version=len(contracts), snapshot_version=0)
    puts.append(
        {
            'key': 'config/head',
            'expected_version': 0,
            'value': codec.to_builtins(head),
        }
    )
    return puts
