"""A small crowd sends requests that are legal in size but made of very many short fields, while ordinary clients call a plain service.

The crowd: CROWD connections, each sending a request of 15.6 KB (the limit is 16,384 B) at a path without a route, and the next one when it is
answered. Half of the bytes are one Connection field with many short tokens, the others are short fields. Without the disruption the crowd sends
as many requests of the same size with one long field. Ordinary clients send a booking every half second on connections of their own.
"""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))

from harness import TROUBLE, Client, config, main, plain, request_bytes, route, service  # pylint: disable=wrong-import-position

CROWD = 120
PLAY_S = 15.0        # Length of the crowd's visit.
CLIENTS = 10
GAP_S = 0.5          # Pause between two bookings of a client.
TIMEOUT_S = 2.0      # The route's timeoutMs, and the deadline of the clients.
LATER_S = 0.5        # The rule's half second.
RECORDED = 1000      # Requests of the crowd that are recorded one by one; the others are counted.
LEAST = 20           # Fewer requests that are unanswered at the timeout aren't judged.
HEAD = b"GET /no/route HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: %s\r\n"


def crowd_request(name):
    head = HEAD % name.encode()
    if TROUBLE:
        return head + b"Connection: " + b",".join([b"a"] * 3900) + b"\r\n" + b"b:\r\n" * 1900 + b"\r\n"
    return head + b"Long: " + b"a" * 15400 + b"\r\n\r\n"


async def work(server, message, writer):
    request_id = message.get("Request-Id")
    await asyncio.sleep(0.069)
    server.ran.append(request_id)
    server.record.write(f"server {server.id} ran {request_id}")
    writer.write(plain(200, request_id, b"y" * 800))
    return True


async def visitor(port, name, until, record, counts):
    client = Client(port)
    await client.open()
    data = crowd_request(name)
    while time.monotonic() < until:
        is_recorded = sum(counts.values()) < RECORDED
        if is_recorded:
            record.write(f"{name} sends a request of {len(data)} B")
        answer = await client.ask(data, 60)
        if is_recorded:
            record.write(f"{name} got {answer.status if answer else 'no answer'}")
        if answer is None:
            counts["closed"] = counts.get("closed", 0) + 1
            client.close()
            client = Client(port)
            await client.open()
        else:
            counts[answer.status] = counts.get(answer.status, 0) + 1
    client.close()


async def caller(port, name, until, record, results):
    client, number = None, 0
    while time.monotonic() < until:
        number += 1
        request_id = f"{name}-{number}"
        if client is None:
            client = Client(port)
            await client.open()
        began = time.monotonic()
        answer = await client.ask(request_bytes("POST", "/a/order", request_id, [("Deadline-Ms", str(int(TIMEOUT_S * 1000)))], b"order"),
                                  TIMEOUT_S + LATER_S)
        took = time.monotonic() - began
        record.write(f"client sent {request_id}, got {answer.status if answer else 'no answer'} after {took:.2f} s")
        results.append((request_id, answer.status if answer else None, took))
        if answer is None:
            client.close()
            client = None
        await asyncio.sleep(GAP_S)
    if client:
        client.close()


async def play(world):
    await world.start_store()
    routes = [route("order", "/a/", "app", kind="non_idempotent", timeout_ms=int(TIMEOUT_S * 1000), slo_ms=300)]
    world.store.put("op", "config", config(1, routes, [service("app")]))
    servers = [await world.add_server(f"i-{n}", "app", work) for n in range(5)]
    world.begin_heartbeats()
    proxy = await world.add_proxy("edge-1")
    await proxy.wait_ready()
    await asyncio.sleep(4)  # The machine is in touch, and the core is stable.
    counts, results = {}, []
    began = time.monotonic()
    callers = [asyncio.ensure_future(caller(proxy.front, f"order-{n}", began + PLAY_S + 2, world.record, results)) for n in range(CLIENTS)]
    await asyncio.sleep(2)
    world.record.write(f"the crowd of {CROWD} connections begins")
    crowd = [asyncio.ensure_future(visitor(proxy.front, f"crowd-{n}", began + PLAY_S + 2, world.record, counts)) for n in range(CROWD)]
    await asyncio.gather(*callers)
    for it in crowd:
        it.cancel()
    world.record.write(f"answers to the crowd: {counts}")
    at_timeout = [it for it in results if it[1] is None or it[2] >= TIMEOUT_S]
    later = [it for it in at_timeout if it[1] is None or it[2] >= TIMEOUT_S + LATER_S]
    served = [it for it in results if it[1] == 200]
    ran = {it for server in servers for it in server.ran}
    summary = (f"{len(results)} bookings, {len(served)} served, {len(at_timeout)} unanswered at the timeout, {len(later)} of these half a "
               f"second later, {sum(it[0] in ran for it in later)} of these ran; {sum(counts.values())} answers to the crowd")
    world.record.write(summary)
    print(summary)
    if len(at_timeout) >= LEAST and 2 * len(later) > len(at_timeout):
        return ["CONFIG: " + summary]
    return []


main(os.path.join(FOLDER, "record.txt"), play)
