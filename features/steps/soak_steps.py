"""Steps that run the soak test, and that test its checks and plans alone."""

import os
import signal
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from types import SimpleNamespace

import orjson
import trio
from behave import then, when

from emulator.faulty_endpoint import Arrival
from soak import checks
from soak.event import Event
from soak.faults import inject_fault
from soak.history import Disturbance, Exchange, History, OwnEnd, Stop
from soak.plan import FAULT_PHASE_SECONDS, Plan

_ROOT = Path(__file__).resolve().parent.parent.parent
_TIMEOUT_SECONDS = 180
#: Soaks that run at a time.
_MAXIMUM_RUNS = 3
#: Seeds that one mechanism is tried with.
_MAXIMUM_SEEDS = 4


def _run_soak(*options):
    return subprocess.run(
        [sys.executable, '-m', 'soak', *options],
        cwd=_ROOT,
        env=os.environ | {'PYTHONPATH': '{0}/src:{0}'.format(_ROOT)},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        timeout=_TIMEOUT_SECONDS,
    )


@when('the soak runs the seeds {first:d} to {last:d}')
def run_seeds(context, first, last):
    count = last - first + 1
    context.completed = _run_soak(
        '--seeds={0}'.format(count), '--first={0}'.format(first), '--jobs=3'
    )


@then('no run finds a violation')
def assert_no_violation(context):
    assert context.completed.returncode == 0, context.completed.stdout


def _has_found(row, done):
    return done.returncode == 1 and '  {0}: '.format(row['check']) in done.stdout


@when('the soak runs instances with one mechanism disabled, on further seeds until it is found')
def run_mutants(context):
    def run(row):
        # How often a request meets what shows the mechanism is drawn in each run, and seldom enough
        # on a busy machine, where there are fewer requests, that one run may have none.
        for further in range(_MAXIMUM_SEEDS):
            done = _run_soak(
                '--one={0}'.format(int(row['seed']) + further),
                '--mutant={0}'.format(row['mutant']),
                '--kinds={0}'.format(row['kinds']),
            )
            assert done.stdout.startswith('seed '), done.stdout
            if _has_found(row, done):
                break
        return done

    rows = list(context.table)
    with ThreadPoolExecutor(max_workers=_MAXIMUM_RUNS) as pool:
        context.mutant_runs = list(zip(rows, pool.map(run, rows), strict=True))


@then('the named check of each run finds a violation')
def assert_mutants_found(context):
    for row, done in context.mutant_runs:
        assert _has_found(row, done), (row, done.stdout)


def _build_exchange(**changes):
    defaults = {
        'attempt': 'a1',
        'kind': 'unsafe',
        'account': 'mothers',
        'key_version': 0,
        'instance': 'entry-1',
        'incarnation': 1,
        'sent_at': 10.0,
        'ended_at': 10.1,
        'status': 200,
        'is_complete': True,
        'content': b'done a1',
        'echoed_attempt': 'a1',
        'endpoint': 'e1',
    }
    return Exchange(**(defaults | changes))


def _build_arrival(**changes):
    defaults = {
        'attempt': 'a1',
        'endpoint': 'e1',
        'service': 'orders',
        'account': 'mothers',
        'has_key': False,
        'started_at': 10.05,
        'status': 200,
        'ended_at': 10.08,
    }
    return Arrival(**(defaults | changes))


def _build_history(exchanges, arrivals=None, **changes):
    if arrivals is None:
        arrivals = [
            _build_arrival(attempt=exchange.attempt, status=exchange.status)
            for exchange in exchanges
        ]
    return History(exchanges=list(exchanges), arrivals=list(arrivals), ended_at=40.0, **changes)


def _build_probe(attempt, version, **changes):
    content = 'done {0}'.format(attempt).encode()
    return _build_exchange(
        attempt=attempt,
        echoed_attempt=attempt,
        kind='safe',
        key_version=version,
        content=content,
        **changes,
    )


def _build_exchanges(count, **changes):
    return [
        _build_exchange(
            attempt='m{0}'.format(number), echoed_attempt='m{0}'.format(number), **changes
        )
        for number in range(count)
    ]


def _build_violating_histories():
    """Returns histories by the name of the only check that must find a violation in them."""
    refused = {'status': 503, 'content': b''}
    term = Disturbance(kind='term', target='entry-1', start=9.5, end=12.0)
    stop = Stop(instance='entry-1', incarnation=1, signalled_at=9.5, ended_at=11.0, exit_code=1)
    late = {'status': 504, 'ended_at': 13.0, 'content': b'', 'endpoint': ''}
    record = orjson.dumps(dict.fromkeys(('time', 'level', 'module', 'event', 'instance'))).decode()
    versions = {1: 1.0, 2: 9.0}
    own_end = OwnEnd(instance='entry-1', incarnation=1, seen_at=20.0, exit_code=1)
    late_arrival = _build_arrival(ended_at=12.9)
    return {
        'check_bytes': _build_history([_build_exchange(violation='a second head')]),
        'check_statuses': _build_history([_build_exchange()], [_build_arrival(status=500)]),
        'check_own_ends': _build_history([], own_ends=[own_end]),
        'check_answers': _build_history([_build_exchange(content=b'done a2')], [_build_arrival()]),
        'check_once': _build_history([_build_exchange(**refused)]),
        'check_asked': _build_history([_build_exchange()], [_build_arrival(account='partner')]),
        'check_draining': _build_history(
            [_build_exchange()], [_build_arrival()], leaving_since={'e1': 7.0}
        ),
        'check_configuration': _build_history(
            [_build_probe('a1', 2, sent_at=11.5, ended_at=11.6, status=401)],
            config_accepted_at=versions,
        ),
        'check_versions': _build_history(
            [
                _build_probe('a1', 2, sent_at=9.1, ended_at=9.2),
                _build_probe('a2', 1, sent_at=9.6, ended_at=9.7),
            ],
            config_accepted_at=versions,
        ),
        'check_time': _build_history([_build_exchange(**late)], [late_arrival]),
        'check_release': _build_history(
            [
                _build_exchange(
                    kind='safe', abandoned_at=10.06, status=0, is_complete=False, endpoint=''
                )
            ],
            [_build_arrival(ended_at=11.0)],
        ),
        'check_stops': _build_history([], disturbances=[term], stops=[stop]),
        'check_recovery': _build_history(
            _build_exchanges(10, kind='safe', sent_at=25.0, status=503, content=b''),
            faults_ended_at=20.0,
        ),
        'check_repeats': _build_history(
            _build_exchanges(13, kind='safe', is_complete=False, content=b''),
            [_build_arrival(attempt='m{0}'.format(number // 2)) for number in range(26)],
        ),
        'check_errors': _build_history(
            [], log_lines=[('entry-1', record.replace('"level":null', '"level":"error"'))]
        ),
        'check_logs': _build_history(
            [], log_lines=[('entry-1', record), ('entry-1', 'Traceback of a library')]
        ),
    }


@when('histories that each violate one guarantee are checked')
def check_violating_histories(context):
    context.found = {
        name: {line.partition(':')[0] for line in checks.find_violations(history)}
        for name, history in _build_violating_histories().items()
    }


@then('only the check of that guarantee reports a violation')
def assert_only_named_check_reports(context):
    assert set(context.found) == {check.__name__ for check in checks.CHECKS}
    for name, found in context.found.items():
        assert found == {name}, (name, found)


_FAILED = {'status': 504, 'content': b'', 'endpoint': ''}


@when('10 requests and probes to an instance are sent after the fault phase, and {happening}')
def build_calm_phase(context, happening):
    requests = _build_exchanges(10, kind='safe', sent_at=25.0, ended_at=25.1)
    probes = [
        _build_probe('p{0}'.format(number), 2, sent_at=25.0, ended_at=25.1) for number in range(10)
    ]
    for failing in {'requests': requests, 'probes': probes}.get(happening.split()[1], ())[:2]:
        for name, text in _FAILED.items():
            setattr(failing, name, text)
    starved = Disturbance(kind='starved', target='entry-1', start=25.04, end=25.4)
    if happening.endswith('while another is'):
        starved.target = 'entry-2'
    context.history = _build_history(
        [*requests, *([] if happening.startswith('no probe') else probes)],
        config_accepted_at={1: 1.0, 2: 9.0},
        waits=[starved] if 'while' in happening else [],
        faults_ended_at=20.0,
    )


@then('the check of recovery finds {found}')
def check_recovery_found(context, found):
    violations = list(checks.check_recovery(context.history))
    if found == 'nothing':
        assert not violations, violations
    else:
        assert len(violations) == 1 and found in violations[0], violations


@when(
    'a request is sent on a {connection} connection that ends {seconds:g} s later within a planned'
    ' stop, and it {runs}'
)
def build_stop(context, connection, seconds, runs):
    exchange = _build_exchange(
        sent_at=10.0,
        ended_at=10.0 + seconds,
        is_kept=connection == 'kept',
        status=0,
        is_complete=False,
        content=b'',
        echoed_attempt='',
        endpoint='',
    )
    term = Disturbance(kind='term', target='entry-1', start=9.5, end=12.0)
    stop = Stop(instance='entry-1', incarnation=1, signalled_at=9.5, ended_at=11.0, exit_code=0)
    arrivals = [_build_arrival()] if runs == 'runs' else []
    context.history = _build_history([exchange], arrivals, disturbances=[term], stops=[stop])


@then('the check of stops finds {found}')
def check_stop_found(context, found):
    violations = list(checks.check_stops(context.history))
    if found == 'nothing':
        assert not violations, violations
    else:
        assert len(violations) == 1 and found in violations[0], violations


class _SlowlyEndingInstance:
    name = 'entry-1'
    incarnation = 1

    def __init__(self, seconds):
        self._ends_at = trio.current_time() + seconds
        self.started_at = []

    @property
    def is_running(self):
        return bool(self.started_at) or trio.current_time() < self._ends_at

    def signal(self, signum):
        assert signum == signal.SIGKILL

    def start(self):
        self.incarnation += 1
        self.started_at.append(trio.current_time())


@when('an instance is killed for {seconds:g} s, and its process ends only after {end:g} s')
def kill_slowly_ending(context, seconds, end):
    async def act():
        context.instance = _SlowlyEndingInstance(end)
        context.history = History()
        testbed = SimpleNamespace(
            instances=[context.instance],
            history=context.history,
            record_disturbance=lambda kind, target, length: context.history.disturbances.append(
                Disturbance(kind=kind, target=target, start=0, end=trio.current_time() + length)
            ),
        )
        event = Event(start_seconds=0, kind='kill', target=0, duration_seconds=seconds)
        async with trio.open_nursery() as nursery:
            for _ in range(2):
                nursery.start_soon(inject_fault, testbed, event)

    trio.run(act)


@then('it is started once, and counts as disturbed until a second after that')
def check_started_once(context):
    assert len(context.instance.started_at) == 1, context.instance.started_at
    ends = [disturbance.end for disturbance in context.history.disturbances]
    assert max(ends) >= context.instance.started_at[0] + 1, (ends, context.instance.started_at)


@when('plans are generated twice from many seeds')
def generate_plans(context):
    context.plans = [(Plan.from_seed(seed), Plan.from_seed(seed)) for seed in range(200)]
    kinds = ('stutter', 'term', 'drain', 'configure')
    context.plans += [
        (Plan.from_kinds(seed, kinds), Plan.from_kinds(seed, kinds)) for seed in range(20)
    ]


@then('both plans of a seed are equal, and all their faults end within the fault phase')
def assert_plans_reproducible(context):
    for plan, again in context.plans:
        assert plan == again
        assert all(
            event.start_seconds + event.duration_seconds <= FAULT_PHASE_SECONDS
            for event in plan.events
        ), plan
