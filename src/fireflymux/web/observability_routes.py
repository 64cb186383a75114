"""Routes that tell operators and load balancers how a process is: metrics, liveness, readiness."""

from collections.abc import Callable

from quart import Response, request
from quart_trio import QuartTrio

from ..errors import CallFailure
from ..observability.metrics import Metrics
from .responses import build_problem_response

#: Paths of the routes, which need no credential.
OBSERVABILITY_PATHS = frozenset(('/metrics', '/live', '/ready'))


def add_observability_routes(
    app: QuartTrio,
    metrics: Metrics,
    *,
    update_gauges: Callable[[], None],
    check_readiness: Callable[[], CallFailure | None],
) -> None:
    """Adds the routes to the application of a role.

    Args:
        app: The application.
        metrics: Metrics of the process.
        update_gauges: Sets the gauges whose values are read only when the metrics are rendered.
        check_readiness: Returns why the process is not ready, or None if it is.
    """

    @app.get('/metrics')
    async def render_metrics() -> Response:
        update_gauges()
        body, headers = metrics.render(request.headers.getlist('Accept'))
        return Response(body, headers=headers)

    @app.get('/live')
    async def live() -> Response:
        return Response(b'live\n')

    @app.get('/ready')
    async def ready() -> Response:
        failure = check_readiness()
        return Response(b'ready\n') if failure is None else build_problem_response(failure)
