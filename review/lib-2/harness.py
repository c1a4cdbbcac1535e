"""Stand-ins for the second review: the platform's store, servers, clients, and the start of real proxies on loopback addresses.

Written from the users' pages (PROTOCOL, DEPLOY, SYSTEM); Python 3's standard library only.
"""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "ficu95.example"


class CannotRun(Exception):
    """The case can't be run; exit code 2."""


USED_PORTS = set()


def free_port():
    """@return A free port below the range from which the system picks ports for connections; each is returned once."""
    for _ in range(1000):
        port = random.randrange(15000, 32000)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in USED_PORTS:
            USED_PORTS.add(port)
            return port
    raise CannotRun("no free port")


class Record:
    """The file record.txt of a case: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def write(self, line):
        text = f"{time.monotonic() - self.began:8.3f} {line}"
        self.file.write(text + "\n")
        self.file.flush()
        if os.environ.get("SHOW"):
            print(text, flush=True)


class Message:
    def __init__(self, first, fields, body=b""):
        self.first = first
        self.fields = fields
        self.body = body

    def get(self, name, default=None):
        for key, value in self.fields:
            if key.lower() == name.lower():
                return value
        return default

    def all(self, name):
        return [value for key, value in self.fields if key.lower() == name.lower()]


async def read_head(reader):
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data[:-4].decode("latin-1").split("\r\n")
    fields = []
    for line in lines[1:]:
        key, _, value = line.partition(":")
        fields.append((key.strip(), value.strip()))
    return Message(lines[0], fields)


async def read_body(reader, message, is_answer=False):
    if "chunked" in (message.get("Transfer-Encoding") or "").lower():
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size == 0:
                while (await reader.readuntil(b"\r\n")) != b"\r\n":
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    length = message.get("Content-Length")
    if length is not None:
        return await reader.readexactly(int(length))
    return await reader.read() if is_answer else b""


async def read_request(reader):
    message = await read_head(reader)
    message.body = await read_body(reader, message)
    return message


class HttpServer:
    """Accepts connections and passes each request to `serve(message, writer)`; that returns False to close the connection."""

    def __init__(self):
        self.server = None
        self.port = 0
        self.tasks = set()
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._connection, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _connection(self, reader, writer):
        self.tasks.add(asyncio.current_task())
        self.writers.add(writer)
        try:
            while await self.one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(asyncio.current_task())
            self.writers.discard(writer)
            writer.close()

    async def one(self, reader, writer):
        return await self.serve(await read_request(reader), writer)

    async def serve(self, message, writer):
        raise NotImplementedError

    async def stop(self):
        if self.server:
            self.server.close()
        for it in list(self.tasks):
            it.cancel()


class Store(HttpServer):
    """The platform's store: rows, transactions under conditions, a feed of changes."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.rows = {}      # (table, part, key) -> (value in base64, version)
        self.changes = []   # (version, table, part, key, value or None)
        self.version = 100
        self.began = time.monotonic()
        self.changed = None
        self.delay_s = 0.004

    def now_ms(self):
        return 50000 + int((time.monotonic() - self.began) * 1000)

    def _set(self, table, part, key, value):
        if value is None:
            self.rows.pop((table, part, key), None)
        else:
            self.rows[(table, part, key)] = (value, self.version)
        self.changes.append((self.version, table, part, key, value))

    def _notify(self):
        if self.changed:
            self.changed.set()
        self.changed = asyncio.Event()

    def put(self, table, key, value, part=""):
        """A write of the operator or a server. @return The version, which is its acknowledgement."""
        self.version += 1
        text = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._set(table, part, key, base64.b64encode(text).decode() if value is not None else None)
        self._notify()
        return self.version

    def drop(self, table, key, part=""):
        self.version += 1
        self._set(table, part, key, None)
        self._notify()

    def value(self, table, part, key):
        row = self.rows.get((table, part, key))
        return json.loads(base64.b64decode(row[0])) if row else None

    def row_json(self, table, part, key):
        value, version = self.rows[(table, part, key)]
        return {"table": table, "part": part, "key": key, "value": value, "ver": version}

    async def serve(self, message, writer):
        method, target, _ = message.first.split(" ", 2)
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if url.path == "/api/rows-feed":
            status, body = await self.feed(query)
        else:
            status, body = await self.act(method, url.path, query, message)
        if status is None:
            return False
        await self.answer(writer, status, body)
        return True

    async def act(self, method, path, query, message):
        await asyncio.sleep(self.delay_s)
        if path == "/api/rows-get":
            return self.read(query)
        if path == "/api/rows-parts":
            parts = sorted({p for (t, p, _) in self.rows if t == query["table"] and p > query.get("after", "")})
            return 200, {"parts": parts[:1000], "ver": self.version, "nowMs": self.now_ms()}
        if path == "/api/rows-tx" and method == "POST":
            return self.transact(json.loads(message.body))
        return 404, {"error": "no such call"}

    async def answer(self, writer, status, body):
        text = json.dumps(body).encode()
        writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (status, len(text)) + text)
        await writer.drain()

    def read(self, query):
        first, end = query.get("from", ""), query.get("to")
        keys = sorted(k for (t, p, k) in self.rows if t == query["table"] and p == query.get("part", "") and k >= first
                      and (end is None or k < end))
        limit = int(query.get("limit", 500))
        rows = [self.row_json(query["table"], query.get("part", ""), k) for k in keys[:limit]]
        return 200, {"rows": rows, "hasMore": len(keys) > limit, "ver": self.version, "nowMs": self.now_ms()}

    def transact(self, call):
        entries = call.get("expect", []), call.get("writes", []), call.get("remove", [])
        for it in entries[0]:
            row = self.rows.get((it["table"], it.get("part", ""), it["key"]))
            if (row[1] if row else 0) != it["ver"]:
                shown = [self.row_json(e["table"], e.get("part", ""), e["key"]) for e in entries[0]
                         if (e["table"], e.get("part", ""), e["key"]) in self.rows]
                return 412, {"rows": shown, "ver": self.version, "nowMs": self.now_ms()}
        if any(it["table"] in ("op", "servers") for it in entries[1] + entries[2]):
            return 403, {"error": "not the system's table"}
        self.version += 1
        for it in entries[1]:
            self._set(it["table"], it.get("part", ""), it["key"], it["value"])
        for it in entries[2]:
            self._set(it["table"], it.get("part", ""), it["key"], None)
        self._notify()
        return 200, {"ver": self.version, "nowMs": self.now_ms()}

    async def feed(self, query):
        after, until = int(query["after"]), time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            rows = []
            for version, table, part, key, value in self.changes:
                if version > after and table == query["table"]:
                    row = {"table": table, "part": part, "key": key, "ver": version}
                    row.update({"removed": True} if value is None else {"value": value})
                    rows.append(row)
            left = until - time.monotonic()
            if rows or left <= 0:
                await asyncio.sleep(self.delay_s)
                return 200, {"rows": rows, "ver": max([after] + [r["ver"] for r in rows]) if rows else self.version,
                             "nowMs": self.now_ms()}
            event = self.changed
            try:
                await asyncio.wait_for(event.wait(), left)
            except asyncio.TimeoutError:
                pass


class Server(HttpServer):
    """A server of a service. `work(server, message, writer)` answers a request; it returns False to close the connection."""

    def __init__(self, record, server_id, service, work, zone="bizkaia-a", slots=12):
        super().__init__()
        self.record, self.id, self.service, self.work, self.zone, self.slots = record, server_id, service, work, zone, slots
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.ran = []

    def entry(self, state="ready"):
        self.seq += 1
        return {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone, "version": "v1", "slots": self.slots,
                "state": state, "coldLeftMs": 0, "seq": self.seq, "born": self.born, "stage": "hybrid",
                "models": [{"name": "m", "version": 1, "adapters": []}]}

    async def serve(self, message, writer):
        expected = message.get("Expect-Instance")
        if expected is not None and expected != self.id:
            writer.write(plain(421, message.get("Request-Id"), b"", signed=False))
            return True
        return await self.work(self, message, writer)


def plain(status, request_id, body, signed=True, fields=()):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    if request_id is not None:
        lines.append(f"Request-Id: {request_id}")
    if signed:
        lines.append("Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1")
    lines += [f"{k}: {v}" for k, v in fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def stream_head(request_id):
    return (f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nRequest-Id: {request_id}\r\n"
            "Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nWeight-Versions: 1\r\n\r\n").encode()


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def event(number, text):
    return chunk(f"id: {number}\ndata: {text}\n\n".encode())


LAST_CHUNK = b"0\r\n\r\n"

BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
          "lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "maxSkewMs": 5000, "recoverS": 12, "passMs": 120, "againS": 0,
          "deadlineS": 10, "settleMs": 1000}


def render(template, fields):
    """Fills in a template of settings as DEPLOY tells: values, and sections that are rendered if there is a value."""

    def lookup(path):
        value = fields
        for it in path.split("."):
            if isinstance(value, list):
                value = value[int(it)] if int(it) < len(value) else None
            else:
                value = value.get(it) if isinstance(value, dict) else None
        return value

    def text(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)

    def section(match):
        value = lookup(match.group(1))
        return match.group(2) if value is not None and value is not False else ""

    template = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: text(lookup(m.group(1))), template)


def deploy_role():
    """@return Words of `run` and the path of the template, from the deploy file."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
        text = file.read()
    run = re.search(r'^run = "(.*)"', text, re.M).group(1).split()
    return run, re.search(r'^template = "(.*)"', text, re.M).group(1)


class Proxy:
    """A process of the system."""

    def __init__(self, name, store, folder, bounds=None, memory_mb=260):
        self.name, self.folder = name, folder
        self.front, self.ready, self.peer = free_port(), free_port(), free_port()
        run, template = deploy_role()
        self.path = os.path.join(folder, name + ".ini")
        fields = {"node": name, "role": "proxy", "machineClass": "edge", "serves": ["edge"], "ip": "127.0.0.1", "zone": "bizkaia-a",
                  "region": "bizkaia", "zones": {"bizkaia-a": "bizkaia"},
                  "listen": {"front": f"127.0.0.1:{self.front}", "ready": f"127.0.0.1:{self.ready}"},
                  "portRange": [self.peer, self.peer], "limits": {"cpuShare": 0.5, "cores": 1, "memoryMb": memory_mb, "maxFds": 8200},
                  "bounds": bounds or BOUNDS, "provider": {"address": f"127.0.0.1:{store.port}", "form": "table", "rowBytes": 65536}}
        with open(os.path.join(ROOT, template), encoding="utf-8") as file:
            text = render(file.read(), fields)
        # The port of the metrics is fixed in the template; several proxies share one loopback address here.
        text = re.sub(r"^metrics_listen = .*$", f"metrics_listen = 127.0.0.1:{free_port()}", text, flags=re.M)
        with open(self.path, "w", encoding="utf-8") as file:
            file.write(text)
        program = os.environ.get("PROGRAM", os.path.join(ROOT, run[0]))
        self.command = [program] + [self.path if it.startswith("/etc/") else it for it in run[1:]]
        self.process = None
        self.log = None

    async def start(self):
        if not os.access(self.command[0], os.X_OK):
            raise CannotRun("the program isn't built: " + os.path.relpath(self.command[0], ROOT))
        self.log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(*self.command, cwd=ROOT, stdout=self.log, stderr=self.log)

    async def wait_ready(self, timeout_s=15.0):
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if self.process.returncode is not None:
                raise CannotRun(f"{self.name} has ended with {self.process.returncode}")
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
                writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                head = await asyncio.wait_for(read_head(reader), 1)
                writer.close()
                if " 200" in head.first:
                    return
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} isn't ready after {timeout_s} s")

    def signal(self, number):
        if self.process and self.process.returncode is None:
            os.kill(self.process.pid, number)

    async def kill(self):
        if self.process and self.process.returncode is None:
            self.signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()

    def log_text(self):
        with open(os.path.join(self.folder, self.name + ".log"), encoding="utf-8", errors="replace") as file:
            return file.read()


def request_bytes(method, path, request_id, fields=(), body=b""):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Request-Id: {request_id}"]
    lines += [f"{k}: {v}" for k, v in fields]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Client:
    def __init__(self, port):
        self.port, self.reader, self.writer = port, None, None

    async def open(self, receive_buffer=None):
        sock = socket.socket()
        if receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", self.port))
        self.reader, self.writer = await asyncio.open_connection(sock=sock, limit=2 ** 20)

    async def ask(self, data, timeout_s=10.0):
        """@return The answer, or nothing if the connection ended before its end."""
        try:
            self.writer.write(data)
            await self.writer.drain()
            return await asyncio.wait_for(self._answer(), timeout_s)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.TimeoutError):
            return None

    async def _answer(self):
        message = await read_head(self.reader)
        message.status = int(message.first.split(" ")[1])
        message.body = await read_body(self.reader, message, is_answer=True)
        return message

    def close(self):
        if self.writer:
            self.writer.close()


def route(name, prefix, service, kind="idempotent", timeout_ms=3000, slo_ms=500, attempts=1, **others):
    it = {"name": name, "host": HOST, "prefix": prefix, "kind": kind, "timeoutMs": timeout_ms, "sloMs": slo_ms, "priority": 1,
          "service": service, "maxAttempts": attempts, "stateful": False, "sticky": False, "resumable": False}
    it.update(others)
    return it


def config(version, routes, services, **others):
    it = {"version": version, "routes": routes, "services": services,
          "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
    it.update(others)
    return it


def service(name, slots=6, engine=None):
    it = {"name": name, "healthPath": "/health", "maxConns": 160, "protocol": "h1", "tls": False}
    if engine:
        it["engine"] = engine
    return it


async def _heartbeats(store, servers):
    while True:
        await asyncio.sleep(1.2)
        for it in servers:
            if getattr(it, "is_listed", True):
                store.put("servers", it.id, it.entry())


class World:
    """Store, servers and proxies of one case; ends everything that it has started."""

    def __init__(self, record_path):
        self.record = Record(record_path)
        self.folder = tempfile.TemporaryDirectory()
        self.store = Store(self.record)
        self.servers, self.proxies, self.tasks = [], [], []

    async def start_store(self):
        self.store.changed = asyncio.Event()
        await self.store.start()

    async def add_server(self, server_id, service_name, work, **others):
        server = Server(self.record, server_id, service_name, work, **others)
        await server.start()
        self.servers.append(server)
        self.store.put("servers", server.id, server.entry())
        return server

    def begin_heartbeats(self):
        self.tasks.append(asyncio.ensure_future(_heartbeats(self.store, self.servers)))

    async def add_proxy(self, name, **others):
        proxy = Proxy(name, self.store, self.folder.name, **others)
        await proxy.start()
        self.proxies.append(proxy)
        return proxy

    async def end(self):
        for it in self.tasks:
            it.cancel()
        for it in self.proxies:
            await it.kill()
        for it in self.servers + [self.store]:
            await it.stop()
        if os.environ.get("KEEP_LOGS"):
            for it in self.proxies:
                sys.stderr.write(it.log_text())
        self.folder.cleanup()


def main(record_path, play, limit_s=110.0):
    """Runs `play(world)`, which returns a list of broken promises. Exit code: 1 if there are some, 0 if not, 2 if it couldn't run."""

    async def run():
        world = World(record_path)
        task = asyncio.ensure_future(asyncio.wait_for(play(world), limit_s))
        for it in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(it, task.cancel)
        try:
            return await task, world
        finally:
            await world.end()

    try:
        broken, world = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as ex:  # pylint: disable=broad-except
        # Only a broken rule may end the script with 1.
        print("could not run:", repr(ex))
        sys.exit(2)
    for it in broken:
        world.record.write("BROKEN " + it)
        print("BROKEN", it)
    world.record.write("the rule was broken" if broken else "the rule held")
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
