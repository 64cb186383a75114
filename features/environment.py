"""Starts the fleet that scenarios share, applies variants, and ends what scenarios started."""

import logging
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from emulator.fleet import Fleet  # noqa: E402
from emulator.variants import VARIANTS  # noqa: E402

logging.getLogger('httpx').setLevel(logging.WARNING)


def _start_shared_fleet(context):
    """Starts the fleet for all scenarios that do not disturb its processes."""
    fleet = Fleet()
    context.shared_fleet = fleet
    fleet.start_platform()
    engines = fleet.start_engines('engines', 2, step_milliseconds=5)
    services = fleet.start_services('services', 2)
    accounts = [
        {'account': 'mothers', 'pools': ['stylist', 'orders'], 'key_required_pools': ['orders']},
        {'account': 'partner', 'pools': ['stylist']},
        {'account': 'closed', 'pools': ['stylist'], 'retired': True},
        {'account': 'slow', 'pools': ['stylist'], 'rate_per_second': 2.0},
        {'account': 'narrow', 'pools': ['stylist'], 'concurrency': 1, 'queue_length': 2},
    ]
    fleet.add_contracts(accounts)
    for number, url in enumerate(engines):
        fleet.start_sidecar(
            'engine-{0}'.format(number), endpoint_url=url, pool='stylist', kind='engine', slots=8
        )
    for number, url in enumerate(services):
        fleet.start_sidecar(
            'service-{0}'.format(number), endpoint_url=url, pool='orders', kind='service', slots=8
        )
    for number in range(2):
        fleet.start_router('router-{0}'.format(number))
    fleet.wait_ready()


def before_all(context):
    # Applies the variant to code that scenarios run in this process. The fleets that scenarios
    # start pass it on to their routers and sidecars.
    variant = os.environ.get('FIREFLYMUX_VARIANT', '')
    if variant in VARIANTS:
        VARIANTS[variant]()


def before_feature(context, feature):
    if 'shared_fleet' in feature.tags and not hasattr(context, 'shared_fleet'):
        _start_shared_fleet(context)
        context._root['shared_fleet'] = context.shared_fleet


def before_scenario(context, scenario):
    context.closers = []


def after_scenario(context, scenario):
    if scenario.status == 'failed' and getattr(context, 'fleet', None) is not None:
        for process in context.fleet.processes.values():
            print('== {0}: {1}'.format(process.name, process.log.read_text()[-3000:]))
    for close in reversed(context.closers):
        close()


def after_all(context):
    fleet = getattr(context, 'shared_fleet', None)
    if fleet is not None:
        fleet.close()
