"""Demonstrates the entry role: two entry instances with a store and endpoints without sidecars.

One engine breaks its streams off, which the instances resume at the other engine. Then the service
is full, and a call to it is refused with the time to wait. The exit code is 0 only if all answers
are correct.
"""

import sys

import trio

from .caller_exchange import Reply
from .entry_fleet import EntryFleet, configuration, open_fleet, route

_BACKENDS = (
    ('engine-1', 'stylist', 'stream and cut'),
    ('engine-2', 'stylist', 'stream'),
    ('orders-1', 'orders', 'answer'),
)


def _print_reply(title: str, reply: Reply) -> None:
    print('== {0}: status {1}'.format(title, reply.status))
    print(reply.content.decode().strip())


async def _start_fleet(fleet: EntryFleet) -> None:
    for name, service, behaviour in _BACKENDS:
        await fleet.add_backend(name, service, behaviour)
    routes = [
        route('/chats/', 'streaming', 'stylist', stream_resume=True),
        route('/charges/', 'unsafe', 'orders'),
    ]
    fleet.store.put('op', 'config', configuration(1, routes))
    address = await fleet.start_store()
    for number in range(2):
        await fleet.add_instance(address)
        await fleet.wait_ready(number)


async def _run_demo() -> bool:
    async with open_fleet() as fleet:
        await _start_fleet(fleet)
        chats = [await fleet.call('/chats/1', number) for number in range(2)]
        for number, chat in enumerate(chats):
            _print_reply(
                'chat through entry-{0}, one engine breaks its streams off'.format(number + 1),
                chat,
            )
        charge = await fleet.call('/charges/7', content=b'{"box": 7}')
        _print_reply('box charge', charge)
        fleet.backends['orders-1'].behaviour = 'full'
        refused = await fleet.call('/charges/8')
        _print_reply('box charge while the service is full', refused)
        print('retry after {0} s'.format(refused.fields['retry-after']))
        is_whole = all(chat.is_whole and chat.content == chats[0].content for chat in chats)
        return is_whole and charge.status == 200 and refused.status == 503


def main() -> int:
    """Runs the demo and returns the exit code."""
    is_correct = trio.run(_run_demo)
    print('right' if is_correct else 'wrong')
    return 0 if is_correct else 1


if __name__ == '__main__':
    sys.exit(main())
