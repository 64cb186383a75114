"""Starts the callers of a soak run, and records when the run itself is starved."""

import trio

from .callers import Caller
from .history import Disturbance, History
from .testbed import Testbed

#: Interval at which the soak checks whether it is starved of processor time.
_TICK_SECONDS = 0.05
#: Gap between two such checks above which starvation is recorded.
_STARVATION_THRESHOLD_SECONDS = 0.25


def start_traffic(testbed: Testbed, nursery: trio.Nursery) -> None:
    """Starts all callers, and the probes of each instance's configuration.

    Args:
        testbed: Testbed of the run.
        nursery: Runs their tasks until it is cancelled.
    """
    nursery.start_soon(_record_starvation, testbed.history)
    for number, instance in enumerate(testbed.instances):
        nursery.start_soon(Caller(testbed, 'v{0}'.format(number), instance).probe_configuration)
        for count in range(testbed.plan.callers_per_instance):
            name = 'c{0}.{1}'.format(number, count)
            nursery.start_soon(Caller(testbed, name, None).run)


async def _record_starvation(history: History) -> None:
    """Records when the soak got no processor time, since bounds on time mean nothing then."""
    last = trio.current_time()
    while True:
        await trio.sleep(_TICK_SECONDS)
        now = trio.current_time()
        if now - last > _STARVATION_THRESHOLD_SECONDS:
            history.disturbances.append(
                Disturbance(kind='starved', target='', start=last, end=now)
            )
        last = now
