"""A planned restart of one machine spends tokens that no turn has got: programs are answered 402 inside their budget."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))

from standins import Balancer, Connection, engine, main, now, route, stream_of  # pylint: disable=wrong-import-position

PROGRAMS = 40
PER_SECOND = 10       # New programs at one machine of three; the sheet has 27 a second for nine machines, before bursts.
TURNS = 8             # The budget holds 8 turns at their most, as in PROTOCOL.md's example (Token-Budget 2304, Token-Usage 1840,288).
EVENTS = 10           # The sheet's mean; each turn generates its most.
GAP_S = 0.03
PAUSE_S = 0.6         # Between two turns.
TOKENS = 7 * EVENTS   # tokensPerEvent is 7.
BUDGET = TURNS * TOKENS
TERM_AT_S = 1.5
CONTACT_S = 3.0       # contactMs: a machine that was started is in touch after this time.


def turn(connection, program):
    fields = [("Model", "m"), ("Token-Usage", f"800,{TOKENS}"), ("Deadline-Ms", "4000"), ("Program-Id", program), ("Session-Id", program),
              ("Program-Deadline-Ms", "60000"), ("Token-Budget", str(BUDGET))]
    return connection.ask("POST", "/turn/4b", fields, f"turn of {program}".encode())


async def play(deployment):
    deployment.configure(1, [route("r-turn", "/turn/", "streaming", "llm")], [engine("llm")])
    for n in range(9):
        await deployment.add_worker(f"llm-{n}", "llm", stream_of(EVENTS, GAP_S), zone=f"zone-{'abc'[n % 3]}", is_model=True)
    await deployment.start_entries(3)
    balancer = Balancer(deployment)
    restarted = deployment.entries[0]
    disturbed = []    # From SIGTERM until contactMs after the new start.
    requests = 0
    broken = []

    async def program(n):
        nonlocal requests
        await asyncio.sleep(n / PER_SECOND)
        name = f"{n:02x}fa81c"
        used = 0
        for k in range(TURNS):
            for _ in range(3):
                # A new connection for each attempt; all these clients have the hash of the first machine.
                entry = balancer.pick(0)
                connection = Connection(deployment, entry.front, f"program-{n}")
                requests += 1
                answer = await turn(connection, name)
                connection.close()
                used += 7 * answer.events
                if answer.status != 503 and answer.status:
                    break
                await asyncio.sleep(0.3)
            in_touch = entry is not restarted or not disturbed or answer.sent_at > disturbed[-1]
            if answer.status == 402 and used + TOKENS <= BUDGET and in_touch:
                broken.append(f"DENIED: turn {k + 1} of program {name} is answered 402 by {entry.name}; its turns got {used} of {BUDGET} "
                              f"tokens, one more turn takes {TOKENS} at most")
            if not answer.complete or answer.status != 200:
                deployment.record.line("check", f"program {name} ends at turn {k + 1} with {answer.status} {answer.error}")
                return
            await asyncio.sleep(PAUSE_S)

    async def restart():
        await asyncio.sleep(TERM_AT_S)
        if deployment.trouble:
            disturbed.append(now() + 60)
            await restarted.stop(restart_after_s=0.5)
            disturbed.append(now() + CONTACT_S)

    await asyncio.gather(restart(), *[program(n) for n in range(PROGRAMS)])
    balancer.task.cancel()
    allowed = 5 + requests / 500
    deployment.record.line("check", f"requests={requests} denied={len(broken)} allowed={allowed:.2f}")
    return broken if len(broken) > allowed else []


main(play, record="record.txt")
