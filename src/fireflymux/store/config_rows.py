"""Keys of the configuration rows in the table and names of the snapshots in the object store.

The head row names the newest committed version and the newest snapshot. Each version has one
row that holds the change that created it.
"""

from ..bounded_values import MAXIMUM_INTEGER, parse_integer

HEAD_KEY = 'config/head'
CHANGE_PREFIX = 'config/changes/'


def change_key(version: int) -> str:
    """Returns the row key of the change that created a version.

    Args:
        version: Configuration version.

    Returns:
        The key; the version is zero-padded so that keys sort in version order.
    """
    return '{0}{1:012d}'.format(CHANGE_PREFIX, version)


def snapshot_name(version: int) -> str:
    """Returns the object name of the snapshot of a version.

    Args:
        version: Configuration version.

    Returns:
        The object name.
    """
    return 'config/snapshot-{0:012d}'.format(version)


def change_version(key: str) -> int:
    """Returns the version of the change in a row.

    Args:
        key: Row key returned by `change_key`.

    Returns:
        The version; zero, which no change has, for any other key.
    """
    digits = key.removeprefix(CHANGE_PREFIX)
    version = parse_integer(digits.encode(), maximum=MAXIMUM_INTEGER) or 0
    return version if key == change_key(version) else 0
