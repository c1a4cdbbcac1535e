"""Stand-ins for the review's scripts: the platform's store, workers, clients, and the start of the project's proxies.

Everything runs on loopback addresses and free ports. The stand-ins speak what PROTOCOL.md of the users' pages says, as far as the cases
need it. Python 3 and its standard library only.
"""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
HOST = "front.example"
GRACE_S = 8.0


def now():
    return time.monotonic()


class Record:
    """Writes a case's record.txt: one line for each thing that a client, a worker or the platform has seen."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = now()

    def line(self, who, text):
        self.file.write(f"{now() - self.began:8.3f} {who}: {text}\n")
        self.file.flush()

    def close(self):
        self.file.close()


# ---- HTTP -----------------------------------------------------------------------------------------------------------------------------


class Broken(Exception):
    """A connection ended or was reset before a message was complete."""


async def read_head(reader):
    """Returns (first line, [(name, value)]) or None at the end of the connection before the first byte."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as ec:
        if not ec.partial:
            return None
        raise Broken("connection ended inside a head") from ec
    except (ConnectionError, OSError) as ec:
        raise Broken(f"reset: {ec!r}") from ec
    lines = head.decode("latin-1").split("\r\n")
    fields = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields.append((name.strip().lower(), value.strip()))
    return lines[0], fields


def field(fields, name):
    for key, value in fields:
        if key == name:
            return value
    return None


async def read_body(reader, fields, on_piece=None):
    """Reads a body that has a length or comes in chunks. Raises Broken if it ends early."""
    body = b""
    try:
        if (field(fields, "transfer-encoding") or "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                if size == 0:
                    while (await reader.readuntil(b"\r\n")) != b"\r\n":
                        pass
                    return body
                piece = await reader.readexactly(size)
                await reader.readexactly(2)
                body += piece
                if on_piece:
                    on_piece(piece)
        length = int(field(fields, "content-length") or 0)
        body = await reader.readexactly(length)
        if on_piece and body:
            on_piece(body)
        return body
    except asyncio.IncompleteReadError as ec:
        raise Broken("connection ended inside a body") from ec
    except (ConnectionError, OSError) as ec:
        raise Broken(f"reset: {ec!r}") from ec


def reset(writer):
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
        except OSError:
            pass
    writer.transport.abort()


# ---- store ----------------------------------------------------------------------------------------------------------------------------


class Store:
    """The platform's metadata store: rows with versions, transactions under conditions, a feed of changes."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.version = 100
        self.history = []
        self.changed = asyncio.Event()
        self.server = None
        self.address = None
        self.delay_s = 0.004
        self.calls = 0
        self.drop_writes = 0.0   # Share of writes that are done and not answered.
        self.late_writes = 0.0   # Share of writes that are done 1 to 6 s later, if their condition still holds, and not answered.
        self.away = None         # None, "busy" (503), "many" (429), "silent" or "reset".
        self.forgets = False     # The feed has lost its history.
        self.random = random.Random(1)

    async def start(self, ip="127.0.0.1"):
        self.server = await asyncio.start_server(self._serve, ip, 0, limit=1 << 22)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def put(self, table, part, key, value):
        """Writes a row as the operator or a worker does. Returns its version."""
        return self.put_raw(table, part, key, base64.b64encode(value.encode()).decode())

    def put_raw(self, table, part, key, text):
        """Writes a row whose value is this text as it stands."""
        self.version += 1
        row = {"table": table, "part": part, "key": key, "value": text, "ver": self.version}
        self.rows[(table, part, key)] = row
        self._note(row)
        return self.version

    def remove(self, table, part, key):
        if self.rows.pop((table, part, key), None) is not None:
            self.version += 1
            self._note({"table": table, "part": part, "key": key, "ver": self.version, "removed": True})

    def _note(self, row):
        self.history.append(row)
        self.changed.set()
        self.changed = asyncio.Event()

    def _now_ms(self):
        return int(now() * 1000)

    def _get(self, query):
        table, part = query["table"], query.get("part", "")
        begin, end = query.get("from", ""), query.get("to")
        limit = min(int(query.get("limit", 500)), 500)
        keys = sorted(k for (t, p, k) in self.rows if t == table and p == part and k >= begin and (end is None or k < end))
        rows = [self.rows[(table, part, k)] for k in keys[:limit]]
        return 200, {"rows": rows, "hasMore": len(keys) > limit, "ver": self.version, "nowMs": self._now_ms()}

    def _transaction(self, body):
        for it in body.get("expect", []):
            row = self.rows.get((it["table"], it["part"], it["key"]))
            if (row["ver"] if row else 0) != it["ver"]:
                rows = [self.rows.get((e["table"], e["part"], e["key"])) for e in body["expect"]]
                return 412, {"rows": [r for r in rows if r], "ver": self.version, "nowMs": self._now_ms()}
        if any(it["table"] in ("op", "servers") for it in body.get("writes", []) + body.get("remove", [])):
            return 403, {}
        self.version += 1
        for it in body.get("writes", []):
            row = {"table": it["table"], "part": it["part"], "key": it["key"], "value": it["value"], "ver": self.version}
            self.rows[(it["table"], it["part"], it["key"])] = row
            self._note(row)
        for it in body.get("remove", []):
            if self.rows.pop((it["table"], it["part"], it["key"]), None) is not None:
                self._note({"table": it["table"], "part": it["part"], "key": it["key"], "ver": self.version, "removed": True})
        return 200, {"ver": self.version, "nowMs": self._now_ms()}

    async def _feed(self, query):
        after, wait = int(query["after"]), min(int(query.get("waitMs", 0)), 30000) / 1000.0
        deadline = now() + wait
        while True:
            changed = self.changed
            rows = [r for r in self.history if r["table"] == query["table"] and r["ver"] > after]
            left = deadline - now()
            if rows or left <= 0:
                return 200, {"rows": rows[:500], "ver": self.version, "nowMs": self._now_ms()}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                method, target, _ = head[0].split(" ")
                body = await read_body(reader, head[1])
                self.calls += 1
                path, _, text = target.partition("?")
                query = dict(urllib.parse.parse_qsl(text, keep_blank_values=True))
                if self.away == "silent":
                    await asyncio.sleep(3600)
                if self.away == "reset":
                    reset(writer)
                    return
                await asyncio.sleep(self.delay_s)
                if self.away in ("busy", "many"):
                    status, answer = (503 if self.away == "busy" else 429), {}
                elif path == "/api/rows-feed" and self.forgets:
                    status, answer = 410, {}
                elif path == "/api/rows-tx" and self.random.random() < self.late_writes:
                    await asyncio.sleep(self.random.uniform(1, 6))
                    self._transaction(json.loads(body))
                    await asyncio.sleep(3600)
                elif path == "/api/rows-get":
                    status, answer = self._get(query)
                elif path == "/api/rows-feed":
                    status, answer = await self._feed(query)
                elif path == "/api/rows-tx" and method == "POST":
                    status, answer = self._transaction(json.loads(body))
                    if status == 200 and self.random.random() < self.drop_writes:
                        await asyncio.sleep(3600)
                else:
                    status, answer = 404, {}
                text = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (status, len(text)) + text)
                await writer.drain()
        except (Broken, ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


# ---- links ----------------------------------------------------------------------------------------------------------------------------


class Link:
    """A loopback proxy of the review's own between two programs: passes bytes on, late, one way only, or not at all."""

    def __init__(self, target):
        self.target = target
        self.server = None
        self.address = None
        self.delay_s = 0.0
        self.silent = set()      # Directions that are held back: "there", "back".
        self.pairs = set()

    async def start(self, ip="127.0.0.1"):
        self.server = await asyncio.start_server(self._serve, ip, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def reset_all(self):
        for a, b in list(self.pairs):
            reset(a)
            reset(b)

    async def _pass_on(self, reader, writer, way):
        try:
            while True:
                data = await reader.read(65536)
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                while way in self.silent:
                    await asyncio.sleep(0.02)
                if not data:
                    writer.close()
                    return
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            reset(writer)

    async def _serve(self, reader, writer):
        host, port = self.target.split(":")
        try:
            other_reader, other = await asyncio.open_connection(host, int(port))
        except OSError:
            reset(writer)
            return
        pair = (writer, other)
        self.pairs.add(pair)
        await asyncio.gather(self._pass_on(reader, other, "there"), self._pass_on(other_reader, writer, "back"))
        self.pairs.discard(pair)


# ---- workers --------------------------------------------------------------------------------------------------------------------------


class Worker:
    """A sound worker. `work(request)` decides how a request is served; see Deployment for the usual ways."""

    def __init__(self, deployment, name, service, work, zone="zone-a", slots=24, is_model=False):
        self.deployment = deployment
        self.id = "i-" + name
        self.service = service
        self.work = work
        self.zone = zone
        self.slots = slots
        self.is_model = is_model
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.running = 0
        self.writers = set()
        self.server = None
        self.address = None

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 23)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def entry(self, state="ready"):
        """What the worker says of itself in the list, with all fields that the pages name."""
        self.seq += 1
        entry = {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": self.slots, "state": state,
                 "coldLeftMs": 0, "seq": self.seq, "born": self.born}
        if self.is_model:
            entry.update({"stage": "hybrid", "models": [{"name": "m", "version": 1, "adapters": []}]})
        return json.dumps(entry)

    def register(self, state="ready"):
        self.deployment.store.put("servers", "", self.id, self.entry(state))

    async def crash(self):
        """Ends as a killed process does: the port closes, open connections are reset."""
        self.server.close()
        for it in list(self.writers):
            reset(it)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                method, target, _ = head[0].split(" ")
                body = await read_body(reader, head[1])
                request = Request(method, target, head[1], body, self, reader, writer)
                expected = request.field("expect-instance")
                if expected is not None and expected != self.id:
                    writer.write(f"HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {request.id}\r\nInstance-Id: {self.id}\r\n"
                                 "Content-Length: 0\r\n\r\n".encode())
                    continue
                self.running += 1
                self.deployment.note_run(request)
                try:
                    await self.work(request)
                finally:
                    self.running -= 1
        except (Broken, ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Request:
    """A request at a worker."""

    def __init__(self, method, target, fields, body, worker, reader, writer):
        self.method, self.target, self.fields, self.body = method, target, fields, body
        self.worker, self.reader, self.writer = worker, reader, writer
        self.id = field(fields, "request-id") or ""

    def field(self, name):
        return field(self.fields, name)

    def head(self, status=200, extra=""):
        return (f"HTTP/1.1 {status} X\r\nRequest-Id: {self.id}\r\nResponse-Signature: s.{self.worker.id}\r\n"
                f"Server-Load: {self.worker.running},0,{self.worker.slots}\r\nKeep-Alive: timeout=30\r\n{extra}").encode()


def answer_after(seconds, body=b"x" * 800):
    """A plain service that works for a time. Like most workers it drops a request when its connection closes."""
    async def work(request):
        closing = asyncio.ensure_future(request.reader.read(1))
        done, _ = await asyncio.wait({closing}, timeout=seconds)
        if done:
            raise ConnectionError("the caller has closed the connection")
        closing.cancel()
        await asyncio.gather(closing, return_exceptions=True)
        request.writer.write(request.head(extra=f"Content-Length: {len(body)}\r\n") + b"\r\n" + body)
        await request.writer.drain()
    return work


def stream_of(events, gap_s):
    """A model worker: a stream of events. Both may be functions of the request."""
    async def work(request):
        count = events(request) if callable(events) else events
        gap = gap_s(request) if callable(gap_s) else gap_s
        first = int(request.field("last-event-id") or 0) + 1
        request.writer.write(request.head(extra="Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n") + b"\r\n")
        for n in range(first, count + 1):
            await asyncio.sleep(gap)
            event = f"id: {n}\ndata: {request.id} {n} of {count}\n\n".encode()
            request.writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
            await request.writer.drain()
            request.worker.deployment.record.line(request.worker.id, f"event {n} of {request.id}") if n in (first, count) else None
        request.writer.write(b"0\r\n\r\n")
        await request.writer.drain()
        request.worker.deployment.record.line(request.worker.id, f"end {request.id}")
    return work


# ---- clients --------------------------------------------------------------------------------------------------------------------------


class Answer:
    """What a client has seen of one attempt."""

    def __init__(self, request_id):
        self.id = request_id
        self.status = 0
        self.fields = []
        self.body = b""
        self.complete = False
        self.error = ""
        self.sent_at = now()
        self.ended_at = None
        self.events = 0

    @property
    def signed(self):
        return field(self.fields, "response-signature") is not None

    def text(self):
        state = "complete" if self.complete else f"NOT complete ({self.error})"
        return f"status={self.status} events={self.events} {state} after {self.ended_at - self.sent_at:.3f} s"


class Connection:
    """A client's connection to an entry; carries one request at a time."""

    def __init__(self, deployment, address, name="client"):
        self.deployment, self.address, self.name = deployment, address, name
        self.reader = self.writer = None

    @property
    def is_open(self):
        return self.writer is not None and not self.reader.at_eof() and not self.writer.transport.is_closing()

    async def open(self):
        host, port = self.address.split(":")
        self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection(host, int(port), limit=1 << 23), 1.0)

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.writer = None

    async def ask(self, method, path, fields=(), body=b"", timeout=30.0, request_id=None):
        """Sends a request and reads its answer until it is complete or the connection ends."""
        answer = Answer(request_id or f"{random.getrandbits(64):016x}")
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Request-Id: {answer.id}"]
        lines += [f"{k}: {v}" for k, v in fields]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        try:
            if not self.is_open:
                await self.open()
            self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            answer.sent_at = now()
            self.deployment.record.line(self.name, f"sends {method} {path} {answer.id} to {self.address}")
            await asyncio.wait_for(self._read(answer), timeout)
        except asyncio.TimeoutError:
            answer.error = "no end in time"
            self.close()
        except (Broken, ConnectionError, OSError) as ec:
            answer.error = str(ec) or repr(ec)
            self.close()
        answer.ended_at = now()
        self.deployment.record.line(self.name, f"got {answer.id} {answer.text()}")
        if (field(answer.fields, "connection") or "").lower() == "close":
            self.close()
        return answer

    async def _read(self, answer):
        head = await read_head(self.reader)
        if head is None:
            raise Broken("connection closed without an answer")
        answer.status = int(head[0].split(" ")[1])
        answer.fields = head[1]

        def on_piece(piece):
            answer.body += piece
            answer.events = answer.body.count(b"id: ") if b"id: " in answer.body else 0
        await read_body(self.reader, head[1], on_piece)
        answer.complete = True


# ---- deployment -----------------------------------------------------------------------------------------------------------------------


def fill_template(text, values):
    """Fills in a template as DEPLOY.md describes: values and sections."""
    def look_up(name):
        value = values
        for word in name.split("."):
            if isinstance(value, list):
                value = value[int(word)] if word.isdigit() and int(word) < len(value) else None
            else:
                value = value.get(word) if isinstance(value, dict) else None
        return value

    def section(match):
        present = look_up(match.group(2)) not in (None, False, "")
        return match.group(3) if present == (match.group(1) == "#") else ""

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, text, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(look_up(m.group(1)) if look_up(m.group(1)) is not None else ""), text)


def free_ports(ip, count):
    """Returns different ports that are free; all are held until the last one is found, so that none comes twice."""
    sockets = []
    try:
        for _ in range(count):
            sock = socket.socket()
            sockets.append(sock)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind((ip, 0))
        return [it.getsockname()[1] for it in sockets]
    finally:
        for it in sockets:
            it.close()


def free_ip():
    """A loopback address on which the metrics port of the template is free."""
    while True:
        ip = f"127.{random.randint(10, 250)}.{random.randint(0, 250)}.{random.randint(2, 250)}"
        with socket.socket() as sock:
            try:
                sock.bind((ip, 9464))
                return ip
            except OSError:
                continue


class Entry:
    """One of the project's processes, started as the deploy file says."""

    def __init__(self, deployment, name, zone):
        self.deployment, self.name, self.zone = deployment, name, zone
        self.ip = free_ip()
        front, ready, self.peer_port = free_ports(self.ip, 3)
        self.front = f"{self.ip}:{front}"
        self.ready = f"{self.ip}:{ready}"
        self.process = None
        self.store_address = None   # Another address by which it reaches the store.
        self.log = os.path.join(deployment.folder, name + ".log")
        self.settings = os.path.join(deployment.folder, name + ".json")

    def start(self):
        deploy = open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8").read()
        run = re.search(r'^run = "(.*)"', deploy, re.M).group(1)
        template = re.search(r'^template = "(.*)"', deploy, re.M).group(1)
        values = {"node": self.name, "zone": self.zone, "region": "region", "ip": self.ip,
                  "listen": {"front": self.front, "ready": self.ready}, "portRange": [self.peer_port, self.peer_port + 15],
                  "limits": {"maxFds": 8200, "memoryMb": 120},
                  "provider": {"address": self.store_address or self.deployment.store.address, "rowBytes": 65536}}
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(fill_template(open(os.path.join(ROOT, template), encoding="utf-8").read(), values))
        words = run.replace("/etc/vanillahall/local.json", self.settings).split(" ")
        env = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"), "VANILLAHALL_BOOT": self.settings}
        log = open(self.log, "ab")
        self.process = subprocess.Popen(words, cwd=ROOT, env=env, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()
        self.deployment.record.line("platform", f"starts {self.name}")

    def send(self, number):
        self.deployment.record.line("platform", f"sends {signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    @property
    def is_running(self):
        return self.process is not None and self.process.poll() is None

    async def is_ready(self):
        try:
            host, port = self.ready.split(":")
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 0.5)
            writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 0.5)
            writer.close()
            return head is not None and " 200 " in head[0]
        except (OSError, Broken, asyncio.TimeoutError):
            return False

    async def wait_ready(self, seconds=15.0):
        end = now() + seconds
        while now() < end:
            if not self.is_running:
                with open(self.log, encoding="utf-8", errors="replace") as log:
                    raise CannotRun(f"{self.name} has ended with {self.process.returncode}: {log.read()[-300:]}")
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} isn't ready")

    async def stop(self, restart_after_s=None):
        """A planned stop: SIGTERM, SIGKILL after the grace period, and a new start if asked."""
        self.send(signal.SIGTERM)
        end = now() + GRACE_S
        while self.is_running and now() < end:
            await asyncio.sleep(0.01)
        if self.is_running:
            self.send(signal.SIGKILL)
        self.process.wait()
        self.deployment.record.line("platform", f"{self.name} has ended with {self.process.returncode}")
        if restart_after_s is not None:
            await asyncio.sleep(restart_after_s)
            self.start()
            await self.wait_ready()


class Balancer:
    """The platform before the entries: asks each one every second, and gives new connections to those that are in rotation."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.misses = {it.name: 0 for it in deployment.entries}
        self.task = asyncio.create_task(self._look())

    async def _look(self):
        while True:
            for it in self.deployment.entries:
                is_ready = it.is_running and await it.is_ready()
                before = self.misses[it.name]
                self.misses[it.name] = 0 if is_ready else before + 1
                if self.misses[it.name] == 2 or (is_ready and before >= 2):
                    self.deployment.record.line("platform", f"{it.name} is {'in' if is_ready else 'out of'} rotation")
            await asyncio.sleep(1.0)

    def pick(self, n):
        """Returns the entry for a new connection of a client whose hash is n."""
        entries = self.deployment.entries
        up = [it for it in entries if self.misses[it.name] < 2]
        if 2 * len(up) < len(entries):
            up = entries
        chosen = entries[n % len(entries)]
        return chosen if chosen in up else up[n % len(up)]


class CannotRun(Exception):
    """The case couldn't be played."""


class Deployment:
    """A store, workers and entries."""

    def __init__(self, record, trouble=True):
        self.trouble = trouble
        self.record = Record(record)
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = self.temporary.name
        self.store = Store(self.record)
        self.entries = []
        self.workers = []
        self.runs = []

    def note_run(self, request):
        self.runs.append((now(), request.id, request.worker.id))
        names = ("deadline-ms", "program-id", "last-event-id")
        shown = " ".join(f"{n}={request.field(n)}" for n in names if request.field(n) is not None)
        self.record.line(request.worker.id, f"runs {request.method} {request.target} {request.id} {shown}")

    def runs_of(self, request_id):
        return [it for it in self.runs if it[1] == request_id]

    async def add_worker(self, name, service, work, **kw):
        worker = Worker(self, name, service, work, **kw)
        await worker.start()
        worker.register()
        self.workers.append(worker)
        return worker

    async def start_entries(self, count, zones=("zone-a", "zone-b", "zone-c"), store_links=()):
        binary = os.path.join(ROOT, "target", "packages", "daemon", "vanillahalld")
        if not os.access(binary, os.X_OK):
            raise CannotRun("the build of the deploy file is missing")
        for n in range(count):
            entry = Entry(self, f"edge-{n + 1}", zones[n % len(zones)])
            entry.store_address = store_links[n].address if store_links else None
            self.entries.append(entry)
            entry.start()
        for it in self.entries:
            await it.wait_ready()
        await asyncio.sleep(0.5)

    def configure(self, version, routes, services, limits=None):
        config = {"version": version, "routes": routes, "services": services,
                  "limits": limits or {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
        return self.store.put("op", "", "config", json.dumps(config))

    def end(self):
        for it in self.entries:
            if it.is_running:
                it.process.send_signal(signal.SIGCONT)
                it.process.kill()
                it.process.wait()
        self.record.close()
        if os.environ.get("KEEP_LOGS"):
            os.makedirs(os.environ["KEEP_LOGS"], exist_ok=True)
            for it in self.entries:
                with open(it.log, "rb") as source, open(os.path.join(os.environ["KEEP_LOGS"], it.name + ".log"), "wb") as copy:
                    copy.write(source.read())
        self.temporary.cleanup()


def route(name, prefix, kind, service, **kw):
    """A route like those of the small deployments."""
    it = {"name": name, "host": HOST, "prefix": prefix, "kind": kind, "timeoutMs": 4000, "sloMs": 250, "priority": 0, "service": service,
          "maxAttempts": 1, "stateful": False, "retentionS": 60.0}
    if kind == "streaming":
        it.update({"sticky": True, "resumable": True, "gapAimMs": 200})
    it.update(kw)
    return it


def engine(name, slots=24):
    return {"name": name, "healthPath": "/health", "maxConns": 210, "protocol": "h1", "tls": False,
            "engine": {"slots": slots, "kvCapacity": 144781, "kvTokenBytes": 163840, "linkMbps": 550000.0, "moves": True, "backups": True,
                       "tokensPerEvent": 7, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0, "models": [{"name": "m"}]}}


def plain(name):
    return {"name": name, "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": False}


def main(play, record="record.txt", limit_s=110.0):
    """
    Plays a case. `play(deployment)` returns a list of broken promises; what was sent, answered and run goes into the file `record` beside the
    script. Exits with 1 if a promise was broken, 0 if all held, 2 if the case couldn't run, whatever the reason.
    """
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        deployment = Deployment(os.path.join(folder, record), trouble)
        try:
            await deployment.store.start()
            return await asyncio.wait_for(play(deployment), limit_s)
        finally:
            deployment.end()

    try:
        broken = asyncio.run(run())
    except BaseException as ec:  # pylint: disable=broad-except
        print(f"could not run: {ec!r}")
        sys.exit(2)
    for it in broken[:20]:
        print("BROKEN " + it)
    print(f"trouble={int(trouble)} broken={len(broken)}")
    sys.exit(1 if broken else 0)
