"""Programs whose sub-agents run while answers of the store are lost may use their whole budget afterwards.

Three processes, four model servers. Each program has a Token-Budget of BUDGET_TURNS turns; each turn generates its most. It has two turns, then
five sub-agents with three turns each in parallel, then turns until its budget is spent. The sub-agents run while the store performs writes and
loses a part of their answers; the last turns begin when the store has been stable for longer than contactMs. Each line of turns has a client
of its own, and the platform gives its connections to one machine; retries reach other machines.
"""

import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))

from harness import LAST_CHUNK, TROUBLE, Client, Store, config, event, main, request_bytes, route, service, stream_head  # pylint: disable=wrong-import-position

PROXIES, SERVERS, SLOTS = 3, 4, 24
PROGRAMS = 40
AGENTS, AGENT_TURNS = 5, 3
BUDGET_TURNS = 24
EVENTS, PER_EVENT = 4, 10
MOST = EVENTS * PER_EVENT      # Tokens of each turn.
BUDGET = BUDGET_TURNS * MOST
LOST_SHARE, LOST_S = 0.35, 4.5  # platform_lost of the site file.
CALM_S = 4.0                   # Time without disruption before answers are judged; contactMs is 3,000.
DEADLINE_MS = 3000
SENDS = 3                      # A turn that has failed is sent again from its start at most twice.


class LossyStore(Store):
    """Performs some writes without answering; such a connection delivers nothing further."""

    loses = False
    lost = 0
    rng = random.Random(9)

    async def answer(self, writer, status, body):
        if self.loses and status == 200 and body.get("rows") is None and self.rng.random() < LOST_SHARE:
            self.lost += 1
            await asyncio.sleep(30)
            return
        await super().answer(writer, status, body)


async def work(server, message, writer):
    request_id = message.get("Request-Id")
    server.ran.append(request_id)
    server.record.write(f"server {server.id} runs {request_id}")
    writer.write(stream_head(request_id))
    for number in range(1, EVENTS + 1):
        writer.write(event(number, f"{request_id}-{number}"))
        await writer.drain()
        await asyncio.sleep(0.01)
    writer.write(LAST_CHUNK)
    return True


class Program:
    def __init__(self, world, name, rng):
        self.world, self.name, self.rng, self.requests = world, name, rng, 0

    async def turn(self, line, home):
        """@return Status of the last try, and its id."""
        status, request_id = None, ""
        for send in range(SENDS):
            for attempt in range(2):  # One retry, as the sheet says.
                self.requests += 1
                request_id = f"{self.name}.{line}.{self.requests}"
                proxy = self.world.proxies[(home + send + attempt) % PROXIES]
                fields = [("Deadline-Ms", str(DEADLINE_MS)), ("Program-Id", self.name), ("Session-Id", line), ("Model", "m"),
                          ("Program-Deadline-Ms", "30000"), ("Token-Budget", str(BUDGET)), ("Token-Usage", f"200,{MOST}")]
                client = Client(proxy.front)
                try:
                    await client.open()
                    answer = await client.ask(request_bytes("POST", "/a/turn", request_id, fields, b"input"), DEADLINE_MS / 1000 + 1)
                except OSError:
                    answer = None
                finally:
                    client.close()
                status = answer.status if answer else None
                self.world.record.write(f"client: {request_id} at {proxy.name}: {status or 'no answer'}")
                if status in (200, 402):
                    return status, request_id
                await asyncio.sleep(min(float(answer.get("Retry-After") or 0.1) if answer else 0.1, DEADLINE_MS / 3000))
            await asyncio.sleep(self.rng.uniform(0.1, 0.4))
        return status, request_id

    async def agent(self, number):
        home = self.rng.randrange(PROXIES)
        for _ in range(AGENT_TURNS):
            status, _ = await self.turn(f"{self.name}a{number}", home)
            if status != 200:
                return

    async def last_turns(self, home):
        """Turns until one isn't served. @return Status and id of the last one."""
        while True:
            status, request_id = await self.turn(self.name, home)
            if status != 200:
                return status, request_id


async def play(world):
    seed = int(time.time())
    rng = random.Random(seed)
    world.record.write(f"seed {seed}")
    world.store = LossyStore(world.record)
    await world.start_store()
    engine = {"slots": SLOTS, "kvCapacity": 174325, "tokensPerEvent": PER_EVENT, "models": [{"name": "m"}]}
    routes = [route("turn", "/a/", "hall", kind="streaming", timeout_ms=DEADLINE_MS, slo_ms=400, resumable=True, retentionS=60.0, sticky=True)]
    world.store.put("op", "config", config(1, routes, [service("hall", engine=engine)]))
    for n in range(SERVERS):
        await world.add_server(f"i-{n}", "hall", work, slots=SLOTS)
    world.begin_heartbeats()
    for n in range(PROXIES):
        await world.add_proxy(f"edge-{n}")
    for it in world.proxies:
        await it.wait_ready()
    await asyncio.sleep(10)
    programs = [Program(world, f"p{n}", rng) for n in range(PROGRAMS)]
    homes = [rng.randrange(PROXIES) for _ in programs]
    for _ in range(2):
        await asyncio.gather(*[it.turn(it.name, home) for it, home in zip(programs, homes)])
    world.store.loses = TROUBLE
    world.record.write("the store loses answers" if TROUBLE else "the store answers all")
    until = time.monotonic() + LOST_S
    agents = [asyncio.ensure_future(it.agent(n)) for it in programs for n in range(AGENTS)]
    await asyncio.sleep(until - time.monotonic())
    world.store.loses = False
    world.record.write(f"the store answers again; {world.store.lost} answers were lost")
    await asyncio.sleep(CALM_S)
    await asyncio.gather(*agents)
    await asyncio.sleep(1)  # settleMs
    ends = await asyncio.gather(*[it.last_turns(home) for it, home in zip(programs, homes)])
    ran = {}
    for server in world.servers:
        for it in server.ran:
            ran[it.split(".")[0]] = ran.get(it.split(".")[0], 0) + 1
    wrong = []
    for program, (status, request_id) in zip(programs, ends):
        used = ran.get(program.name, 0) * MOST
        world.record.write(f"{program.name} ended with {status} at {request_id}: {used} of {BUDGET} tokens were handed to it")
        if status == 402 and used + MOST <= BUDGET:
            wrong.append((program.name, used))
    requests = sum(it.requests for it in programs)
    summary = (f"{len(wrong)} of {requests} requests were answered 402 although the budget held one more turn (allowed {5 + requests / 500:.1f}); "
               f"tokens used then, of {BUDGET}: {sorted(it[1] for it in wrong)}; statuses at the end: {sorted(str(it[0]) for it in ends)}")
    world.record.write(summary)
    print(summary)
    return ["DENIED: " + summary] if len(wrong) > 5 + requests / 500 else []


main(os.path.join(FOLDER, "record.txt"), play)
