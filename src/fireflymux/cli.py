"""Command line: one command for each role of a process, and the operator's commands.

Each command imports the modules it needs when it runs, which keeps the start-up time and the
memory of a process small.
"""

import fileinput
import logging
import os
import sys
from collections.abc import Callable
from typing import Any

import fire
import trio
from fire.decorators import SetParseFn

from .console import EXIT_NOT_FOUND, EXIT_USAGE, exit_with_error, print_line, print_table
from .observability.library_logs import redirect_library_logs
from .observability.logs import configure_logging
from .settings import EntryProcessSettings, ProcessSettings, SettingsError, check_file


def _run_role(settings_file: str, role_main: Callable[[ProcessSettings], Any]) -> None:
    try:
        settings = ProcessSettings.from_file(settings_file)
    except SettingsError as error:
        exit_with_error(str(error), EXIT_USAGE)
    configure_logging(settings.observability.log_level, instance=settings.instance.name)
    redirect_library_logs()
    logging.getLogger('hypercorn.error').setLevel(logging.CRITICAL)
    trio.run(role_main, settings)


# Takes all arguments as strings: by default, Fire evaluates those that are Python literals.
@SetParseFn(str)
def router(settings: str) -> None:
    """Runs a router.

    Args:
        settings: Path of the INI file with a section [router].
    """
    from .router.router_app import run_router

    _run_role(settings, run_router)


@SetParseFn(str)
def sidecar(settings: str) -> None:
    """Runs the sidecar of one endpoint.

    Args:
        settings: Path of the INI file with a section [sidecar].
    """
    from .sidecar.sidecar_app import run_sidecar

    _run_role(settings, run_sidecar)


@SetParseFn(str)
def entry(settings: str = '') -> None:
    """Runs an entry instance that serves without sidecars.

    Args:
        settings: Path of the INI file with a section [entry]; by default the value of the
            environment variable FIREFLYMUX_CONFIG, or fireflymux.ini if that is not set.
    """
    from .entry.instance import run_entry

    path = settings or os.environ.get('FIREFLYMUX_CONFIG', 'fireflymux.ini')
    try:
        entry_settings = EntryProcessSettings.from_file(path)
    except SettingsError as error:
        exit_with_error(str(error), EXIT_USAGE)
    configure_logging(entry_settings.observability.log_level, instance=entry_settings.entry.name)
    redirect_library_logs()
    trio.run(run_entry, entry_settings, path)


@SetParseFn(str)
def explain(request: str, *files: str) -> None:
    """Prints the log lines that explain the outcome of a request.

    Args:
        request: Identifier of the caller's attempt, as sent in a request or response header.
        files: Log files of all processes; standard input if none is given.
    """
    from .observability.explain import explain_request, parse_lines

    lines = fileinput.input(files or ('-',), encoding='utf-8', errors='replace')
    explanation = explain_request(request, parse_lines(lines))
    if not explanation:
        exit_with_error('no log line found for request {0}'.format(request), EXIT_NOT_FOUND)
    for line in explanation:
        print_line(str(line))


@SetParseFn(str)
def shares(*files: str, accounts: str = '') -> None:
    """Prints how much work of each client account was placed and refused in each second.

    Args:
        files: Log files of all instances; standard input if none is given.
        accounts: Comma-separated names of the accounts to show; by default those with the most
            refused tokens.
    """
    from .observability.account_table import tabulate_accounts
    from .observability.explain import parse_lines

    lines = fileinput.input(files or ('-',), encoding='utf-8', errors='replace')
    print_table(tabulate_accounts(parse_lines(lines), filter(None, accounts.split(','))))


@SetParseFn(str)
def check_settings(settings: str) -> None:
    """Checks a settings file and reports all of its problems.

    Args:
        settings: Path of the INI file.
    """
    try:
        check_file(settings)
    except SettingsError as error:
        exit_with_error(str(error), EXIT_USAGE)
    print_line('{0}: valid'.format(settings))


@SetParseFn(str, 'path')
def experiment(path: str, json: bool = False, plot: bool = False) -> None:
    """Compares prompt placement policies under load in simulated time.

    Args:
        path: Path of the INI file that defines the fleet, loads and policies.
        json: Whether to print JSON instead of a table.
        plot: Whether to plot the percentage of requests on time in each second.
    """
    from .experiment.command import run_experiment

    run_experiment(path, as_json=json, has_plot=plot)


def _operator_commands() -> dict[str, Any]:
    from .operator_cli import ContractCommands, EndpointCommands, StatusCommand

    return {
        'contract': ContractCommands,
        'endpoint': EndpointCommands,
        'status': StatusCommand,
    }


def main() -> None:
    """Runs the command line."""
    commands: dict[str, Any] = {
        'router': router,
        'sidecar': sidecar,
        'entry': entry,
        'explain': explain,
        'shares': shares,
        'check-settings': check_settings,
        'experiment': experiment,
    }
    if len(sys.argv) < 2 or sys.argv[1] not in commands:
        commands.update(_operator_commands())
    fire.Fire(commands, name='fireflymux')
