"""Checks that the generated modules in the work tree match their schemas."""

import subprocess
import sys
from pathlib import Path

_ROOT = Path(__file__).resolve().parent.parent
_GENERATED = ('src/fireflymux/_messages_generated.py', 'src/fireflymux/_settings_generated.py')


def main() -> int:
    """Regenerates the modules, compares them and restores the files; returns the exit code."""
    before = [(_ROOT / name).read_text() for name in _GENERATED]
    subprocess.run(
        ['make', '--no-print-directory', '--silent', 'generate'],
        cwd=_ROOT,
        check=True,
        stdout=subprocess.DEVNULL,
    )
    stale = [
        name
        for name, text in zip(_GENERATED, before, strict=True)
        if (_ROOT / name).read_text() != text
    ]
    for name, text in zip(_GENERATED, before, strict=True):
        (_ROOT / name).write_text(text)
    for name in stale:
        sys.stdout.write('{0} is outdated: run `make generate`\n'.format(name))
    return 1 if stale else 0


if __name__ == '__main__':
    sys.exit(main())
