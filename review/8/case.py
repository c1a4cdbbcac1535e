"""After a planned restart of the machines in turn, programs go on with what was said before.

Three processes, four model servers, a route that keeps what was said (stateful). First PROGRAMS_BEFORE programs of one turn each are served.
Then each process gets SIGTERM, ends, and is started again, one after the other. Eight seconds after the last one is ready, programs begin whose
turns take their Token-Budget as far as it goes: ten turns of 40 tokens, a budget of 400. Each turn names the one before. A turn that is refused
is sent again after its Retry-After, as a request with its own id, until the program's time is over.
"""

import asyncio
import os
import random
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))

from harness import BOUNDS, LAST_CHUNK, TROUBLE, Client, config, event, main, request_bytes, route, service, stream_head  # pylint: disable=wrong-import-position

PROXIES = 3
SERVERS, SLOTS = 4, 12
PROGRAMS_BEFORE = 250
PROGRAMS = 12
TURNS = 10
MOST = 40                    # Tokens that a turn generates: four events of ten.
BUDGET = TURNS * MOST
EVENTS, PER_EVENT = 4, 10
AIM_S = 30.0                 # Time until a program should be finished.
DEADLINE_MS = 3000
TRIES = 5                    # The rule's tries.


async def work(server, message, writer):
    request_id = message.get("Request-Id")
    server.ran.append(request_id)
    server.record.write(f"server {server.id} runs {request_id} with a body of {len(message.body)} B")
    writer.write(stream_head(request_id))
    for number in range(1, EVENTS + 1):
        writer.write(event(number, f"{request_id}-{number}"))
        await writer.drain()
        await asyncio.sleep(0.01)
    writer.write(LAST_CHUNK)
    return True


async def send(proxy, program, request_id, previous, body, left_s):
    """One client attempt on a new connection. @return The answer, or nothing."""
    fields = [("Deadline-Ms", str(DEADLINE_MS)), ("Program-Id", program), ("Session-Id", program), ("Model", "m"),
              ("Program-Deadline-Ms", str(int(left_s * 1000))), ("Token-Budget", str(BUDGET)), ("Token-Usage", f"100,{MOST}")]
    if previous:
        fields.append(("Previous-Turn", previous))
    client = Client(proxy.front)
    try:
        await client.open()
        return await client.ask(request_bytes("POST", "/a/turn", request_id, fields, body), DEADLINE_MS / 1000 + 1)
    except OSError:
        return None
    finally:
        client.close()


async def play_program(world, program, turns, rng):
    """@return For each turn, the ids of its tries, and whether one was answered whole."""
    began, previous, log = time.monotonic(), None, []
    for number in range(turns):
        tries, is_served = [], False
        while time.monotonic() - began < AIM_S:
            request_id = f"{program}-{number}-{len(tries)}"
            left = AIM_S - (time.monotonic() - began)
            answer = await send(rng.choice(world.proxies), program, request_id, previous, b"input %d\n" % number, left)
            tries.append(request_id)
            status = answer.status if answer else None
            if status != 200 or turns > 1:
                world.record.write(f"client: turn {number} of {program}, try {len(tries)} as {request_id}: {status or 'no answer'}")
            if status == 200:
                is_served, previous = True, request_id
                break
            pause = float(answer.get("Retry-After") or 0.3) if answer else 0.3
            await asyncio.sleep(min(pause, DEADLINE_MS / 3000) + rng.uniform(0.1, 0.4))
        log.append((number, tries, is_served))
        if not is_served:
            break
        await asyncio.sleep(0.05)
    return log


async def play(world):
    rng = random.Random(8)
    await world.start_store()
    engine = {"slots": SLOTS, "kvCapacity": 174325, "tokensPerEvent": PER_EVENT, "models": [{"name": "m"}]}
    routes = [route("turn", "/a/", "hall", kind="streaming", timeout_ms=DEADLINE_MS, slo_ms=400, stateful=True, retentionS=60.0, sticky=True)]
    world.store.put("op", "config", config(1, routes, [service("hall", engine=engine)]))
    for n in range(SERVERS):
        await world.add_server(f"i-{n}", "hall", work, slots=SLOTS)
    world.begin_heartbeats()
    bounds = dict(BOUNDS, contactMs=4000)
    for n in range(PROXIES):
        await world.add_proxy(f"edge-{n}", bounds=bounds)
    for it in world.proxies:
        await it.wait_ready()
    await asyncio.sleep(10)
    for n in range(0, PROGRAMS_BEFORE, 25):
        await asyncio.gather(*[play_program(world, f"early{n + k}", 1, rng) for k in range(25)])
    world.record.write(f"{PROGRAMS_BEFORE} programs of one turn were played")
    for it in world.proxies:
        if TROUBLE:
            world.record.write(f"SIGTERM to {it.name}")
            it.signal(signal.SIGTERM)
            await asyncio.wait_for(it.process.wait(), 10)
            await it.start()
            await it.wait_ready()
            world.record.write(f"{it.name} has ended and is ready again")
        await asyncio.sleep(1)
    await asyncio.sleep(8)
    logs = await asyncio.gather(*[play_program(world, f"p{n}", TURNS, rng) for n in range(PROGRAMS)])
    ran = {it for server in world.servers for it in server.ran}
    first = sum(any(it in ran for it in log[0][1]) for log in logs)
    lost = []
    for n, log in enumerate(logs):
        for number, tries, _ in log[1:]:
            if len(tries) >= TRIES and not any(it in ran for it in tries):
                lost.append(f"turn {number} of p{n} in {len(tries)} tries")
    done = sum(len(log) == TURNS and log[-1][2] for log in logs)
    summary = f"{done} of {PROGRAMS} programs finished, {first} of {PROGRAMS} first turns reached a server; no server was reached by {lost}"
    world.record.write(summary)
    print(summary)
    if lost and first >= 0.9 * PROGRAMS:
        return ["LOST: " + summary]
    return []


main(os.path.join(FOLDER, "record.txt"), play)
