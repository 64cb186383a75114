"""Generates the attrs classes of messages and settings from their schemas."""

import subprocess
import sys
from pathlib import Path

_ROOT = Path(__file__).resolve().parent.parent
_TARGETS = (
    ('schema/messages.yaml', 'src/fireflymux/_messages_generated.py'),
    ('src/fireflymux/settings_schema.json', 'src/fireflymux/_settings_generated.py'),
)


def generate(schema: str, target: str) -> None:
    """Generates the module of one schema.

    Args:
        schema: Path of the schema below the root.
        target: Path of the generated module below the root.
    """
    subprocess.run(
        [
            'datamodel-codegen',
            '--input',
            str(_ROOT / schema),
            '--input-file-type',
            'jsonschema',
            '--output-model-type',
            'dataclasses.dataclass',
            '--custom-template-dir',
            str(_ROOT / 'schema' / 'template'),
            '--additional-imports',
            'attrs.define,attrs.field',
            '--target-python-version',
            '3.11',
            '--use-standard-collections',
            '--use-union-operator',
            '--use-annotated',
            '--disable-timestamp',
            '--use-schema-description',
            '--strict-nullable',
            '--enum-field-as-literal',
            'all',
            '--use-default-kwarg',
            '--formatters',
            'builtin',
            '--output',
            str(_ROOT / target),
        ],
        check=True,
    )
    # The generator writes dataclasses; the template and these replacements turn them into attrs
    # classes.
    path = _ROOT / target
    text = path.read_text()
    text = text.replace('default_factory=', 'factory=').replace(
        'from dataclasses import dataclass, field\n', ''
    )
    text = '"""Generated from {0}; do not edit."""\n\n{1}'.format(schema, text)
    path.write_text(text)
    for arguments in (['check', '--fix', '--quiet', '--select', 'F401,I'], ['format', '--quiet']):
        subprocess.run(['ruff', *arguments, str(path)], check=True)


def main() -> None:
    """Generates all modules."""
    for schema, target in _TARGETS:
        generate(schema, target)


if __name__ == '__main__':
    sys.exit(main())
