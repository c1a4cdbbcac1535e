"""A planned restart of one machine spends tokens that no turn has got: programs are answered 402 inside their budget."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))

from standins import Connection, engine, main, route, stream_of  # pylint: disable=wrong-import-position

PROGRAMS = 20
TURNS = 8             # The budget holds 8 turns at their most, as in PROTOCOL.md's example (Token-Budget 2304, Token-Usage 1840,288).
EVENTS = 4
TOKENS = 7 * EVENTS   # tokensPerEvent is 7; each turn generates its most.
BUDGET = TURNS * TOKENS


def turn(connection, program):
    fields = [("Model", "m"), ("Token-Usage", f"800,{TOKENS}"), ("Deadline-Ms", "4000"), ("Program-Id", program), ("Session-Id", program),
              ("Program-Deadline-Ms", "60000"), ("Token-Budget", str(BUDGET))]
    return connection.ask("POST", "/turn/4b", fields, f"turn of {program}".encode())


async def play(deployment):
    deployment.configure(1, [route("r-turn", "/turn/", "streaming", "llm")], [engine("llm")])
    for n in range(3):
        await deployment.add_worker(f"llm-{n}", "llm", stream_of(EVENTS, 0.03), zone=f"zone-{'abc'[n]}")
    await deployment.start_entries(3)
    first, second, _ = deployment.entries
    requests = 0
    broken = []
    restarted = asyncio.Event()
    begun = 0

    async def program(n):
        nonlocal requests, begun
        name = f"{n:02x}fa81c"
        connection = Connection(deployment, first.front, f"program-{n}")
        used = 0
        for k in range(TURNS):
            if k == 1:
                begun += 1
                await restarted.wait()
                if deployment.trouble:
                    # The platform gives a stopping machine no new connections, so the program goes on through the other one.
                    connection = Connection(deployment, second.front, f"program-{n}")
            for _ in range(3):
                requests += 1
                answer = await turn(connection, name)
                used += 7 * answer.events
                if answer.status != 503:
                    break
                await asyncio.sleep(0.3)
            if answer.status == 402 and used + TOKENS <= BUDGET:
                broken.append(f"DENIED: turn {k + 1} of program {name} is answered 402; its turns got {used} of {BUDGET} tokens, "
                              f"one more turn takes {TOKENS} at most")
                return
            if not answer.complete or answer.status != 200:
                deployment.record.line("check", f"program {name} ends at turn {k + 1} with {answer.status} {answer.error}")
                return

    async def restart():
        while begun < PROGRAMS:
            await asyncio.sleep(0.02)
        if deployment.trouble:
            # SIGTERM after the first turns are answered; it comes back like each machine of a rolling restart.
            stop = asyncio.create_task(first.stop(restart_after_s=0.5))
            await asyncio.sleep(2.0)
            restarted.set()
            await stop
        restarted.set()

    await asyncio.gather(restart(), *[program(n) for n in range(PROGRAMS)])
    allowed = 5 + requests / 500
    deployment.record.line("check", f"requests={requests} denied={len(broken)} allowed={allowed:.2f}")
    return broken if len(broken) > allowed else []


main(play)
