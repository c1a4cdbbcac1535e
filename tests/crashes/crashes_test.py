"""Requests that crash servers, with real proxies. Usage: crashes_test.py BUILD_DIR [--seed N] [--seconds N] [TEST ...]

Three proxies, ten servers and a stand-in store on loopback addresses. Every 0.2 s a request comes that crashes the server that runs it; what the
requests have in common differs between the tests. Others go on beside them. Guards against requests that go on crashing servers because they
aren't recognized, and against harmless requests that are refused because they share something with them.
"""

import argparse
import asyncio
import os
import random
import sys
import tempfile
import unittest

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..")
sys.path.insert(0, os.path.join(ROOT, "review", "lib"))

import standins  # pylint: disable=wrong-import-position
from standins import Connection, Deployment, answer_after, engine, now, plain, route, stream_of  # pylint: disable=wrong-import-position

SEED = 1
SECONDS = 9.0      # Length of a play.
SETTLED_S = 3.0    # Time after the third crash until all proxies refuse the requests.
ALLOWED_LATER = 3  # Attempts later than that.
LIMIT = 3          # Crashes after which requests are refused.
GAP_S = 0.2        # Pause between two requests that crash servers.
PROMPT_S = 0.16    # Time from the arrival of such a request to the crash.
BACK_S = 1.5       # Time until a server that has crashed is back.
PROXIES = 3
SERVERS = 10
MARK = "deadly-"   # Beginning of the ids of requests that crash servers.


def turn(program, parts="a1:500"):
    return [("Model", "m"), ("Token-Usage", "800,35"), ("Deadline-Ms", "4000"), ("Program-Id", program), ("Session-Id", program),
            ("Token-Budget", "28000"), ("Prompt-Prefix", parts)]


def beginning(text):
    return text.encode() + b"." * 80


# For each test: requests that crash servers, and harmless ones, by their number: method, path, fields, body.
REQUESTS = {
    "same_bytes": (lambda n: ("POST", "/turn/2f", turn(f"{n:x}"), b"poison"),
                   lambda n: ("POST", "/turn/2f", turn(f"{n:x}"), b"turn %d" % n)),
    "other_bodies_on_a_path": (lambda n: ("POST", "/turn/bad", turn(f"{n % 7:x}"), beginning("turn") + b"x" * n),
                               lambda n: ("POST", f"/turn/{n % 5}", turn(f"{n % 7:x}"), beginning("turn") + b"x" * n)),
    "same_beginning": (lambda n: ("POST", "/turn/2f", turn(f"{n:x}"), beginning("poison") + b"x" * n),
                       lambda n: ("POST", "/turn/2f", turn(f"{n:x}"), beginning("turn") + b"x" * n)),
    "same_caller": (lambda n: ("POST", "/turn/2f", turn("bad"), b"%d" % n),
                    lambda n: ("POST", "/turn/2f", turn(f"{n % 9:x}"), b"turn %d" % n)),
    "same_prompt_part": (lambda n: ("POST", "/turn/2f", turn(f"{n:x}", f"a1:500,bad:20,{n:x}:30"), b"%d" % n),
                         lambda n: ("POST", "/turn/2f", turn(f"{n:x}", f"a1:500,c{n:x}:30"), b"turn %d" % n)),
    "other_programs_without_body": (lambda n: ("GET", "/get/bad", [("Program-Id", f"{n:x}"), ("Deadline-Ms", "1200")], b""),
                                    lambda n: ("GET", f"/get/{n % 5}", [("Program-Id", f"{n:x}"), ("Deadline-Ms", "1200")], b"")),
    "none": (None, lambda n: ("POST", f"/turn/{n % 5}", turn(f"{n:x}"), b"turn %d" % n)),
}


class Play:
    """One play of a deployment."""

    def __init__(self, deployment, name):
        self.deployment = deployment
        self.deadly, self.harmless = REQUESTS[name]
        self.random = random.Random(SEED)
        self.crashes = []
        self.reached = []
        self.asked = []
        self.refused = []

    async def crash(self, worker):
        await worker.crash()
        await asyncio.sleep(BACK_S)
        worker.born += 1
        host, port = worker.address.split(":")
        worker.server = await asyncio.start_server(worker._serve, host, int(port), limit=1 << 22)  # pylint: disable=protected-access
        worker.register()

    def work(self, usual):
        async def work(request):
            if not request.id.startswith(MARK):
                await usual(request)
                return
            self.reached.append(now())
            await asyncio.sleep(PROMPT_S)
            self.crashes.append(now())
            self.tasks.append(asyncio.create_task(self.crash(request.worker)))
        return work

    async def send_deadly(self):
        n = 0
        while now() < self.end:
            n += 1
            method, path, fields, body = self.deadly(n)
            connection = Connection(self.deployment, self.random.choice(self.deployment.entries).front, "deadly")

            async def ask(connection=connection, request=(method, path, fields, body), n=n):
                await connection.ask(*request, timeout=5.0, request_id=f"{MARK}{n:x}")
                connection.close()
            self.tasks.append(asyncio.create_task(ask()))
            await asyncio.sleep(GAP_S)

    async def send_harmless(self, client):
        n = client
        while now() < self.end:
            n += 8
            connection = Connection(self.deployment, self.random.choice(self.deployment.entries).front, "harmless")
            answer = await connection.ask(*self.harmless(n), timeout=5.0)
            connection.close()
            self.asked.append((answer.sent_at, answer.status == 200 and answer.complete))
            if answer.status == 503:
                self.refused.append(answer)
            await asyncio.sleep(0.02)

    async def end_servers(self):
        """Servers that end by themselves, two at a time."""
        while now() < self.end:
            await asyncio.sleep(1.3)
            for worker in self.random.sample(self.deployment.workers, 2):
                self.tasks.append(asyncio.create_task(self.crash(worker)))

    async def run(self):
        deployment = self.deployment
        await deployment.store.start()
        deployment.configure(1, [route("turn", "/turn/", "streaming", "llm", maxAttempts=2),
                                 route("get", "/get/", "idempotent", "app", timeoutMs=1200, sloMs=150, maxAttempts=2)],
                             [engine("llm"), plain("app")])
        self.tasks = []
        is_get = self.harmless(0)[0] == "GET"
        usual = self.work(answer_after(0.05) if is_get else stream_of(5, 0.03))
        for n in range(SERVERS):
            await deployment.add_worker(f"s-{n}", "app" if is_get else "llm", usual, zone=f"zone-{'abc'[n % 3]}", is_model=not is_get)
        await deployment.start_entries(PROXIES)
        self.end = now() + SECONDS
        trouble = self.send_deadly() if self.deadly else self.end_servers()
        await asyncio.gather(trouble, *[self.send_harmless(n) for n in range(8)])
        for it in self.tasks:
            it.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def quarantines(self):
        """Returns the log lines of features that a proxy refuses."""
        lines = []
        for it in self.deployment.entries:
            with open(it.log, encoding="utf-8", errors="replace") as log:
                lines += [line for line in log if "content_quarantined" in line and "event=1901" in line]
        return lines


class CrashesTest(unittest.TestCase):
    def play(self, name):
        deployment = Deployment(os.devnull)
        play = Play(deployment, name)
        try:
            asyncio.run(asyncio.wait_for(play.run(), 60.0 + SECONDS))
            quarantines = play.quarantines()
        finally:
            deployment.end()
        lost = sum(1 for _, is_served in play.asked if not is_served)
        print(f"{name}: crashes={len(play.crashes)} asked={len(play.asked)} lost={lost} refused={len(play.refused)}", end=" ", file=sys.stderr)
        self.assertGreater(len(play.asked), 20)
        if not play.deadly:
            self.assertEqual(quarantines, [])
            return
        self.assertGreaterEqual(len(play.crashes), LIMIT)
        settled = play.crashes[LIMIT - 1] + SETTLED_S
        self.assertLess(settled, play.end, "the third crash came too late for this play")
        self.assertLessEqual(sum(1 for it in play.reached if it > settled), ALLOWED_LATER)
        self.assertEqual(sum(1 for at, is_served in play.asked if at > settled and not is_served), 0)


for title in REQUESTS:
    setattr(CrashesTest, "test_" + title, lambda self, name=title: self.play(name))

if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("build")
    parser.add_argument("--seed", type=int, default=SEED)
    parser.add_argument("--seconds", type=float, default=SECONDS)
    arguments, names = parser.parse_known_args()
    SEED, SECONDS = arguments.seed, arguments.seconds
    with tempfile.TemporaryDirectory(prefix="crashes-") as root:
        # The stand-ins start the program that the deploy file names.
        for link, target in (("deploy", "deploy"), ("platform", "platform")):
            os.symlink(os.path.abspath(os.path.join(ROOT, target)), os.path.join(root, link))
        os.symlink(os.path.abspath(arguments.build), os.path.join(root, "target"))
        standins.ROOT = root
        unittest.main(argv=[sys.argv[0], *(f"CrashesTest.test_{it}" for it in names)], verbosity=2)
