"""Reads and checks the INI file of an experiment, and reports all of its problems at once."""

import configparser
from collections.abc import Mapping
from typing import Any, TypeVar

import attrs
import cattrs

from ..decisions.placing_policy import PlacingPolicy
from ..decisions.prefix_transfer import TransferRate
from ..settings import SettingsError, Violation, read_ini

_Section = TypeVar('_Section')
_CONVERTER = cattrs.Converter(forbid_extra_keys=True)


@attrs.define(frozen=True, kw_only=True)
class FleetTerms:
    """Section [experiment]: duration, seeds and size of the fleet.

    Attributes:
        seconds: Time during which new requests are sent.
        seeds: Number of simulations of each policy, each with another seed; the seeds are the
            same for all policies.
        instances: Number of entry instances.
        engines: Number of engines.
        failure_domains: Number of failure domains that instances and engines are spread over.
        accounts: Number of client accounts.
        account_skew: Exponent of the Zipf distribution of requests over accounts.
        callers: Number of callers; each sends its first attempts to one instance.
        link_seconds: Latency of reports between instances.
    """

    seconds: float = 20.0
    seeds: int = 3
    instances: int = 4
    engines: int = 6
    failure_domains: int = 3
    accounts: int = 16
    account_skew: float = 0.8
    callers: int = 60
    link_seconds: float = 0.001


@attrs.define(frozen=True, kw_only=True)
class EngineModel:
    """Section [engine]: parameters of the simulated engines.

    Attributes:
        slots: Largest number of requests that run on an engine at once.
        cache_tokens: Capacity of the prefix cache of an engine.
        chunk_tokens: Largest number of prompt tokens that are read in one step.
        step_seconds: Fixed part of the duration of a step.
        request_seconds: Time that each running request adds to a step.
        prompt_tokens_per_second: Speed at which prompts are read.
        event_tokens: Tokens in one event of a response.
        cached_token_bytes: Size of one cached token.
        link_megabits: Bandwidth in megabits per second at which engines copy cached tokens from each
            other; zero if they cannot.
        slow_part: Fraction of the engines that are slow.
        slow_factor: Factor on the duration of the steps of slow engines.
    """

    slots: int = 64
    cache_tokens: int = 400000
    chunk_tokens: int = 4096
    step_seconds: float = 0.0037
    request_seconds: float = 0.00008
    prompt_tokens_per_second: float = 82000.0
    event_tokens: int = 5
    cached_token_bytes: float = 18432.0
    link_megabits: float = 0.0
    slow_part: float = 0.33
    slow_factor: float = 1.3

    @property
    def transfer(self) -> TransferRate:
        """How fast engines copy cached tokens from each other."""
        return TransferRate.from_megabits(
            token_bytes=self.cached_token_bytes, link_megabits=self.link_megabits
        )


@attrs.define(frozen=True, kw_only=True)
class LoadTerms:
    """One section [load NAME]: requests of one kind.

    Attributes:
        rate_per_second: Mean rate of requests over all callers, without bursts.
        shared: Shared parts of a prompt in order, separated by spaces. Each is TOKENSxNUMBER:
            the mean length of the part, and the number of variants that one is drawn from.
        own_tokens: Mean length of the last part, which is not shared with other prompts.
        output_tokens: Mean length of the response.
        spread: Standard deviation of the logarithm of the lengths of last parts and responses;
            half of it applies to shared parts and to the response lengths that callers state.
        target_seconds: Longest time to the first event of a response that is on time.
        pause_seconds: Longest pause between events of a response that is on time.
        deadline_seconds: Time after which a caller gives up, over all of its attempts.
        retries: Largest number of retries of a refused request.
    """

    rate_per_second: float
    shared: str = ''
    own_tokens: float = 500.0
    output_tokens: float = 100.0
    spread: float = 0.8
    target_seconds: float = 0.5
    pause_seconds: float = 0.4
    deadline_seconds: float = 5.0
    retries: int = 1


def parse_shared(shared: str) -> list[tuple[int, int]]:
    """Parses `LoadTerms.shared` into pairs of length and number of variants.

    Raises:
        ValueError: The text is not a list of TOKENSxNUMBER.
    """
    pairs = [entry.split('x') for entry in shared.split()]
    return [(int(tokens), int(number)) for tokens, number in pairs]


@attrs.define(frozen=True, kw_only=True)
class Burst:
    """One section [burst NAME]: a temporary increase of the request rate.

    Attributes:
        at: Start of the burst, in seconds from the start of the simulation.
        seconds: Duration of the burst.
        factor: Factor on the request rate.
        load: Name of the load that it applies to; empty for all.
        account: Rank of the account that it applies to; -1 for all.
    """

    at: float
    seconds: float
    factor: float
    load: str = ''
    account: int = -1


@attrs.define(frozen=True, kw_only=True)
class ExperimentPlan:
    """Definition of an experiment.

    Attributes:
        fleet: Section [experiment].
        engine: Section [engine].
        loads: Loads by name.
        bursts: All bursts.
        policies: Policies by name. The first one is the baseline of comparisons.
    """

    fleet: FleetTerms
    engine: EngineModel
    loads: Mapping[str, LoadTerms]
    bursts: tuple[Burst, ...]
    policies: Mapping[str, PlacingPolicy]

    @classmethod
    def from_file(cls, path: str) -> 'ExperimentPlan':
        """Reads and checks the file of an experiment.

        Args:
            path: Path of the INI file.

        Returns:
            The plan.

        Raises:
            SettingsError: The file can't be read or is invalid.
        """
        return _SectionReader(path, read_ini(path)).read_plan()


class _SectionReader:
    """Converts the sections of one file, and collects their problems."""

    def __init__(self, path: str, parser: configparser.ConfigParser) -> None:
        self._path = path
        self._parser = parser
        self._violations: list[Violation] = []

    def read_plan(self) -> ExperimentPlan:
        """Converts all sections; raises SettingsError if there are problems."""
        self._check_names()
        loads = self._read_named('load', LoadTerms)
        policies = self._read_named('policy', PlacingPolicy) or {'default': PlacingPolicy()}
        bursts = self._read_named('burst', Burst)
        fleet = self._read('experiment', FleetTerms)
        engine = self._read('engine', EngineModel)
        self._check_loads()
        if self._violations or fleet is None or engine is None:
            raise SettingsError(self._violations)
        return ExperimentPlan(
            fleet=fleet,
            engine=engine,
            loads=loads,
            bursts=tuple(bursts.values()),
            policies=policies,
        )

    def _check_names(self) -> None:
        allowed = ('experiment', 'engine', 'load NAME', 'burst NAME', 'policy NAME')
        kinds = {name.partition(' ')[0] for name in allowed}
        for section in self._parser.sections():
            kind, _, name = section.partition(' ')
            if kind not in kinds or bool(name) == (kind in {'experiment', 'engine'}):
                self._report(section, '', 'an unknown section', ', '.join(allowed))

    def _check_loads(self) -> None:
        sections = [name for name in self._parser.sections() if name.startswith('load ')]
        if not sections:
            self._report('load NAME', '', 'no such section', 'at least one')
        for section in sections:
            shared = self._parser[section].get('shared', '')
            try:
                parse_shared(shared)
            except ValueError:
                self._report(section, 'shared', repr(shared), 'TOKENSxNUMBER ...')

    def _read_named(self, kind: str, terms_type: type[_Section]) -> dict[str, _Section]:
        terms_by_name = {}
        for section in self._parser.sections():
            name = section.removeprefix('{0} '.format(kind))
            section_terms = None if name == section else self._read(section, terms_type)
            if section_terms is not None:
                terms_by_name[name] = section_terms
        return terms_by_name

    def _read(self, section: str, terms_type: type[_Section]) -> _Section | None:
        raw: Mapping[str, Any] = {}
        if self._parser.has_section(section):
            raw = dict(self._parser[section])
        try:
            return _CONVERTER.structure(raw, terms_type)
        except cattrs.BaseValidationError as error:
            for problem in cattrs.transform_error(error, path=''):
                self._report(section, '', problem, 'the keys of {0}'.format(terms_type.__name__))
        return None

    def _report(self, section: str, key: str, found: str, allowed: str) -> None:
        self._violations.append(Violation(self._path, section, key, found, allowed))
