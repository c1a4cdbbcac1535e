"""Streams that clients resume, with real proxies. Usage: taken_up_test.py BUILD_DIR [--seed N] [--all] [--timed] [TEST ...]

Three proxies, nine servers and a stand-in store on loopback addresses. Clients receive streams of 24 events; something breaks some of them, and
the clients resume those at the next proxy, again after each refusal. Guards against streams that never go on although a server of
their software version is there, against refusals that come late or tell to come back late, and against streams
that are joined from two versions.
"""

import argparse
import asyncio
import json
import os
import random
import re
import signal
import sys
import tempfile
import unittest
from dataclasses import dataclass

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..")
sys.path.insert(0, os.path.join(ROOT, "review", "lib"))

import standins  # pylint: disable=wrong-import-position
from standins import Connection, Deployment, Worker, engine, field, now, route  # pylint: disable=wrong-import-position

SEED = 1
TIMED = False
PROXIES = 3
SERVERS = 9
STREAMS = 36
EVENTS = 24
GAP_S = 0.1           # Pause between two events.
BREAK_S = 0.9         # Time from the first stream to the trouble.
AGAIN_S = 0.15        # Pause of a client after a refusal.
PATIENCE_S = 3.0      # Time that a client goes on without an event.
LONG_PATIENCE_S = 9.0 # The same where times don't count, since the machine may be busy.
UNLISTED_S = 1.5      # Time until the row of a server that has ended is removed.
LATE_S = 1.0          # A refusal has to come sooner.
SLOW_S = 0.24         # Time for a call to a slow store.
LATER_VERSION = 5     # With two versions, servers from this number on have the second one.


@dataclass
class Case:
    """One play. `trouble` is called with the play once the streams have begun."""

    trouble: object
    budget: bool = True
    program: bool = True
    session: bool = True
    resumes: bool = False     # True if clients name the request that began the stream.
    warm_s: float = 0.0       # Time from the proxies' readiness to the streams.
    versions: int = 1
    may_fail: bool = False    # True if streams can't go on, because nobody is left who knows their version: they are refused in time.
    in_ci: bool = False


class VersionedWorker(Worker):
    """A server that names its software version in the list and in each event."""

    version = "v1"

    def entry(self, state="ready"):
        return json.dumps({**json.loads(super().entry(state)), "version": self.version})

    async def end(self):
        await self.crash()
        await asyncio.sleep(UNLISTED_S)
        self.deployment.store.remove("servers", "", self.id)

    async def begin(self):
        host, port = self.address.split(":")
        self.born += 1
        self.server = await asyncio.start_server(self._serve, host, int(port), limit=1 << 22)
        self.register()


async def stream(request):
    """Serves a stream from the event after the last one received."""
    request.writer.write(request.head(extra="Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n") + b"\r\n")
    for n in range(int(request.field("last-event-id") or 0) + 1, EVENTS + 1):
        await asyncio.sleep(GAP_S)
        event = f"id: {n}\ndata: {request.worker.version} of {request.worker.id}\n\n".encode()
        request.writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
        await request.writer.drain()
    request.writer.write(b"0\r\n\r\n")
    await request.writer.drain()


class Client:
    """Receives one stream, resuming it as often as it breaks."""

    def __init__(self, play, number):
        self.play = play
        self.number = number
        self.received = []      # (event, version)
        self.is_complete = False
        self.breaks = 0
        self.refusals = []      # (status, seconds)

    def fields(self, first_id):
        case = self.play.case
        fields = [("Model", "m"), ("Token-Usage", "800,168"), ("Deadline-Ms", "9000"), ("Prompt-Prefix", f"a1:500,{self.number + 16:x}:300")]
        if case.program:
            fields += [("Program-Id", f"p{self.number}")]
        if case.session:
            fields += [("Session-Id", f"p{self.number}")]
        if case.budget:
            fields += [("Token-Budget", "4000")]
        if self.received:
            fields += [("Last-Event-Id", str(self.received[-1][0]))]
            if case.resumes:
                fields += [("Resumes", first_id)]
        return fields

    async def run(self):
        first_id = f"{random.getrandbits(64):016x}"
        entry = self.number
        progress_at = now()
        while now() < progress_at + (PATIENCE_S if TIMED else LONG_PATIENCE_S) and not self.is_complete:
            address = self.play.deployment.entries[entry % PROXIES].front
            entry += 1
            connection = Connection(self.play.deployment, address)
            request_id = None if self.received else first_id
            answer = await connection.ask("POST", "/turn/1", self.fields(first_id), b"turn %d" % self.number, timeout=9.0, request_id=request_id)
            connection.close()
            events = [(int(n), version) for n, version in re.findall(rb"id: (\d+)\ndata: (\S+) [^\n]*\n\n", answer.body)]
            if answer.status == 200:
                self.received += events
                self.is_complete = answer.complete
                self.breaks += 0 if answer.complete else 1
                progress_at = now() if events else progress_at
            else:
                self.refusals.append((answer.status, answer.ended_at - answer.sent_at, field(answer.fields, "retry-after")))
                await asyncio.sleep(AGAIN_S)

    @property
    def is_whole(self):
        return self.is_complete and [n for n, _ in self.received] == list(range(1, EVENTS + 1))

    @property
    def is_joined(self):
        return len({version for _, version in self.received}) > 1


class Play:
    """One play of a deployment."""

    def __init__(self, deployment, case):
        self.deployment = deployment
        self.case = case
        self.random = random.Random(SEED)
        self.clients = [Client(self, n) for n in range(STREAMS)]
        self.tasks = []

    def spawn(self, coroutine):
        self.tasks.append(asyncio.create_task(coroutine))

    async def end_servers(self, count):
        for it in self.random.sample([it for it in self.deployment.workers if it.server.is_serving()], count):
            self.spawn(it.end())

    async def kill_proxies(self, count, back_after_s=None):
        killed = self.random.sample(self.deployment.entries, count)
        for it in killed:
            it.send(signal.SIGKILL)
        for it in killed:
            # The clients go on while the processes end.
            await asyncio.to_thread(it.process.wait)
        if back_after_s is not None:
            await asyncio.sleep(back_after_s)
            for it in killed:
                it.start()

    async def stop_proxies(self, count, pause_s=0.3):
        for it in self.random.sample(self.deployment.entries, count):
            await it.stop(restart_after_s=0.1)
            await asyncio.sleep(pause_s)

    async def run(self):
        deployment = self.deployment
        await deployment.store.start()
        deployment.configure(1, [route("turn", "/turn/", "streaming", "llm", timeoutMs=9000)], [engine("llm")])
        for n in range(SERVERS):
            worker = VersionedWorker(deployment, f"s-{n}", "llm", stream, zone=f"zone-{'abc'[n % 3]}", is_model=True)
            if self.case.versions == 2 and n >= LATER_VERSION:
                worker.version = "v2"
            await worker.start()
            worker.register()
            deployment.workers.append(worker)
        await deployment.start_entries(PROXIES)
        await asyncio.sleep(self.case.warm_s)
        clients = asyncio.gather(*[it.run() for it in self.clients])
        await asyncio.sleep(BREAK_S)
        await self.case.trouble(self)
        await clients
        for it in self.tasks:
            it.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        # The connections of the stand-ins end while the loop still runs.
        for it in deployment.entries:
            if it.is_running:
                it.process.kill()
        await asyncio.sleep(0.1)


async def four_servers(play):
    await play.end_servers(4)


async def one_server(play):
    await play.end_servers(1)


async def one_proxy(play):
    await play.kill_proxies(1)


async def servers_and_proxy(play):
    await play.end_servers(4)
    await play.kill_proxies(1)


async def all_proxies(play):
    await play.kill_proxies(PROXIES, back_after_s=0.1)


async def proxies_in_turn(play):
    for _ in range(PROXIES):
        await play.kill_proxies(1, back_after_s=0.1)
        await asyncio.sleep(0.6)


async def silent_store_and_servers(play):
    play.deployment.store.away = "silent"
    await play.end_servers(4)


async def refusing_store_and_servers(play):
    play.deployment.store.away = "busy"
    await play.end_servers(4)


async def silent_store_and_proxy(play):
    play.deployment.store.away = "silent"
    await play.kill_proxies(1)


async def slow_store_and_servers(play):
    play.deployment.store.delay_s = SLOW_S
    await play.end_servers(4)


async def servers_again_and_again(play):
    for _ in range(3):
        await play.end_servers(2)
        await asyncio.sleep(0.6)


async def stops_in_turn(play):
    await play.stop_proxies(PROXIES)


async def servers_beside_stops(play):
    await play.end_servers(3)
    await play.stop_proxies(2)


async def version_changes(play):
    """The servers of the second version end, and others are replaced by a new version."""
    for it in play.deployment.workers[:2]:
        await it.crash()
        it.version = "v3"
        await it.begin()
    await play.end_servers(3)


CASES = {
    "four_servers_end": Case(four_servers, in_ci=True),
    "one_server_ends": Case(one_server),
    "a_proxy_is_killed": Case(one_proxy),
    "servers_end_and_a_proxy_is_killed": Case(servers_and_proxy, in_ci=True),
    "all_proxies_are_killed": Case(all_proxies, in_ci=True),
    "proxies_are_killed_in_turn": Case(proxies_in_turn),
    "store_silent_servers_end": Case(silent_store_and_servers, may_fail=True, in_ci=True),
    "store_refuses_servers_end": Case(refusing_store_and_servers, may_fail=True),
    "store_silent_a_proxy_is_killed": Case(silent_store_and_proxy, may_fail=True),
    "store_slow_servers_end": Case(slow_store_and_servers),
    "servers_end_without_budget": Case(four_servers, budget=False, in_ci=True),
    "a_proxy_is_killed_without_budget": Case(one_proxy, budget=False),
    "all_proxies_are_killed_without_budget": Case(all_proxies, budget=False),
    "servers_end_without_program": Case(four_servers, budget=False, program=False, session=False),
    "servers_end_without_session": Case(four_servers, session=False),
    "servers_end_that_are_named": Case(four_servers, budget=False, resumes=True),
    "servers_end_again_and_again": Case(servers_again_and_again),
    "servers_end_later": Case(four_servers, warm_s=25.0),
    "a_proxy_is_killed_later": Case(one_proxy, warm_s=25.0),
    "proxies_stop_in_turn": Case(stops_in_turn),
    "servers_end_beside_stops": Case(servers_beside_stops, in_ci=True),
    "two_versions_servers_end": Case(four_servers, versions=2, in_ci=True),
    "two_versions_servers_end_later": Case(four_servers, versions=2, warm_s=25.0),
    "two_versions_a_proxy_is_killed": Case(one_proxy, versions=2, in_ci=True),
    "two_versions_a_proxy_is_killed_later": Case(one_proxy, versions=2, warm_s=25.0),
    "two_versions_without_budget": Case(four_servers, versions=2, budget=False, in_ci=True),
    "two_versions_a_proxy_is_killed_without_budget": Case(one_proxy, versions=2, budget=False),
    "two_versions_all_proxies_are_killed": Case(all_proxies, versions=2),
    "two_versions_and_a_third": Case(version_changes, versions=2),
    "two_versions_and_a_third_without_budget": Case(version_changes, versions=2, budget=False),
}


class TakenUpTest(unittest.TestCase):
    def play(self, name):
        deployment = Deployment(os.devnull)
        play = Play(deployment, CASES[name])
        try:
            asyncio.run(asyncio.wait_for(play.run(), 90.0))
        finally:
            deployment.end()
        broken = [it for it in play.clients if it.breaks]
        lost = [it for it in play.clients if not it.is_whole]
        refusals = [it for client in play.clients for it in client.refusals if it[0] == 503]
        late = [it for it in refusals if it[1] > LATE_S]
        print(f"{name}: calls={deployment.store.calls} broken={len(broken)} lost={len(lost)} refusals={len(refusals)} late={len(late)} "
              f"others={sum(1 for c in play.clients for it in c.refusals if it[0] not in (0, 503))}", end=" ", file=sys.stderr)
        self.assertEqual([it.received for it in play.clients if it.is_joined], [])
        if TIMED:
            self.assertEqual(late, [])
        if not play.case.may_fail:
            # A client that comes back when it is told to has given up by then.
            self.assertEqual([it for it in refusals if float(it[2] or 0) > PATIENCE_S], [])
            self.assertEqual([it.number for it in lost], [])


for title in CASES:
    setattr(TakenUpTest, "test_" + title, lambda self, name=title: self.play(name))

if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("build")
    parser.add_argument("--seed", type=int, default=SEED)
    parser.add_argument("--all", action="store_true", help="also the cases that CI doesn't run")
    parser.add_argument("--timed", action="store_true", help="also check times; on a machine that isn't busy")
    arguments, names = parser.parse_known_args()
    SEED, TIMED = arguments.seed, arguments.timed
    chosen = names or [name for name, case in CASES.items() if case.in_ci or arguments.all]
    with tempfile.TemporaryDirectory(prefix="taken-up-") as root:
        # The stand-ins start the program that the deploy file names.
        for link, target in (("deploy", "deploy"), ("platform", "platform")):
            os.symlink(os.path.abspath(os.path.join(ROOT, target)), os.path.join(root, link))
        os.symlink(os.path.abspath(arguments.build), os.path.join(root, "target"))
        standins.ROOT = root
        unittest.main(argv=[sys.argv[0], *(f"TakenUpTest.test_{it}" for it in chosen)], verbosity=2, warnings="ignore")
