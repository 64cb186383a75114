"""Runs the command line with one mechanism disabled by monkey patching.

Run as `python -m emulator.variants NAME ROLE SETTINGS`. The benchmarks compare the variants with
the unpatched program, and `tools/show_red.py` uses them to check that the features notice when a
mechanism is missing.
"""

import sys
from collections.abc import Callable, Mapping
from types import MappingProxyType

from fireflymux import cli

from .entry_variants import ENTRY_VARIANTS
from .router_variants import ROUTER_VARIANTS

#: Variants by name, as given on the command line and in FIREFLYMUX_VARIANT.
VARIANTS: Mapping[str, Callable[[], None]] = MappingProxyType(
    {item.__name__: item for item in (*ROUTER_VARIANTS, *ENTRY_VARIANTS)}
)


def main() -> None:
    """Applies the variant named by the first argument and runs the command line."""
    VARIANTS[sys.argv.pop(1)]()
    cli.main()


if __name__ == '__main__':
    main()
