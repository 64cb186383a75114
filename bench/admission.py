"""Measures the time to the first token on an engine with a smaller batch than configured.

Run as `python -m bench.admission`. The settings of the sidecar state 32 slots, the engine batches
only 4 requests, and 40 requests are kept open. The admission window must adapt to the engine.
"""

import fire
import httpx
import orjson
import trio

from bench.deployment import POOL, Shape, start
from emulator.load import AccountLoad, Load, utilisation

_SLOTS = 32
_BATCH_SIZE = 4
_WARM_UP_SECONDS = 15.0
_TARGET_SECONDS = 1.0


def measure(way: str, seconds: float) -> dict[str, object]:
    """Measures one run.

    Args:
        way: `chosen` for the unpatched program, or the name of a variant.
        seconds: Length of the run.

    Returns:
        Columns of the result by name; the first half of the requests is left out, in which the
        window adapts.
    """
    shape = Shape(name='overload', routers=1, domains=1, engines=1, accounts=2, slots=_SLOTS)
    deployment = start(shape, way, batch=_BATCH_SIZE)
    with deployment.fleet:
        loads = [
            AccountLoad(
                account=name,
                weight=weight,
                routers=[deployment.routers[0].address],
                open_requests=20,
                tokens=(10, 30),
            )
            for name, weight in deployment.weights.items()
        ]
        result = trio.run(Load(loads, deployment.engines, seed=1, model=POOL).run, seconds)
        stats = httpx.get(deployment.engines[0] + '/stats').json()
    first_token_seconds = stats['first_tokens']
    steady_seconds = sorted(first_token_seconds[len(first_token_seconds) // 2 :])
    return {
        'way': way,
        'first_token_p50_s': round(steady_seconds[len(steady_seconds) // 2], 3),
        'first_token_p95_s': round(steady_seconds[int(len(steady_seconds) * 0.95)], 3),
        'within_target': round(
            sum(item <= _TARGET_SECONDS for item in steady_seconds) / len(steady_seconds), 3
        ),
        'utilisation_of_batch': round(utilisation(result, _BATCH_SIZE, start=_WARM_UP_SECONDS), 3),
    }


def main(seconds: float = 40.0) -> None:
    """Prints one line each for the fixed and for the adaptive admission window.

    Args:
        seconds: Length of each run; only the second half of the requests counts.
    """
    for way in ('no_window', 'chosen'):
        print(orjson.dumps(measure(way, seconds)).decode(), flush=True)


if __name__ == '__main__':
    fire.Fire(main)
