"""Keys of the configuration's rows and names of its objects."""

HEAD_KEY = 'config/head'
CHANGE_PREFIX = 'config/changes/'


def change_key(version: int) -> str:
    """Returns the key of the change that made a version.

    Args:
        version: Configuration version.

    Returns:
        A key that sorts in the order of the versions.
    """
    return '{0}{1:012d}'.format(CHANGE_PREFIX, version)


def snapshot_name(version: int) -> str:
    """Returns the name of the snapshot at a version.

    Args:
        version: Configuration version.

    Returns:
        Name of an object.
    """
    return 'config/snapshot-{0:012d}'.format(version)
