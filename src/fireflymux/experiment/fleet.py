"""Simulated fleet: entry instances that run the production code, and simulated engines."""

import random
from collections.abc import Mapping

import trio

from .._messages_generated import PeerReport
from .._settings_generated import EntrySettings
from ..decisions.entry_configuration import (
    CallerLimits,
    Configuration,
    EngineCapacity,
    Repeatability,
    Route,
    Service,
    WeightedService,
    index_routes,
)
from ..decisions.membership import Endpoint
from ..decisions.placing_policy import PlacingPolicy
from ..decisions.report_routes import choose_report_interval
from ..entry.entry_metrics import EntryMetrics
from ..entry.exchange import RequestHandler
from ..entry.peer_link import PeerLink
from ..entry.report_builder import ReportBuilder
from ..entry.state import EntryState
from ..http.connection_pool import UpstreamPool
from .engine import SimulatedEngine
from .engine_connections import EngineConnectionPool
from .load import Prompt
from .plan import ExperimentPlan

HOST = 'experiment'
_SERVICE = 'engines'
#: Placeholder for required settings of listeners and the store, which are not started.
_UNUSED_ADDRESS = '127.0.0.1:1'


def account_name(rank: int) -> str:
    """Returns the name of a client account, which is also its API key."""
    return 'account-{0}'.format(rank)


class SimulatedFleet:
    """Instances and engines of one simulation.

    Attributes:
        engines: Engines by identifier.
        instances: Request handler of each instance.
    """

    def __init__(
        self,
        plan: ExperimentPlan,
        policy: PlacingPolicy,
        prompts: Mapping[bytes, Prompt],
        rng: random.Random,
    ) -> None:
        """Creates engines and instances.

        Args:
            plan: The experiment.
            policy: Policy by which prompts are placed.
            prompts: Prompts by request target.
            rng: Source of the seeds of the instances.
        """
        self._plan = plan
        self._policy = policy
        self._prompts = prompts
        self._rng = rng
        model = plan.engine
        slow_count = int(model.slow_part * plan.fleet.engines)
        self.engines = {
            'engine-{0}'.format(number): SimulatedEngine(
                model, model.slow_factor if number < slow_count else 1.0
            )
            for number in range(plan.fleet.engines)
        }
        self._states = [self._build_state(number) for number in range(plan.fleet.instances)]
        metrics = EntryMetrics()
        self.instances = [RequestHandler(state, metrics) for state in self._states]
        self._peer_links = [PeerLink(state, metrics) for state in self._states]

    async def run(self) -> None:
        """Runs engines and instances until cancelled."""
        async with trio.open_nursery() as nursery:
            for engine in self.engines.values():
                nursery.start_soon(engine.work)
            for components in zip(self._states, self._peer_links, self.instances, strict=True):
                nursery.start_soon(self._run_instance, *components, nursery)
            for instance in self.instances:
                nursery.start_soon(instance.detached_tasks.run)

    async def _run_instance(
        self,
        state: EntryState,
        peer_link: PeerLink,
        instance: RequestHandler,
        nursery: trio.Nursery,
    ) -> None:
        """Reports the state of an instance and tries to place its waiting requests, regularly."""
        others = [other for other in self._peer_links if other is not peer_link]
        reports = ReportBuilder(state)
        while True:
            await trio.sleep(choose_report_interval(len(others)))
            state.loads.expire(trio.current_time())
            report = reports.build()
            if report is not None and others:
                nursery.start_soon(self._deliver_report, report, state, others)
            instance.queues.dispatch()

    async def _deliver_report(
        self, report: PeerReport, sender: EntryState, receivers: list[PeerLink]
    ) -> None:
        """Delivers a report to the other instances after the latency of the network."""
        await trio.sleep(self._plan.fleet.link_seconds)
        domain = sender.settings.failure_domain
        for receiver in receivers:
            receiver.apply_report(report, host=sender.host, failure_domain=domain)

    def _build_state(self, number: int) -> EntryState:
        domain = str(number % self._plan.fleet.failure_domains)
        settings = EntrySettings(
            name='entry-{0}'.format(number),
            failure_domain=domain,
            caller_address=_UNUSED_ADDRESS,
            readiness_address=_UNUSED_ADDRESS,
            peer_host='10.0.0.{0}'.format(number + 1),
            peer_port=1,
            store_address=_UNUSED_ADDRESS,
        )
        state = EntryState(
            settings,
            random.Random(self._rng.random()),
            policy=self._policy,
            open_pool=self._open_pool,
        )
        state.apply_configuration(_build_configuration(self._plan), b'', 'experiment')
        for index, identifier in enumerate(self.engines):
            state.members.put(self._build_endpoint(index, identifier), 0.0)
        state.has_endpoint_list = True
        state.update_endpoints()
        return state

    def _open_pool(self, endpoint: Endpoint) -> UpstreamPool:
        return EngineConnectionPool(self.engines, endpoint.identifier, self._prompts)

    def _build_endpoint(self, index: int, identifier: str) -> Endpoint:
        return Endpoint(
            identifier=identifier,
            service=_SERVICE,
            host=identifier,
            port=1,
            failure_domain=str(index % self._plan.fleet.failure_domains),
            slots=self._plan.engine.slots,
            is_leaving=False,
            incarnation=1,
        )


def _build_configuration(plan: ExperimentPlan) -> Configuration:
    routes = [
        Route(
            name=name,
            host=HOST,
            prefix='/{0}/'.format(name),
            services=(WeightedService(service=_SERVICE, weight=1.0),),
            repeatability=Repeatability.stream_once,
            timeout_seconds=terms.deadline_seconds,
            target_seconds=terms.target_seconds,
            maximum_endpoints=1,
            is_public=False,
        )
        for name, terms in plan.loads.items()
    ]
    engine = EngineCapacity(
        slots=plan.engine.slots,
        cache_tokens=plan.engine.cache_tokens,
        transfer=plan.engine.transfer,
    )
    account_names = [account_name(rank) for rank in range(plan.fleet.accounts)]
    return Configuration(
        version=1,
        routes=index_routes(routes),
        services={_SERVICE: Service(name=_SERVICE, maximum_connections=0, engine=engine)},
        limits=CallerLimits(header_bytes=1, body_bytes=1, header_seconds=1.0, idle_seconds=1.0),
        accounts_by_key={name: name for name in account_names},
        needs_keys=True,
    )
