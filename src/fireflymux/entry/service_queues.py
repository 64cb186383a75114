"""The queues of an instance, one for each service."""

from .service_queue import ServiceQueue, make_engine_chooser, make_slot_chooser
from .state import EntryState


class ServiceQueues:
    """Creates the queue of each service at its first use."""

    def __init__(self, state: EntryState) -> None:
        """Creates no queue yet.

        Args:
            state: State of the instance; each change of it dispatches all queues.
        """
        self._state = state
        self._queues: dict[str, ServiceQueue] = {}
        state.subscribe(self.dispatch)

    def dispatch(self) -> None:
        """Places the waiting requests that endpoints have room for now."""
        for queue in self._queues.values():
            queue.dispatch()

    def count_waiting(self) -> int:
        """Counts the requests that wait for an endpoint."""
        return sum(queue.count_waiting() for queue in self._queues.values())

    def get(self, service: str) -> ServiceQueue:
        """Returns the queue of a service.

        Whether it places by engine load or by free slots, and the capacity of an engine, come from
        the configuration that is active when the queue is created. A later configuration does not
        change them.

        Args:
            service: Name of the service.

        Returns:
            The queue.
        """
        queue = self._queues.get(service)
        if queue is None:
            queue = self._create(service)
            self._queues[service] = queue
        return queue

    def _create(self, name: str) -> ServiceQueue:
        configuration = self._state.configuration
        service = None if configuration is None else configuration.services.get(name)
        if service is not None and service.engine is not None:
            return ServiceQueue(
                self._state, make_engine_chooser(self._state, name, service.engine)
            )
        return ServiceQueue(self._state, make_slot_chooser(self._state, name))
