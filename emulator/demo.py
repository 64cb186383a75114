"""Demonstrates the path of requests through routers and sidecars.

Starts a small fleet, sends a streamed chat and a service call, and repeats the call through the
other router with the same idempotency key. Prints the answers with their trace spans. The exit
code is 0 only if all answers are correct, which for the repeated call means that it is the
recorded answer.
"""

import sys
import time
import uuid

import orjson

from .callers import Answer, call, chat
from .fleet import Fleet

#: Time in which the processes write the spans of a request to the trace file.
_SPAN_WAIT_SECONDS = 0.5


def _start_fleet(fleet: Fleet) -> tuple[str, str]:
    fleet.start_platform()
    engines = fleet.start_engines('engines', 2)
    services = fleet.start_services('services', 1)
    fleet.add_contract('mothers', 'stylist', 'orders', weight=2, key_required='orders')
    for number, url in enumerate(engines):
        fleet.start_sidecar(
            f'engine-{number}', endpoint_url=url, pool='stylist', kind='engine', slots=8
        )
    fleet.start_sidecar(
        'service-0', endpoint_url=services[0], pool='orders', kind='service', slots=8
    )
    routers = [fleet.start_router(f'router-{number}') for number in range(2)]
    fleet.wait_ready()
    return routers[0].address, routers[1].address


def _print_answer(title: str, answer: Answer, fleet: Fleet) -> None:
    print(f'\n== {title}: status {answer.status}')
    print(answer.text.strip())
    time.sleep(_SPAN_WAIT_SECONDS)
    trace_id = answer.headers.get('traceparent', '--').split('-')[1]
    for line in (fleet.folder / 'traces.jsonl').read_text().splitlines():
        if trace_id and trace_id in line:
            span = orjson.loads(line)
            service = span['resource']['attributes']['service.name']
            print(f'   span {span["name"]} at {service}: {span["start_time"]} {span["end_time"]}')


def main() -> int:
    """Runs the demo and returns the exit code."""
    with Fleet() as fleet:
        first_router, second_router = _start_fleet(fleet)
        print('processes:', ', '.join(fleet.processes))
        streamed = chat(first_router, 'mothers', tokens=12)
        _print_answer('streamed chat', streamed, fleet)
        key = uuid.uuid4().hex
        charged = call(first_router, 'mothers', key=key)
        _print_answer('box charge', charged, fleet)
        repeated = call(second_router, 'mothers', key=key, nonce=charged.nonce)
        _print_answer('the same charge again, through the other router', repeated, fleet)
        is_correct = (
            streamed.is_whole
            and streamed.received == streamed.expected
            and charged.is_whole
            and repeated.text == charged.text
        )
    print('\nright' if is_correct else '\nWRONG')
    return 0 if is_correct else 1


if __name__ == '__main__':
    sys.exit(main())
