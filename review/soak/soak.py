"""Plays random disruptions against three entries on the real clock and checks the promises from what clients, workers and the platform see.

Usage: soak.py SEED SECONDS [KIND,...]. Kinds: term, kill, freeze, store, lost, release, crash, garble, config, hup, giveup, late, slow,
forget, links.
"""

import asyncio
import hashlib
import os
import random
import signal
import sys
import time  # pylint: disable=unused-import
import logging

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))

import standins  # pylint: disable=wrong-import-position
from standins import Connection, Deployment, Link, Worker, engine, field, now, plain, reset, route  # pylint: disable=wrong-import-position

SEED, SECONDS = int(sys.argv[1]), float(sys.argv[2])
KINDS = sys.argv[3].split(",") if len(sys.argv) > 3 else ["term", "kill", "freeze", "store", "lost", "release", "crash", "garble", "config", "hup", "giveup", "late", "slow",
                                                                  "forget", "links"]
RNG = random.Random(SEED)
PER_EVENT = 7
PROMISES = (429, 503, 408, 421)


class State:
    garble = 0.0
    lost = 0.0
    give_up = 0.0
    full = 0.02
    broken = []
    sent = {}      # id -> dict(method, path, body, kind, service, program)
    answers = []   # (Answer, kind)
    given = {}     # program -> tokens that clients have got
    most = {}
    refused402 = []
    counts = {}
    draining = {}  # worker id -> time of the store's acknowledgement
    bodies = {}    # (worker, request id) -> whole body
    planned = []   # (entry front, time of SIGTERM)
    calm_from = 0.0


S = State()
logging.getLogger("asyncio").setLevel(logging.CRITICAL)


def count(name):
    S.counts[name] = S.counts.get(name, 0) + 1


def broke(text):
    S.broken.append(text)
    print("BROKEN", text, flush=True)


def check_request(deployment, request):
    """What a worker gets has to be what a client sent."""
    it = S.sent.get(request.id)
    if it is None:
        broke(f"UNASKED unknown id {request.id!r} at {request.worker.id}")
        return
    if (request.method, request.target, request.body) != (it["method"], it["path"], it["body"]):
        broke(f"UNASKED changed {request.id}: {request.method} {request.target} {len(request.body)} against {it['method']} {it['path']} {len(it['body'])}")
    if request.worker.service not in it["services"]:
        broke(f"ROUTE {request.id} at {request.worker.service}")
    for name in ("hold", "pin-ms", "kv-backup", "kv-from"):
        if request.field(name) is not None:
            broke(f"UNASKED {name} at {request.worker.id}")
    it["runs"].append((now(), request.worker.id, request.field("expect-instance")))
    drained = S.draining.get(request.worker.id)
    if drained is not None and now() - drained > 2.0:
        late = now() - drained
        it["late_drain"] = late
    if it["kind"] == "once" and len(it["runs"]) > 1:
        broke(f"TWICE {request.id}: {it['runs']}")


async def misbehave(request, body_text, chunked):
    """Returns True if the answer was spoilt."""
    w = request.writer
    if RNG.random() < S.lost:
        count("lost")
        if RNG.random() < 0.5:
            reset(w)
        else:
            w.close()
        raise ConnectionError("lost")
    if RNG.random() >= S.garble:
        return False
    how = RNG.choice(["cut", "rst", "bytes", "unframed", "unframed_rst", "extra", "late", "wrongid", "nosig"])
    count("garble " + how)
    text = body_text
    head = request.head(extra=f"Content-Length: {len(text)}\r\n") + b"\r\n"
    if how == "cut":
        w.write(head + text[:len(text) // 2])
        await w.drain()
        w.close()
        raise ConnectionError(how)
    if how == "rst":
        w.write(head + text[:len(text) // 2])
        await w.drain()
        await asyncio.sleep(0.01)
        reset(w)
        raise ConnectionError(how)
    if how == "bytes":
        w.write(os.urandom(300))
        await w.drain()
        w.close()
        raise ConnectionError(how)
    if how in ("unframed", "unframed_rst"):
        S.bodies[(request.worker.id, request.id)] = text
        w.write(request.head() + b"\r\n" + (text if how == "unframed" else text[:len(text) // 2]))
        await w.drain()
        await asyncio.sleep(0.01)
        if how == "unframed":
            w.close()
        else:
            reset(w)
        raise ConnectionError(how)
    if how in ("extra", "late"):
        S.bodies[(request.worker.id, request.id)] = text
        w.write(head + text)
        await w.drain()

        async def again():
            await asyncio.sleep(0 if how == "extra" else RNG.uniform(0.01, 0.6))
            try:
                w.write(head + b"E" * len(text))
                await w.drain()
            except (ConnectionError, OSError):
                pass
        if how == "extra":
            await again()
        else:
            request.worker.tasks.append(asyncio.create_task(again()))
        return True
    if how == "wrongid":
        w.write(head.replace(request.id.encode(), b"f" * 16) + b"W" * len(text))
        await w.drain()
        await asyncio.sleep(0.3)
        w.close()
        raise ConnectionError(how)
    w.write(b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 4\r\n\r\nnope" % request.id.encode())
    await w.drain()
    return True


class SoakWorker(Worker):
    def __init__(self, *a, **kw):
        super().__init__(*a, **kw)
        self.tasks = []


async def plain_work(request):
    if RNG.random() < S.full:
        count("full")
        request.writer.write(f"HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {request.id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode())
        return
    check_request(request.worker.deployment, request)
    await asyncio.sleep(RNG.expovariate(1 / 0.06))
    status = 500 if RNG.random() < 0.01 else 200
    text = hashlib.sha256((request.worker.id + request.id).encode()).hexdigest().encode() * RNG.choice([1, 12, 80, 1200])
    if await misbehave(request, text, False):
        return
    S.bodies[(request.worker.id, request.id)] = text
    if RNG.random() < 0.5:
        request.writer.write(request.head(status, f"Content-Length: {len(text)}\r\n") + b"\r\n" + text)
    else:
        request.writer.write(request.head(status, "Transfer-Encoding: chunked\r\n") + b"\r\n")
        for n in range(0, len(text), 5000):
            piece = text[n:n + 5000]
            request.writer.write(b"%x\r\n" % len(piece) + piece + b"\r\n")
        request.writer.write(b"0\r\n\r\n")
    await request.writer.drain()


def event(request_id, n, last):
    return f"id: {n}\ndata: {n} of {last}\n\n".encode()


async def stream_work(request):
    if RNG.random() < S.full:
        count("full")
        request.writer.write(f"HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {request.id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode())
        return
    check_request(request.worker.deployment, request)
    last = int(request.body.split(b"=")[1])
    first = int(request.field("last-event-id") or 0) + 1
    await asyncio.sleep(RNG.uniform(0.005, 0.05))
    unframed = RNG.random() < S.garble
    spoil = RNG.random() < S.garble + S.lost
    at = RNG.randint(first, last) if first <= last else first
    extra = "Content-Type: text/event-stream\r\n" + ("" if unframed else "Transfer-Encoding: chunked\r\n")
    request.writer.write(request.head(extra=extra) + b"\r\n")

    def put(piece):
        request.writer.write(piece if unframed else b"%x\r\n" % len(piece) + piece + b"\r\n")
    for n in range(first, last + 1):
        await asyncio.sleep(RNG.uniform(0.005, 0.06))
        text = event(request.id, n, last)
        if spoil and n == at:
            count("stream cut")
            put(text[:RNG.randint(1, len(text))])
            await request.writer.drain()
            await asyncio.sleep(0.005)
            reset(request.writer)
            raise ConnectionError("cut")
        put(text)
        await request.writer.drain()
    if unframed:
        request.writer.close()
        raise ConnectionError("end")
    request.writer.write(b"0\r\n\r\n")
    await request.writer.drain()


async def add_worker(deployment, service, n, same_id=None):
    work = stream_work if service == "llm" else plain_work
    worker = SoakWorker(deployment, f"{service}-{n}", service, work, zone=f"zone-{'abc'[n % 3]}", slots=24 if service == "llm" else 6,
                        is_model=service == "llm")
    if same_id:
        worker.id = same_id
    await worker.start()
    if "links" in KINDS:
        link = Link(worker.address)
        await link.start()
        S.links.append(link)
        worker.real_address, worker.address = worker.address, link.address
    worker.register()
    deployment.workers.append(worker)
    return worker


def pick_entry(deployment, ready):
    up = [e for e in deployment.entries if ready.get(e.name)]
    return RNG.choice(up or deployment.entries)


def is_promise_broken(answer):
    it = S.sent[answer.id]
    return answer.status in PROMISES and not answer.signed and it["runs"]


async def attempt(deployment, connection, kind, method, path, services, fields, body, timeout):
    rid = f"{RNG.getrandbits(64):016x}"
    S.sent[rid] = {"method": method, "path": path, "body": body, "kind": kind, "services": services, "runs": [], "front": connection.address}
    limit = timeout + 1.5
    gives_up = RNG.random() < S.give_up
    answer = await connection.ask(method, path, fields, body, timeout=RNG.uniform(0.0, 0.4) if gives_up else limit, request_id=rid)
    it = S.sent[rid]
    it["sent_at"], it["ended_at"], it["gave_up"] = answer.sent_at, answer.ended_at, gives_up
    S.answers.append((answer, kind))
    count(f"{kind} {answer.status if answer.complete else 'cut'}")
    if not gives_up and answer.error == "no end in time":
        front = [e for e in deployment.entries if e.front == connection.address][0]
        if front.is_running and now() - S.frozen.get(front.name, -99) > 6:
            broke(f"never answered {rid} at {connection.address} for {limit} s")
    if answer.complete and 200 <= answer.status < 300:
        if not answer.signed:
            broke(f"MIXED unsigned success {rid}")
        worker = (field(answer.fields, "response-signature") or "")[2:]
        if field(answer.fields, "request-id") != rid:
            broke(f"MIXED id of {rid} is {field(answer.fields, 'request-id')}")
        if kind != "stream" and S.bodies.get((worker, rid)) != answer.body:
            broke(f"MIXED body of {rid} from {worker}: {len(answer.body)} against {len(S.bodies.get((worker, rid), b''))}")
    if answer.status in PROMISES and it["runs"]:
        broke(f"REFUSED {rid} is answered {answer.status} and has run {it['runs']}")
    if answer.status in (400, 401, 403, 404, 413, 431):
        broke(f"DENIED {rid} {answer.status}")
    return answer


async def run_program(deployment, n, ready, stop_at):
    program = f"{SEED:x}p{n:x}"
    turns = RNG.randint(3, 8)
    most = PER_EVENT * RNG.randint(6, 14)
    budget = most * 8
    S.most[program] = most
    S.given[program] = 0
    connections = {}

    def connection():
        entry = pick_entry(deployment, ready)
        it = connections.get("now")
        if it is None or not it.is_open or RNG.random() < 0.1:
            if it is not None:
                it.close()
            it = connections["now"] = Connection(deployment, entry.front, program)
        return it

    async def turn(k):
        last = RNG.randint(1, most // PER_EVENT)
        body = f"turn {program} {k} {RNG.getrandbits(32)} events={last}".encode()
        base = [("Model", "m"), ("Token-Usage", f"{500 + 300 * k},{most}"), ("Program-Id", program), ("Session-Id", program),
                ("Program-Deadline-Ms", "30000"), ("Token-Budget", str(budget)), ("Deadline-Ms", "4000")]
        got = 0
        for _ in range(3):
            fields = base + ([("Last-Event-Id", str(got))] if got else [])
            answer = await attempt(deployment, connection(), "stream", "POST", "/turn/2f", ("llm",), fields, body, 4.0)
            ids = [int(line[4:]) for line in answer.body.split(b"\n") if line.startswith(b"id: ")] if answer.status == 200 else []
            whole = answer.body.split(b"\n\n")[:-1] if answer.status == 200 else []
            S.given[program] += PER_EVENT * len(ids)
            if ids != list(range(got + 1, got + 1 + len(ids))):
                broke(f"ORDER {answer.id}: after {got} come {ids}")
            for text, k_ in zip(whole, ids):
                if text != f"id: {k_}\ndata: {k_} of {last}".encode():
                    broke(f"ORDER {answer.id}: event {k_} is {text!r}")
            got += len(ids)
            if answer.complete and answer.status == 200:
                if got != last:
                    broke(f"ORDER {answer.id} complete with {got} of {last} events")
                return True
            if answer.status == 402:
                S.refused402.append((program, S.given[program], budget, most))
                return False
            await asyncio.sleep(0.1 if answer.status != 503 else 0.3)
            if answer.status and got == 0:
                body = f"turn {program} {k} {RNG.getrandbits(32)} events={last}".encode()
        return False

    async def tool(kind):
        method = "GET" if kind == "again" else "POST"
        path = "/get/" + f"{RNG.getrandbits(16):x}" if kind == "again" else "/do/" + f"{RNG.getrandbits(16):x}"
        body = b"" if method == "GET" else os.urandom(RNG.choice([10, 600, 40000]))
        it = Connection(deployment, pick_entry(deployment, ready).front, program)
        for _ in range(3):
            answer = await attempt(deployment, it, kind, method, path, ("app",), [("Program-Id", program), ("Deadline-Ms", "3000")], body, 3.0)
            if answer.complete and answer.status in (200, 500):
                break
            if kind == "once" and answer.status not in PROMISES:
                break
            it.close()
            it = Connection(deployment, pick_entry(deployment, ready).front, program)
            await asyncio.sleep(0.1)
        it.close()

    for k in range(turns):
        if now() > stop_at or not await turn(k):
            break
        await asyncio.gather(*[tool(RNG.choice(["again", "again", "once"])) for _ in range(RNG.randint(0, 3))])
        await asyncio.sleep(RNG.uniform(0, 0.1))
    if S.given[program] > budget + most:
        broke(f"BUDGET {program} got {S.given[program]} of {budget} + {most}")
    for it in connections.values():
        it.close()


async def readiness(deployment, ready):
    misses = {}
    while True:
        for it in deployment.entries:
            if it.process is not None and await it.is_ready():
                misses[it.name] = 0
                ready[it.name] = True
            else:
                misses[it.name] = misses.get(it.name, 0) + 1
                if misses[it.name] >= 2:
                    ready[it.name] = False
        await asyncio.sleep(1.0)


async def release(deployment, kind):
    service = RNG.choice(["llm", "app"])
    old = [w for w in deployment.workers if w.service == service and w.id not in S.draining and not getattr(w, "gone", False)]
    if len(old) < 3:
        return
    worker = RNG.choice(old)
    S.n += 1
    if kind == "release":
        await add_worker(deployment, service, S.n)
        if RNG.random() < 0.7:
            worker.register("draining")
        else:
            deployment.store.remove("servers", "", worker.id)
        S.draining[worker.id] = now()
        await asyncio.sleep(4.5)
        deployment.store.remove("servers", "", worker.id)
        await worker.crash()
    else:
        worker.gone = True
        await worker.crash()
        await asyncio.sleep(RNG.uniform(0.2, 3.0))
        if RNG.random() < 0.5:
            again = await add_worker(deployment, service, S.n, same_id=worker.id)
        else:
            deployment.store.remove("servers", "", worker.id)
            again = await add_worker(deployment, service, S.n)


async def trouble(deployment, stop_at):
    version = 2
    while now() < stop_at:
        kind = RNG.choice(KINDS)
        count("trouble " + kind)
        entry = RNG.choice(deployment.entries)
        deployment.record.line("trouble", f"{kind} {entry.name}")
        if kind == "term" and entry.is_running:
            S.planned.append((entry.front, now()))
            await entry.stop(restart_after_s=0.3)
        elif kind == "kill" and entry.is_running:
            entry.process.kill()
            entry.process.wait()
            await asyncio.sleep(RNG.uniform(0.2, 2))
            entry.start()
        elif kind == "freeze" and entry.is_running:
            S.frozen[entry.name] = now() + 4
            entry.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(RNG.uniform(0.5, 4))
            entry.process.send_signal(signal.SIGCONT)
        elif kind == "store":
            deployment.store.away = RNG.choice(["busy", "many", "silent", "reset"])
            S.core = now() + 9
            await asyncio.sleep(RNG.uniform(0.5, 5))
            deployment.store.away = None
        elif kind == "lost":
            deployment.store.drop_writes = 0.35
            S.core = now() + 9
            await asyncio.sleep(RNG.uniform(1, 5))
            deployment.store.drop_writes = 0.0
        elif kind == "late":
            deployment.store.late_writes = 0.35
            await asyncio.sleep(RNG.uniform(1, 5))
            deployment.store.late_writes = 0.0
        elif kind == "slow":
            deployment.store.delay_s = 0.24
            await asyncio.sleep(RNG.uniform(1, 5))
            deployment.store.delay_s = 0.004
        elif kind == "forget":
            deployment.store.forgets = True
            await asyncio.sleep(RNG.uniform(0.1, 2))
            deployment.store.forgets = False
        elif kind == "links":
            some = RNG.sample(S.links, min(len(S.links), RNG.randint(1, 3)))
            how = RNG.choice(["late", "there", "back", "both", "reset"])
            count("links " + how)
            for it in some:
                if how == "reset":
                    it.reset_all()
                elif how == "late":
                    it.delay_s = RNG.uniform(0.05, 1.5)
                else:
                    it.silent = {"there", "back"} if how == "both" else {how}
            await asyncio.sleep(RNG.uniform(0.5, 4))
            for it in some:
                it.delay_s = 0.0
                it.silent = set()
        elif kind in ("release", "crash"):
            S.tasks.append(asyncio.create_task(release(deployment, kind)))
        elif kind == "garble":
            S.garble, S.lost = 0.05, 0.05
            await asyncio.sleep(RNG.uniform(1, 4))
            S.garble = S.lost = 0.0
        elif kind == "giveup":
            S.give_up = 0.3
            await asyncio.sleep(RNG.uniform(1, 4))
            S.give_up = 0.0
        elif kind == "config":
            version += RNG.randint(1, 5)
            deployment.configure(version, ROUTES, SERVICES, {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                                                             "idleTimeoutMs": RNG.choice([5000, 15000])})
        elif kind == "hup" and entry.is_running:
            entry.process.send_signal(signal.SIGHUP)
        for it in deployment.entries:
            if it.process.poll() is not None and it is not entry:
                broke(f"{it.name} has ended with {it.process.returncode}")
                it.start()
        if entry.process.poll() is not None:
            broke(f"{entry.name} has ended with {entry.process.returncode} after {kind}")
            entry.start()
        await asyncio.sleep(RNG.uniform(0.1, 1.0))


ROUTES = [route("r-turn", "/turn/", "streaming", "llm"), route("r-get", "/get/", "idempotent", "app", timeoutMs=3000, maxAttempts=2),
          route("r-do", "/do/", "non_idempotent", "app", timeoutMs=3000)]
SERVICES = [engine("llm"), plain("app")]


def check_stops():
    """Requests that a planned stop has cut; only where nothing but planned work that breaks no worker was played."""
    if not set(KINDS) <= {"term", "config", "hup"}:
        return
    for answer, _ in S.answers:
        it = S.sent[answer.id]
        if answer.complete or not it["runs"] or it.get("gave_up"):
            continue
        for front, at in S.planned:
            if it["front"] == front and -4 < it["sent_at"] - at < 9 and it["ended_at"] > at:
                broke(f"LOST {answer.id} sent {it['sent_at'] - at:.3f} s after SIGTERM, ended {it['ended_at'] - at:.3f} s after it: {answer.error}")


async def play(deployment):
    S.frozen, S.tasks, S.n, S.core = {}, [], 10, 0
    deployment.configure(1, ROUTES, SERVICES)
    S.links = []
    for n in range(4):
        await add_worker(deployment, "llm", n)
        await add_worker(deployment, "app", n)
    store_links = []
    if "links" in KINDS:
        for _ in range(3):
            link = Link(deployment.store.address)
            await link.start()
            store_links.append(link)
            S.links.append(link)
    await deployment.start_entries(3, store_links=store_links)
    ready = {it.name: True for it in deployment.entries}
    looks = asyncio.create_task(readiness(deployment, ready))
    stop_at = now() + SECONDS
    programs = []
    faults = asyncio.create_task(trouble(deployment, stop_at))
    n = 0
    while now() < stop_at:
        n += 1
        programs.append(asyncio.create_task(run_program(deployment, n, ready, stop_at)))
        await asyncio.sleep(RNG.expovariate(8.0))
    for it in await asyncio.gather(*programs, return_exceptions=True):
        if isinstance(it, Exception):
            print("exception", repr(it))
    await faults
    looks.cancel()
    check_stops()
    for rid, it in S.sent.items():
        if it.get("late_drain") and not it.get("gave_up"):
            count("late drain")
    print("programs", n, "counts", dict(sorted(S.counts.items())))
    print("402:", S.refused402[:5], len(S.refused402))
    return S.broken


standins.main(play, limit_s=SECONDS + 60)
