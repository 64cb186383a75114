"""A server is cut off while it runs requests of a stream that may not be resumed."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / 'lib'))

import stand_ins as s  # noqa: E402

SERVERS = 6
#: Prompts as of the class fit-stylist, without what engines keep of them; 81.9 tokens in a ms.
PROMPT_TOKENS = 9000
TOKENS_PER_S = 81900
WAVES = 14
#: Requests that come at once: many at first, so that connections are open, then fewer.
PER_WAVE = (24, 24, 24, 24, *(12,) * 10)
WAVE_S = 0.6
CUT_WAVE = 7
CUT_S = 5.0
#: Time after which TCP ends a connection whose other end stays silent (TCP_USER_TIMEOUT).
TCP_TIMEOUT_S = 2.0
ROUTE_TIMEOUT_MS = 2100
DEADLINE_MS = 5000


async def send(record, entry, number, answers):
    """Sends one user's request, and sends it once more if the answer promises that it didn't run."""
    for trial in range(2):
        attempt = s.attempt_id()
        fields = [
            ('X-Attempt-Id', attempt),
            ('X-Model', 'm'),
            ('X-Token-Usage', '%d,25' % PROMPT_TOKENS),
            ('X-Prompt-Prefix', '%x:1000,%x:8000' % (0x100 + number % 8, 0x10000 + number)),
            ('X-Deadline-Ms', str(DEADLINE_MS)),
            ('Authorization', 'Token ' + s.KEY),
        ]
        record.write('client', number, 'sends', attempt, 'trial', trial)
        answer = await s.request(
            entry.caller, 'POST', '/lohu930/2f', fields, b'box %d' % number, DEADLINE_MS / 1000
        )
        answers[attempt] = answer.status
        record.write('client', number, 'gets', attempt, answer.status, answer.body[:90])
        if answer.status not in {429, 503}:
            return
        await asyncio.sleep(float(answer.fields.get('retry-after', 1)))


async def beat(store, server, link):
    sequence = 0
    while True:
        sequence += 1
        store.put('servers', server.name, server.row('huvo11a', link.address, sequence))
        await asyncio.sleep(1.2)


async def cut(record, servers, links):
    """Cuts the server that has most requests before their first token."""
    await asyncio.sleep(0.06)
    index = max(range(SERVERS), key=lambda i: len(servers[i].pending))
    link = links[index]
    record.write('cut', servers[index].name, 'pending', *sorted(servers[index].pending))
    link.cut()
    await asyncio.sleep(TCP_TIMEOUT_S)
    record.write('TCP ends the connections to', servers[index].name)
    link.reset()
    await asyncio.sleep(CUT_S - TCP_TIMEOUT_S)
    link.heal()
    record.write('healed', servers[index].name)


async def run(folder, record, trouble, entries):
    store = s.Store()
    await store.start()
    servers, links = [], []
    tasks = []
    for number in range(SERVERS):
        server = s.ModelServer(record, 'i-7f3a91c%d' % number, TOKENS_PER_S)
        await server.start()
        link = s.Link(server.target)
        servers.append(server)
        links.append(link)
        link.start()
        tasks.append(asyncio.ensure_future(beat(store, server, link)))
    route = s.route(
        'r-6q5rmmv',
        '/lohu930/',
        'streaming',
        'huvo11a',
        timeout_ms=ROUTE_TIMEOUT_MS,
        session_affinity=True,
        stream_resume=False,
        gap_aim_ms=400,
    )
    store.put('op', 'config', s.configuration(7, [route], [s.model_service('huvo11a')]))
    ports = s.free_ports(4)
    hosts = ['127.0.1.1', '127.0.1.2']
    seeds = ','.join('%s:%d' % (host, ports[0]) for host in hosts)
    for number, host in enumerate(hosts):
        entry = s.Entry(folder, 'edge-nashua-a-%d' % (number + 1), host, ports, store.address, seeds)
        entries.append(entry)
        entry.start()
    for entry in entries:
        await entry.wait_ready()
    await asyncio.sleep(3)
    answers = {}
    users = []
    for wave in range(WAVES):
        for _ in range(PER_WAVE[wave]):
            users.append(asyncio.ensure_future(send(record, entries[0], len(users), answers)))
        if trouble and wave == CUT_WAVE:
            tasks.append(asyncio.ensure_future(cut(record, servers, links)))
        await asyncio.sleep(WAVE_S)
    await asyncio.gather(*users)
    await asyncio.sleep(1)
    ran = {attempt for server in servers for attempt in server.runs}
    false = [a for a, status in answers.items() if status in {429, 503} and a in ran]
    counts = {status: list(answers.values()).count(status) for status in sorted(set(answers.values()))}
    record.write('answers by status', counts, 'runs', len(ran))
    for attempt in false:
        record.write('REFUSED broken:', attempt, 'was answered', answers[attempt], 'and has run')
    for task in tasks:
        task.cancel()
    if counts.get(200, 0) < len(answers) / 4:
        raise s.Broken('hardly anything was served')
    return 1 if false else 0


s.main(__file__, run)
