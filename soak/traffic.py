"""Starts the callers of a soak run, and records when the run itself is starved."""

import trio

from .callers import Caller
from .history import Disturbance
from .testbed import Testbed

#: Interval at which the soak looks for waits for a processor, its own and those of the instances.
_TICK_SECONDS = 0.05
#: Shortest wait between two looks that is recorded, and the shortest that counts as starvation.
_LEAST_WAIT_SECONDS = 0.005
_STARVATION_THRESHOLD_SECONDS = 0.25


def start_traffic(testbed: Testbed, nursery: trio.Nursery) -> None:
    """Starts all callers, and the probes of each instance's configuration.

    Args:
        testbed: Testbed of the run.
        nursery: Runs their tasks until it is cancelled.
    """
    nursery.start_soon(_record_starvation, testbed)
    for number, instance in enumerate(testbed.instances):
        nursery.start_soon(Caller(testbed, 'v{0}'.format(number), instance).probe_configuration)
        for count in range(testbed.plan.callers_per_instance):
            name = 'c{0}.{1}'.format(number, count)
            nursery.start_soon(Caller(testbed, name, None).run)


async def _record_starvation(testbed: Testbed) -> None:
    """Records when the soak or an instance got no processor time, as bounds on time are void then."""
    history = testbed.history
    last = trio.current_time()
    delays: dict[str, float] = {}
    while True:
        await trio.sleep(_TICK_SECONDS)
        now = trio.current_time()
        waits = {'': now - last - _TICK_SECONDS}
        for instance in testbed.instances:
            delay = instance.run_delay_seconds
            waits[instance.name] = delay - delays.get(instance.name, delay)
            delays[instance.name] = delay
        for target, wait in waits.items():
            fault = Disturbance(kind='starved', target=target, start=now - wait, end=now)
            if wait > _LEAST_WAIT_SECONDS:
                history.waits.append(fault)
            if wait > _STARVATION_THRESHOLD_SECONDS:
                history.disturbances.append(fault)
        last = now
