"""What the commands print, and how they end."""

import sys

EXIT_NOT_FOUND = 1
EXIT_USAGE = 2


def write(text: str) -> None:
    """Prints a line."""
    sys.stdout.write('{0}\n'.format(text))


def fail(text: str, code: int) -> None:
    """Prints a line to standard error and ends the process.

    Args:
        text: The line.
        code: Exit code.
    """
    sys.stderr.write('{0}\n'.format(text))
    sys.exit(code)
