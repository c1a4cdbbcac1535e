"""A planned stop (SIGTERM) cuts turns that the stopping machine has taken and passed on, a second before its grace period is over."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))

from standins import Connection, GRACE_S, engine, main, now, route, stream_of  # pylint: disable=wrong-import-position

DEADLINE_S = 4.0      # Deadline and route's timeout of the turns on klokwerk-prod.
LONG_EVENTS = 41      # The longest turn of the sheet; 94 ms apart: 3.85 s, within the deadline and the route's timeout of 4 s.
GAP_S = 0.094         # Pauses of up to 200 ms are on time.
EXCUSED_S = 3.0       # A request sent no later than this after SIGTERM is excused if its worker works on into the last sixth of the grace.
CLIENTS = 6


def turn(connection, events):
    fields = [("Model", "m"), ("Token-Usage", f"800,{7 * events}"), ("Deadline-Ms", str(int(DEADLINE_S * 1000)))]
    return connection.ask("POST", "/turn/2f", fields, f"events={events}".encode())


async def play(deployment):
    deployment.configure(1, [route("r-turn", "/turn/", "streaming", "llm")], [engine("llm")])
    for n in range(3):
        await deployment.add_worker(f"llm-{n}", "llm", stream_of(lambda r: int(r.body.split(b"=")[1]), GAP_S), zone=f"zone-{'abc'[n]}", is_model=True)
    await deployment.start_entries(3)
    entry = deployment.entries[0]
    connections = [Connection(deployment, entry.front, f"client-{n}") for n in range(CLIENTS)]
    first = await asyncio.gather(*[turn(it, 2) for it in connections])
    if not all(it.complete and it.status == 200 for it in first):
        return ["the deployment serves no turn before the stop"]

    term_at = now()
    stop = asyncio.create_task(entry.stop()) if deployment.trouble else None

    async def late(n):
        # The connections stay with their machine; each client goes on using its own until it is closed.
        await asyncio.sleep(EXCUSED_S + 0.2 + 0.04 * n)
        if not connections[n].is_open:
            return None
        return await turn(connections[n], LONG_EVENTS)

    answers = await asyncio.gather(*[late(n) for n in range(CLIENTS)])
    if stop:
        await stop
    broken = []
    for it in answers:
        if it is None or it.complete:
            continue
        runs = deployment.runs_of(it.id)
        sent, ended = it.sent_at - term_at, it.ended_at - term_at
        # The rule's excuses: sent up to 3 s after SIGTERM, the deadline or the route's timeout was reached, the grace period is over.
        if runs and sent > EXCUSED_S and it.ended_at - it.sent_at < DEADLINE_S and ended < GRACE_S:
            broken.append(f"LOST: {it.id}, sent {sent:.2f} s after SIGTERM, passed on to {runs[0][2]}, got {it.events} of {LONG_EVENTS} "
                          f"events, cut {ended:.2f} s after SIGTERM and {it.ended_at - it.sent_at:.2f} s after it was sent")
    if deployment.trouble and all(it is None for it in answers):
        deployment.record.line("check", "the machine had closed all kept connections before 3.2 s")
    return broken


main(play, record="record.txt")
