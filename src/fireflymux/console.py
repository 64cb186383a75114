"""Console output and exit codes of the commands."""

import sys
from collections.abc import Mapping, Sequence
from typing import Any

EXIT_NOT_FOUND = 1
EXIT_USAGE = 2


def print_line(message: str) -> None:
    """Prints a line to standard output."""
    sys.stdout.write('{0}\n'.format(message))


def print_table(rows: Sequence[Mapping[str, Any]]) -> None:
    """Prints rows as a table with aligned columns.

    Args:
        rows: Cells by column name; the first row determines the columns.
    """
    if not rows:
        print_line('(none)')
        return
    columns = list(rows[0])
    table = [columns, *([str(row[name]) for name in columns] for row in rows)]
    widths = [max(len(row_cells[index]) for row_cells in table) for index in range(len(columns))]
    for row_cells in table:
        padded = [cell.ljust(width) for cell, width in zip(row_cells, widths, strict=True)]
        print_line('  '.join(padded).rstrip())


def exit_with_error(message: str, code: int) -> None:
    """Prints a message to standard error and exits the process.

    Args:
        message: The message, without a line end.
        code: Exit code.
    """
    sys.stderr.write('{0}\n'.format(message))
    sys.exit(code)
