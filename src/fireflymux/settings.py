"""Reads and checks the INI settings of a process, and reports all problems of a file at once."""

import configparser
import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from importlib import resources
from pathlib import Path
from types import MappingProxyType
from typing import Any

import attrs
import orjson

from ._settings_generated import (
    EntrySettings,
    FleetSettings,
    InstanceSettings,
    ObservabilitySettings,
    PlatformSettings,
    RouterSettings,
    SidecarSettings,
    TlsSettings,
)
from .bounded_values import MAXIMUM_PORT, is_http_url, is_ipv4_address, is_socket_address

_SECTION_TYPES: Mapping[str, type] = MappingProxyType(
    {
        'instance': InstanceSettings,
        'fleet': FleetSettings,
        'platform': PlatformSettings,
        'tls': TlsSettings,
        'observability': ObservabilitySettings,
        'router': RouterSettings,
        'sidecar': SidecarSettings,
        'entry': EntrySettings,
    }
)
#: Sections that the settings of a router or sidecar must have.
_REQUIRED_SECTIONS = frozenset(('instance', 'fleet', 'platform'))
#: Sections that are read as empty if they are missing, since all of their keys have defaults.
_DEFAULTED_SECTIONS = frozenset(('tls', 'observability'))
#: Checks of addresses, by the member `address` of a key in the schema.
_ADDRESS_CHECKS: Mapping[str, Callable[[str], bool]] = MappingProxyType(
    {
        'host': is_ipv4_address,
        'host_and_port': is_socket_address,
        'url': is_http_url,
        'urls': lambda text: all(map(is_http_url, filter(None, text.split(',')))),
    }
)
_ADDRESS_DESCRIPTIONS: Mapping[str, str] = MappingProxyType(
    {
        'host': 'an IPv4 address',
        'host_and_port': 'an IPv4 address and a port from 1 to {0}'.format(MAXIMUM_PORT),
        'url': 'an HTTP URL with a host',
        'urls': 'comma-separated HTTP URLs with hosts',
    }
)


@dataclass(frozen=True, slots=True)
class Violation:
    """One problem of a settings file.

    Attributes:
        file: Path of the file.
        section: Name of the section; empty if the problem concerns the whole file.
        key: Name of the key; empty if the problem concerns the whole section.
        found: What the file contains.
        allowed: What it may contain.
    """

    file: str
    section: str
    key: str
    found: str
    allowed: str

    def __str__(self) -> str:
        """Formats the problem as one line."""
        return '{0}: [{1}] {2}: found {3}, allowed {4}'.format(
            self.file,
            self.section,
            self.key,
            self.found,
            self.allowed,
        )


class SettingsError(Exception):
    """A settings file is invalid.

    Attributes:
        violations: Every problem found.
    """

    def __init__(self, violations: list[Violation]) -> None:
        """Creates an error whose message lists the problems."""
        super().__init__('\n'.join(str(violation) for violation in violations))
        self.violations = violations


@attrs.define(frozen=True, kw_only=True)
class ProcessSettings:
    """Settings of a router or sidecar.

    Attributes:
        router: Section [router]; None if the file has none.
        sidecar: Section [sidecar]; None if the file has none.
    """

    instance: InstanceSettings
    fleet: FleetSettings
    platform: PlatformSettings
    tls: TlsSettings
    observability: ObservabilitySettings
    router: RouterSettings | None
    sidecar: SidecarSettings | None

    @property
    def peer_routers(self) -> list[str]:
        """URLs in the key `peer_routers` of section [fleet]."""
        return [url for url in self.fleet.peer_routers.split(',') if url]

    @classmethod
    def from_file(cls, path: str) -> 'ProcessSettings':
        """Reads and checks a settings file.

        Args:
            path: Path of the INI file.

        Returns:
            The settings.

        Raises:
            SettingsError: The file can't be read or contains a value that is not allowed.
        """
        return cls(**_read_fields(cls, path, required=_REQUIRED_SECTIONS))


@attrs.define(frozen=True, kw_only=True)
class OperatorSettings:
    """Settings of the operator's commands."""

    platform: PlatformSettings
    tls: TlsSettings

    @classmethod
    def from_file(cls, path: str) -> 'OperatorSettings':
        """Reads and checks a settings file that has at least a section [platform].

        Args:
            path: Path of the INI file; any other sections in it are checked too.

        Returns:
            The settings.

        Raises:
            SettingsError: The file can't be read or contains a value that is not allowed.
        """
        return cls(**_read_fields(cls, path, required=frozenset(('platform',))))


@attrs.define(frozen=True, kw_only=True)
class EntryProcessSettings:
    """Settings of an entry instance, which serves requests without sidecars."""

    entry: EntrySettings
    observability: ObservabilitySettings

    @classmethod
    def from_file(cls, path: str) -> 'EntryProcessSettings':
        """Reads and checks a settings file that has at least a section [entry].

        Args:
            path: Path of the INI file.

        Returns:
            The settings.

        Raises:
            SettingsError: The file can't be read or contains a value that is not allowed.
        """
        return cls(**_read_fields(cls, path, required=frozenset(('entry',))))


def check_file(path: str) -> None:
    """Checks a settings file of any role.

    Args:
        path: Path of the INI file; one with a section [entry] is checked as the settings of an
            entry instance, any other as those of a router or sidecar.

    Raises:
        SettingsError: The file can't be read or contains a value that is not allowed.
    """
    if read_ini(path).has_section('entry'):
        EntryProcessSettings.from_file(path)
        return
    ProcessSettings.from_file(path)


def read_ini(path: str) -> configparser.ConfigParser:
    """Reads an INI file without checking its sections.

    Args:
        path: Path of the file.

    Returns:
        The parsed file.

    Raises:
        SettingsError: The file can't be read or is no INI file.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(Path(path).read_text(encoding='utf-8'))
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        problem = Violation(path, '', '', str(error).replace('\n', ' '), 'a readable INI file')
        raise SettingsError([problem]) from error
    return parser


def _read_fields(settings_type: type, path: str, *, required: frozenset[str]) -> dict[str, Any]:
    """Returns the section for each field of a settings class; None for a missing optional one."""
    sections = _check_sections(read_ini(path), path, required)
    return {name: sections[name] for name in attrs.fields_dict(settings_type)}


def _check_sections(
    parser: configparser.ConfigParser,
    path: str,
    required: frozenset[str],
) -> dict[str, Any]:
    definitions = _load_definitions()
    violations = [
        Violation(path, unknown, '', 'an unknown section', ', '.join(_SECTION_TYPES))
        for unknown in sorted(set(parser.sections()) - set(_SECTION_TYPES))
    ]
    violations.extend(
        Violation(path, missing, '', 'no such section', 'the section')
        for missing in sorted(required - set(parser.sections()))
    )
    sections: dict[str, Any] = dict.fromkeys(_SECTION_TYPES)
    for name, section_type in _SECTION_TYPES.items():
        if not parser.has_section(name) and name not in _DEFAULTED_SECTIONS:
            continue
        raw = dict(parser[name]) if parser.has_section(name) else {}
        fields, problems = _check_section(definitions[section_type.__name__], raw, (path, name))
        violations.extend(problems)
        if not problems:
            sections[name] = section_type(**fields)
    if violations:
        raise SettingsError(violations)
    return sections


def _load_definitions() -> Mapping[str, Any]:
    text = resources.files(__package__).joinpath('settings_schema.json').read_bytes()
    definitions: Mapping[str, Any] = orjson.loads(text)['definitions']
    return definitions


def _check_section(
    schema: Mapping[str, Any],
    raw: Mapping[str, str],
    location: tuple[str, str],
) -> tuple[dict[str, Any], list[Violation]]:
    """Returns the values of a section and its problems; `location` is its file and name."""
    properties = schema['properties']
    fields: dict[str, Any] = {}
    problems: list[Violation] = []
    for key in sorted(set(raw) - set(properties)):
        allowed = 'one of {0}'.format(', '.join(properties))
        problems.append(Violation(*location, key, 'an unknown key', allowed))
    for key, key_schema in properties.items():
        if key not in raw:
            if key in schema.get('required', ()):
                problems.append(
                    Violation(*location, key, 'no value', _describe_allowed(key_schema))
                )
            continue
        value = _parse_value(key_schema, raw[key])
        if value is None:
            # [fleet] key is a secret, which must not appear in messages.
            shown = '***' if key == 'key' else repr(raw[key])
            problems.append(Violation(*location, key, shown, _describe_allowed(key_schema)))
            continue
        fields[key] = value
    return fields, problems


def _parse_value(key_schema: Mapping[str, Any], text: str) -> Any:
    if key_schema['type'] == 'string':
        return text if _is_allowed_text(key_schema, text) else None
    try:
        number = int(text) if key_schema['type'] == 'integer' else float(text)
    except ValueError:
        return None
    in_range = key_schema['minimum'] <= number <= key_schema['maximum']
    return number if in_range else None


def _is_allowed_text(key_schema: Mapping[str, Any], text: str) -> bool:
    if 'enum' in key_schema and text not in key_schema['enum']:
        return False
    if len(text) < key_schema.get('minLength', 0):
        return False
    if 'pattern' in key_schema and re.match(key_schema['pattern'], text) is None:
        return False
    # A pattern has no range; an empty text is for the pattern to allow.
    is_address = _ADDRESS_CHECKS.get(key_schema.get('address', ''))
    return is_address is None or not text or is_address(text)


def _describe_allowed(key_schema: Mapping[str, Any]) -> str:
    if 'enum' in key_schema:
        return 'one of {0}'.format(', '.join(key_schema['enum']))
    if 'address' in key_schema:
        return _ADDRESS_DESCRIPTIONS[key_schema['address']]
    if 'pattern' in key_schema:
        return 'text that matches {0}'.format(key_schema['pattern'])
    if key_schema['type'] == 'string':
        return 'text of at least {0} characters'.format(key_schema.get('minLength', 0))
    return '{0} from {1} to {2}'.format(
        key_schema['type'], key_schema['minimum'], key_schema['maximum']
    )
