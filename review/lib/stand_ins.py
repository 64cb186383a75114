"""Stand-ins for the cases: the platform's store, servers, a cuttable link, clients, entry processes.

They use the standard library alone and follow PROTOCOL.md and DEPLOY.md. All addresses are loopback
addresses. One event loop runs everything but the entry processes.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = 'ficu95.example'
KEY = 'asnmgkcuyj8pjbvk9m68'
TENANT = 'hule930'
ZONE = 'nashua-a'
RESET = struct.pack('ii', 1, 0)
REASONS = {200: 'OK', 404: 'Not Found', 410: 'Gone', 421: 'Misdirected', 503: 'Unavailable'}


class Broken(Exception):
    """The case could not run as planned."""


class Record:
    """Lines of record.txt, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, 'w', encoding='utf-8')
        self.start = time.monotonic()

    def write(self, *words):
        line = '%9.3f  %s' % (time.monotonic() - self.start, ' '.join(map(str, words)))
        self.file.write(line + '\n')
        self.file.flush()


def free_ports(count):
    """Returns ports that no process uses now on any loopback address, below the ephemeral range."""
    found = []
    while len(found) < count:
        port = random.randint(20000, 32000)
        if port in found:
            continue
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind(('0.0.0.0', port))
        except OSError:
            continue
        found.append(port)
    return found


async def read_message(reader):
    """Reads a head and, if its length is stated, the body; None at the end of the connection."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(':')
        if colon:
            fields[name.strip().lower()] = value.strip()
    body = b''
    if 'content-length' in fields:
        try:
            body = await reader.readexactly(int(fields['content-length']))
        except (asyncio.IncompleteReadError, OSError):
            return None
    return lines[0], fields, body


def encode(status, fields=(), body=b''):
    lines = ['HTTP/1.1 %d %s' % (status, REASONS.get(status, 'Status'))]
    lines += ['%s: %s' % field for field in fields]
    lines += ['Content-Length: %d' % len(body), '', '']
    return '\r\n'.join(lines).encode() + body


class Store:
    """The platform's metadata store: rows, conditions and feeds, as far as the case needs them."""

    def __init__(self):
        self.version = 1
        self.tables = {}
        self.changes = []
        self.changed = asyncio.Event()
        self.started = time.monotonic()
        self.address = ''

    async def start(self):
        server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        self.address = '127.0.0.1:%d' % server.sockets[0].getsockname()[1]

    def put(self, table, key, value):
        self.version += 1
        raw = base64.b64encode(json.dumps(value).encode()).decode()
        self.apply(table, key, {'value': raw})

    def remove(self, table, key):
        self.version += 1
        self.apply(table, key, {'removed': True})

    def apply(self, table, key, content):
        row = {'table': table, 'part': '', 'key': key, 'ver': self.version, **content}
        rows = self.tables.setdefault(table, {})
        rows.pop(key, None)
        if 'removed' not in content:
            rows[key] = row
        self.changes.append(row)
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                answer = await self.answer(message)
                await asyncio.sleep(0.004)
                writer.write(answer)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    async def answer(self, message):
        line, _, body = message
        method, target, _ = line.split(' ')
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if method == 'POST':
            return self.reply(200, self.transact(json.loads(body)))
        if parts.path == '/api/rows-get':
            rows = [
                row
                for key, row in sorted(self.tables.get(query['table'], {}).items())
                if key >= query.get('from', '')
            ]
            return self.reply(200, {'rows': rows, 'more_pages': False})
        if parts.path == '/api/rows-feed':
            return self.reply(200, {'rows': await self.wait(query)})
        return encode(404)

    def transact(self, change):
        self.version += 1
        for row in change.get('writes', ()):
            self.apply(row['table'], row['key'], {'value': row['value']})
        for row in change.get('remove', ()):
            self.apply(row['table'], row['key'], {'removed': True})
        return {}

    async def wait(self, query):
        until = time.monotonic() + int(query.get('wait_ms', 0)) / 1000
        while True:
            after = int(query['after'])
            rows = [r for r in self.changes if r['table'] == query['table'] and r['ver'] > after]
            left = until - time.monotonic()
            if rows or left <= 0:
                return rows
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def reply(self, status, content):
        content |= {'ver': self.version, 'now_ms': int((time.monotonic() - self.started) * 1000)}
        body = json.dumps(content).encode()
        return encode(status, [('Content-Type', 'application/json')], body)


class Link:
    """A path to one server. While it is cut, nothing passes and no connection is established."""

    def __init__(self, target):
        self.target = target
        self.sockets = set()
        self.open = asyncio.Event()
        self.open.set()
        self.fillers = []
        self.listener = socket.socket()
        self.listener.bind(('127.0.0.1', 0))
        self.listener.listen(128)
        self.listener.setblocking(False)
        self.address = '127.0.0.1:%d' % self.listener.getsockname()[1]
        self.tasks = set()

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def start(self):
        """Begins to accept connections."""
        asyncio.get_running_loop().add_reader(self.listener, self.accept)

    def accept(self):
        try:
            near, _ = self.listener.accept()
        except OSError:
            return
        self.spawn(self.relay(near))

    def cut(self):
        """Cuts the path silently. The queue of new connections is filled, so that more hang."""
        self.open.clear()
        asyncio.get_running_loop().remove_reader(self.listener)
        self.listener.listen(0)
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            try:
                filler.connect(self.listener.getsockname())
            except BlockingIOError:
                pass
            self.fillers.append(filler)

    def reset(self):
        """Ends the connections that are open, as the sender's own time limit for TCP does."""
        for sock in list(self.sockets):
            try:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                sock.close()
            except OSError:
                pass
        self.sockets.clear()

    def heal(self):
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        self.listener.listen(128)
        self.open.set()
        self.start()

    async def relay(self, near):
        loop = asyncio.get_running_loop()
        far = socket.socket()
        for sock in (near, far):
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sockets.add(near)
        try:
            await loop.sock_connect(far, self.target)
            back = asyncio.ensure_future(self.copy(far, near))
            await self.copy(near, far)
            await back
        except OSError:
            pass
        finally:
            self.sockets.discard(near)
            near.close()
            far.close()

    async def copy(self, source, sink):
        loop = asyncio.get_running_loop()
        try:
            while True:
                content = await loop.sock_recv(source, 65536)
                await self.open.wait()
                if not content:
                    sink.shutdown(socket.SHUT_WR)
                    return
                await loop.sock_sendall(sink, content)
        except (OSError, ValueError):
            for sock in (source, sink):
                try:
                    sock.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass


class ModelServer:
    """A model server: reads prompts one after another, then streams events.

    A request runs from its first token on. `runs` holds the ids of those that have run.
    """

    def __init__(self, record, name, tokens_per_s, events=5, gap_s=0.06):
        self.record = record
        self.name = name
        self.tokens_per_s = tokens_per_s
        self.events = events
        self.gap_s = gap_s
        self.free_at = 0.0
        self.runs = []
        self.pending = set()
        self.target = None

    async def start(self):
        server = await asyncio.start_server(self.serve, '127.0.0.1', 0, backlog=256)
        self.target = server.sockets[0].getsockname()

    async def serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                await self.answer(message, writer)
        except (OSError, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer(self, message, writer):
        _, fields, _ = message
        attempt = fields.get('x-attempt-id', '')
        if fields.get('x-expect-instance', self.name) != self.name:
            writer.write(encode(421, [('X-Instance-Id', self.name)]))
            return
        self.record.write('server', self.name, 'received', attempt)
        self.pending.add(attempt)
        tokens = int(fields.get('x-token-usage', '0').split(',')[0])
        now = time.monotonic()
        self.free_at = max(self.free_at, now) + tokens / self.tokens_per_s
        await asyncio.sleep(self.free_at - now)
        self.pending.discard(attempt)
        if writer.is_closing():
            self.record.write('server', self.name, 'drops', attempt)
            return
        self.runs.append(attempt)
        self.record.write('server', self.name, 'runs', attempt)
        head = (
            'HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Signature: %s.%s\r\n'
            'Keep-Alive: timeout=15\r\n'
            'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n'
        )
        writer.write((head % (attempt, self.name, attempt)).encode())
        for number in range(self.events):
            event = b'id: %d\ndata: %d\n\n' % (number, number)
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.gap_s)
        writer.write(b'0\r\n\r\n')
        await writer.drain()

    def row(self, service, address, sequence):
        return {
            'service': service,
            'address': address,
            'zone': ZONE,
            'version': 'v1',
            'batch_slots': 64,
            'state': 'ready',
            'warmup_left_ms': 0,
            'stage': 'prefill_decode',
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
            'sequence': sequence,
            'born': 1700000000000,
        }


class PlainServer:
    """A server of a plain service: `slots` requests at once, each works for `work_s`."""

    def __init__(self, record, name, work_s=0.045, slots=6, zone=ZONE):
        self.record = record
        self.name = name
        self.work_s = work_s
        self.slots = slots
        self.zone = zone
        self.free = asyncio.Semaphore(slots)
        self.runs = []
        self.address = ''

    async def start(self):
        server = await asyncio.start_server(self.serve, '127.0.0.1', 0, backlog=256, limit=2**20)
        self.address = '127.0.0.1:%d' % server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                await self.answer(message, writer)
                await writer.drain()
        except (OSError, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer(self, message, writer):
        _, fields, body = message
        attempt = fields.get('x-attempt-id', '')
        if fields.get('x-expect-instance', self.name) != self.name:
            writer.write(encode(421, [('X-Instance-Id', self.name)]))
            return
        async with self.free:
            self.runs.append(attempt)
            self.record.write('server', self.name, 'runs', attempt, 'body', len(body))
            await asyncio.sleep(self.work_s)
        content = ('%s ran %s' % (self.name, attempt)).encode().ljust(800, b'.')
        signature = '%s.%s' % (self.name, attempt)
        writer.write(
            encode(200, [('X-Attempt-Id', attempt), ('X-Server-Signature', signature)], content)
        )

    def row(self, service, sequence, state='ready'):
        return {
            'service': service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'batch_slots': self.slots,
            'state': state,
            'warmup_left_ms': 0,
            'sequence': sequence,
            'born': 1700000000000,
        }


class Entry:
    """One entry process, started with the command of the deploy file."""

    def __init__(self, folder, name, host, ports, store, seeds):
        self.name = name
        self.caller = (host, ports[0])
        self.readiness = (host, ports[1])
        self.path = Path(folder) / (name + '.ini')
        self.log = Path(folder) / (name + '.log')
        self.process = None
        lines = [
            '[entry]',
            'name = %s' % name,
            'failure_domain = %s' % ZONE,
            'caller_address = %s:%d' % self.caller,
            'readiness_address = %s:%d' % self.readiness,
            'peer_host = %s' % host,
            'peer_port = %d' % ports[2],
            'seeds = %s' % seeds,
            'metrics_address = %s:%d' % (host, ports[3]),
            'store_address = %s' % store,
            'shutdown_timeout_seconds = 8',
            'maximum_descriptors = 4100',
            'maximum_memory_megabytes = 150',
            'retry_ratio = 0.2',
            'retry_window_seconds = 10',
            'retry_constant = 54',
            'share_window_seconds = 4',
            'regions = %s=new-england' % ZONE,
        ]
        self.path.write_text('\n'.join(lines) + '\n')

    def start(self):
        env = {name: os.environ[name] for name in ('PATH', 'HOME', 'LANG') if name in os.environ}
        env |= {
            'FIREFLYMUX_CONFIG': str(self.path),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
        }
        with open(self.log, 'ab') as log:
            self.process = subprocess.Popen(
                ['python3', 'deploy/main.py', 'entry'],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(*self.readiness)
        except OSError:
            return False
        try:
            writer.write(b'GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n')
            message = await asyncio.wait_for(read_message(reader), 1)
            return message is not None and ' 200 ' in message[0]
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            writer.close()

    async def wait_ready(self, seconds=20):
        until = time.monotonic() + seconds
        while not await self.is_ready():
            if self.process.poll() is not None or time.monotonic() > until:
                raise Broken('%s is not ready: %s' % (self.name, self.log.read_text()[-800:]))
            await asyncio.sleep(0.1)

    def resident_bytes(self):
        """Returns the memory of the process; zero if it has ended."""
        try:
            pages = int(Path('/proc/%d/statm' % self.process.pid).read_text().split()[1])
        except (OSError, IndexError):
            return 0
        return pages * os.sysconf('SC_PAGE_SIZE')

    def end(self):
        if self.process is None:
            return
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()


class Answer:
    """What a client got: status 0 if the connection ended before a head came."""

    def __init__(self, status=0, fields=None, is_whole=False, body=b''):
        self.status = status
        self.fields = fields or {}
        self.is_whole = is_whole
        self.body = body
        self.error = ''


async def request(address, method, path, fields, body, timeout_s):
    """Sends one request on a new connection and reads the answer, until the client's deadline."""
    answer = Answer()

    async def exchange():
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), 1)
        try:
            lines = ['%s %s HTTP/1.1' % (method, path), 'Host: %s' % HOST]
            lines += ['%s: %s' % field for field in fields]
            lines += ['Content-Length: %d' % len(body), '', '']
            writer.write('\r\n'.join(lines).encode() + body)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return
            line, answer.fields, answer.body = message
            answer.status = int(line.split(' ')[1])
            if 'chunked' not in answer.fields.get('transfer-encoding', ''):
                answer.is_whole = True
                return
            while size := int((await reader.readuntil(b'\r\n')).strip(), 16):
                answer.body += (await reader.readexactly(size + 2))[:-2]
            await reader.readexactly(2)
            answer.is_whole = True
        finally:
            writer.close()

    try:
        await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        pass
    return answer


class KeptConnection:
    """A client's connection that it keeps open; it is opened when it is needed."""

    def __init__(self, address):
        self.address = address
        self.streams = None
        self.used = 0

    async def exchange(self, method, path, fields, body, timeout_s, on_event=None):
        """Sends one request and reads its answer, until the client's deadline."""
        answer = Answer()
        try:
            await asyncio.wait_for(
                self._exchange(answer, method, path, fields, body, on_event), timeout_s
            )
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            answer.error = repr(error)
        if not answer.is_whole or answer.fields.get('connection', '') == 'close':
            self.close()
        return answer

    async def _exchange(self, answer, method, path, fields, body, on_event):
        if self.streams is None:
            self.used = 0
            self.streams = await asyncio.wait_for(asyncio.open_connection(*self.address), 1)
        reader, writer = self.streams
        self.used += 1
        lines = ['%s %s HTTP/1.1' % (method, path), 'Host: %s' % HOST]
        lines += ['%s: %s' % field for field in fields]
        lines += ['Content-Length: %d' % len(body), '', '']
        writer.write('\r\n'.join(lines).encode())
        for start in range(0, len(body), 65536):
            writer.write(body[start : start + 65536])
            await writer.drain()
        message = await read_message(reader)
        if message is None:
            return
        line, answer.fields, answer.body = message
        answer.status = int(line.split(' ')[1])
        if 'chunked' not in answer.fields.get('transfer-encoding', ''):
            answer.is_whole = True
            return
        while size := int((await reader.readuntil(b'\r\n')).strip(), 16):
            answer.body += (await reader.readexactly(size + 2))[:-2]
            if on_event is not None:
                on_event()
        await reader.readexactly(2)
        answer.is_whole = True

    def close(self):
        if self.streams is not None:
            self.streams[1].close()
            self.streams = None


def attempt_id():
    return '%016x' % random.getrandbits(64)


def route(name, prefix, kind, service, **changes):
    return {
        'name': name,
        'host': HOST,
        'prefix': prefix,
        'type': kind,
        'timeout_ms': 5000,
        'target_latency_ms': 500,
        'priority': 1,
        'service': service,
        'max_attempts': 1,
        'public': False,
    } | changes


def model_service(name):
    engine = {
        'batch_slots': 64,
        'kv_capacity': 393965,
        'kv_token_bytes': 18432,
        'link_mbps': 550000.0,
        'models': [{'name': 'm'}],
    }
    return {
        'name': name,
        'health_path': '/healthz',
        'max_connections': 360,
        'protocol': 'h1',
        'tls_enabled': False,
        'engine': engine,
    }


def plain_service(name):
    return {
        'name': name,
        'health_path': '/healthz',
        'max_connections': 100,
        'protocol': 'h1',
        'tls_enabled': False,
    }


def configuration(version, routes, services, tokens_per_s=295000, **limits):
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
            'tokens_per_s': tokens_per_s,
        }
        | limits,
        'tenants': [{'name': TENANT, 'api_keys': [KEY], 'priority': 1}],
    }


def main(case, run):
    """Runs `run(folder, record, trouble)` and exits with 0 if the rule held, 1 if it was broken.

    Any failure to run the case as planned ends with 2. All entry processes are ended.
    """
    trouble = os.environ.get('TROUBLE', '1') != '0'
    # Connections that are left at the end complain that the loop has ended.
    sys.unraisablehook = lambda _: None
    record = Record(Path(case).resolve().parent / 'record.txt')
    folder = tempfile.mkdtemp(prefix='review-')
    code = 2
    entries = []
    try:
        code = asyncio.run(asyncio.wait_for(run(folder, record, trouble, entries), 110))
    except Exception as error:
        record.write('could not run:', repr(error))
    finally:
        for entry in entries:
            entry.end()
            if os.environ.get('KEEP'):
                record.write('log', entry.name, entry.log)
        if not os.environ.get('KEEP'):
            shutil.rmtree(folder, ignore_errors=True)
    record.write('exit', code)
    sys.exit(code)
