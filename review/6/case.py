"""Clients that read slowly while their answers are ready: each gets its whole answer.

Two parts. In the first nothing else happens: after a small request on a kept connection a booking is sent, its answer isn't read for PAUSE_S,
then it is. Six clients take 4,800 B (the largest answer of the site) through a small window, six take 200,000 B through a usual one. In the
second part the same is done by three and three clients, and the process gets SIGTERM just after the bookings were passed on.
"""

import asyncio
import os
import signal
import socket
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))

from harness import BOUNDS, TROUBLE, config, main, plain, request_bytes, route, service  # pylint: disable=wrong-import-position

DEADLINE_MS = 6000                     # crew-call of the site.
PAUSE_S = 3.0 if TROUBLE else 0.0      # The client doesn't read for this time; limits.idleTimeoutMs is 15 s.
SMALL, LARGE = 4800, 200000            # Bytes of an answer.
SMALL_WINDOW = 2304                    # Receive buffer asked for by clients on poor links.


async def work(server, message, writer):
    request_id = message.get("Request-Id")
    size = int(message.first.split("/")[2].split(" ")[0])
    server.ran.append(request_id)
    server.record.write(f"server {server.id} ran {request_id} and answers 200 with {size} B")
    writer.write(plain(200, request_id, b"x" * size))
    await writer.drain()
    return True


def talk(port, name, size, window, sent, record):
    """One client on a socket of its own. @return Bytes of the body of the second answer, and how its connection ended."""
    sock = socket.socket()
    if window:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
    sock.settimeout(20)
    sock.connect(("127.0.0.1", port))
    fields = [("Deadline-Ms", str(DEADLINE_MS))]
    sock.sendall(request_bytes("POST", "/a/20", name + "-first", fields, b"x"))
    data = b""
    while not data.endswith(b"\r\n\r\n" + b"x" * 20):
        piece = sock.recv(65536)
        if not piece:
            return 0, "the first answer didn't come"
        data += piece
    sock.sendall(request_bytes("POST", f"/a/{size}", name, fields, b"x"))
    began = time.monotonic()
    record.write(f"client {name} has sent its booking on the kept connection and doesn't read for {PAUSE_S} s")
    sent(name)
    time.sleep(PAUSE_S)
    data, end = b"", "complete"
    try:
        while len(data.partition(b"\r\n\r\n")[2]) < size:
            piece = sock.recv(65536)
            if not piece:
                end = "closed"
                break
            data += piece
    except OSError as ex:
        end = type(ex).__name__
    sock.close()
    got = len(data.partition(b"\r\n\r\n")[2])
    record.write(f"client {name} got {got} of {size} B of the body, {time.monotonic() - began:.2f} s after the request: {end}")
    return got, end


async def crowd(proxy, record, clients, on_sent=None):
    loop = asyncio.get_running_loop()
    count = 0

    def sent(_):
        nonlocal count
        count += 1
        if count == len(clients) and on_sent:
            loop.call_soon_threadsafe(lambda: loop.call_later(0.2, on_sent))

    jobs = [loop.run_in_executor(None, talk, proxy.front, name, size, window, sent, record) for name, size, window in clients]
    ends = await asyncio.gather(*jobs)
    return [(name, size, got, end) for (name, size, _), (got, end) in zip(clients, ends) if got < size]


async def play(world):
    asyncio.get_running_loop().set_default_executor(__import__("concurrent.futures").futures.ThreadPoolExecutor(16))
    await world.start_store()
    routes = [route("booking", "/a/", "app", kind="non_idempotent", timeout_ms=DEADLINE_MS, slo_ms=800)]
    world.store.put("op", "config", config(1, routes, [service("app")]))
    server = await world.add_server("i-1", "app", work)
    world.begin_heartbeats()
    proxy = await world.add_proxy("edge-1", bounds=dict(BOUNDS, contactMs=4000))
    await proxy.wait_ready()
    await asyncio.sleep(5)  # The machine is in touch, and the core is stable.
    calm = [(f"small-{n}", SMALL, SMALL_WINDOW) for n in range(6)] + [(f"large-{n}", LARGE, None) for n in range(6)]
    lost = await crowd(proxy, world.record, calm)
    broken = []
    if len(lost) > 3:
        broken.append(f"LOST, at any time: {len(lost)} of {len(calm)} requests of kept connections were passed on, ran at a sound server, "
                      "and their connections ended without a whole answer")
    await asyncio.sleep(1)

    def stop():
        world.record.write("SIGTERM to edge-1")
        proxy.signal(signal.SIGTERM)

    planned = [(f"stop-small-{n}", SMALL, SMALL_WINDOW) for n in range(3)] + [(f"stop-large-{n}", LARGE, None) for n in range(3)]
    lost = await crowd(proxy, world.record, planned, stop)
    lost = [it for it in lost if it[0] in server.ran]
    if lost:
        broken.append(f"LOST, around planned work: {len(lost)} of {len(planned)} requests were passed on, and their connections ended "
                      "without a complete answer")
    return broken


main(os.path.join(FOLDER, "record.txt"), play)
