"""Clients that misbehave, against a real proxy or a real entry. Usage: clients_test.py BUILD_DIR [--binary FILE] [TEST ...]

Each test starts `vanillahalld role=proxy` with lowered limits, a stand-in store and a stand-in server on loopback addresses, or an entry with
the stand-ins of tests/standins and its default limits, plays one kind of client load, and guards against the same failures: the process ends, its memory or its descriptors exceed the bound, or an ordinary request
isn't answered although the load continues. Waits have long time-outs and end as soon as the expected state is reached.
"""

import argparse
import asyncio
import json
import os
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import unittest

for folder in (("review", "lib"), ("tools",)):
    sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", *folder))

import deployment as processes  # pylint: disable=wrong-import-position
from standins import HOST, Deployment, Worker, answer_after, plain, route  # pylint: disable=wrong-import-position

BUILD = None
BINARY = None
MEMORY_MB = 40       # proxy.memory_mb, and the bound of VmHWM.
MAX_FILES = 700      # proxy.max_files, and RLIMIT_NOFILE of the process.
SPARE_FILES = 20     # Descriptors that stay free for the store and for servers.
MAX_BODY = 4194304   # maxBodyBytes of the configuration.
MAX_HEAD = 16384     # maxHeaderBytes of the configuration.
WAIT_S = 25.0        # Limit of each wait.
SEND_S = 2.0         # A client that can't send for this time stops sending and stays connected.
LARGE_ANSWER = 200000
ENTRY_MEMORY_MB = 160  # Bound of VmHWM of an entry: 24 MB idle, 64 MB of unsent responses, the stored program, and what is being encoded.
ENTRY_FILES = 400      # Bound of the descriptors of an entry.


def head(path="/plain/x", fields=(), method="POST", request_id="crowd"):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Request-Id: {request_id}", *fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def body_request(size, sent, path="/plain/x"):
    """A request that announces `size` bytes and sends `sent` of them."""
    return head(path, [f"Content-Length: {size}"]) + b"b" * sent


def chunked_request(piece, sent):
    return head(fields=["Transfer-Encoding: chunked"]) + (b"%x\r\n" % piece + b"c" * piece + b"\r\n") * (sent // piece)


def many_fields(is_finished, path="/plain/x"):
    """A head just below the limit whose fields have the shortest possible names and no values."""
    start = head(path, ["Content-Length: 100"])[:-2]
    fields = b"a:\r\n" * ((MAX_HEAD - len(start) - 8) // 4)
    return start + fields + (b"\r\n" if is_finished else b"")


def peak_mb(pid):
    with open(f"/proc/{pid}/status", encoding="utf-8") as status:
        return next(int(it.split()[1]) for it in status if it.startswith("VmHWM")) / 1024


class Crowd:
    """Clients that keep their connections open and never read."""

    def __init__(self):
        self.sockets = []
        self.tasks = []
        self.has_ended = False

    async def open(self, address, reads_little=True):
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setblocking(False)
        if reads_little:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        host, port = address
        try:
            await asyncio.wait_for(loop.sock_connect(sock, (host, port)), SEND_S)
        except (OSError, asyncio.TimeoutError):
            sock.close()
            return None
        self.sockets.append(sock)
        return sock

    @staticmethod
    async def send(sock, data, piece=None, pause_s=0.0):
        loop = asyncio.get_running_loop()
        try:
            for n in range(0, len(data), piece or len(data)):
                await asyncio.wait_for(loop.sock_sendall(sock, data[n:n + (piece or len(data))]), SEND_S)
                await asyncio.sleep(pause_s)
        except (OSError, asyncio.TimeoutError):
            return False
        return True

    async def _one(self, address, data, piece, pause_s):
        sock = await self.open(address)
        if sock is not None:
            await self.send(sock, data, piece, pause_s)

    async def play(self, address, data, count, piece=None, pause_s=0.0):
        await asyncio.gather(*(self._one(address, data, piece, pause_s) for _ in range(count)))

    async def _return(self, address, data):
        loop = asyncio.get_running_loop()
        while not self.has_ended:
            sock = await self.open(address)
            if sock is None:
                await asyncio.sleep(0.05)
                continue
            await self.send(sock, data)
            try:
                while await loop.sock_recv(sock, 4096):
                    pass
            except OSError:
                pass
            self.sockets.remove(sock)
            sock.close()
            await asyncio.sleep(0.01)  # Lets the other clients run.

    def keep_returning(self, address, data, count):
        """Clients that connect and send again as soon as they are closed."""
        self.tasks += [asyncio.ensure_future(self._return(address, data)) for _ in range(count)]

    async def end(self):
        self.has_ended = True
        for it in self.tasks:
            it.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for it in self.sockets:
            it.close()


class Proxy:
    """A proxy with its store and server."""

    def __init__(self):
        self.deployment = Deployment(os.devnull)
        self.folder = tempfile.TemporaryDirectory(prefix="clients-")
        self.process = None
        self.files = 0

    async def start(self):
        deployment = self.deployment
        await deployment.store.start()
        deployment.configure(1, [route("plain", "/plain", "idempotent", "plain"), route("large", "/large", "idempotent", "large"),
                                 route("once", "/once", "non_idempotent", "slow", timeoutMs=8000),
                                 route("chat", "/chat", "streaming", "plain", timeoutMs=20000)], [plain("plain"), plain("large"), plain("slow")],
                             {"maxHeaderBytes": MAX_HEAD, "maxBodyBytes": MAX_BODY, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000})
        for name, body, seconds in (("plain", b"x" * 800, 0.0), ("large", b"y" * LARGE_ANSWER, 0.0), ("slow", b"", 6.0)):
            worker = Worker(deployment, name, name, answer_after(seconds, body))
            await worker.start()
            worker.register()
        ports = []
        for _ in range(4):
            with socket.socket() as sock:
                sock.bind(("127.0.0.1", 0))
                ports.append(sock.getsockname()[1])
        self.ready, self.metrics, self.peer, self.operator = [("127.0.0.1", it) for it in ports]
        settings = os.path.join(self.folder.name, "proxy.ini")
        with open(settings, "w", encoding="utf-8") as file:
            file.write("[process]\nrole = proxy\nname = a\nzone = z\nregion = r\n[proxy]\nlisten = 127.0.0.1:0\n"
                       f"ready_listen = 127.0.0.1:{ports[0]}\nmetrics_listen = 127.0.0.1:{ports[1]}\npeer_listen = 127.0.0.1:{ports[2]}\n"
                       f"operator_listen = 127.0.0.1:{ports[3]}\n"
                       f"max_files = {MAX_FILES}\nmemory_mb = {MEMORY_MB}\ngrace_s = 6\n[platform]\nstore = {deployment.store.address}\n")
        self.log = os.path.join(self.folder.name, "log")

        def limit_files():
            resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_FILES, MAX_FILES))
        with open(self.log, "wb") as log:
            self.process = subprocess.Popen([BINARY, "--config", settings], stdout=log, stderr=log, preexec_fn=limit_files)
        await self.until(self.find_port, "start")
        await self.until(self.is_served, "first answer")

    async def find_port(self):
        with open(self.log, encoding="utf-8", errors="replace") as log:
            for line in log:
                if "process_started" in line and "port=" in line:
                    self.front = ("127.0.0.1", int(line.split("port=")[1].split()[0].strip('"}')))
                    return True
        return False

    async def until(self, condition, what):
        end = asyncio.get_running_loop().time() + WAIT_S
        while not await condition():
            if self.process.poll() is not None:
                raise AssertionError(f"the process has ended with {self.process.returncode}")
            if asyncio.get_running_loop().time() > end:
                raise AssertionError(f"not within {WAIT_S} s: {what}")
            self.measure()
            await asyncio.sleep(0.05)

    async def ask(self, address, data):
        """Returns the status of the answer to a request on a connection of its own, 0 without one."""
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), 2.0)
            writer.write(data)
            line = await asyncio.wait_for(reader.readline(), 5.0)
            writer.close()
            return int(line.split(b" ")[1]) if line else 0
        except (OSError, asyncio.TimeoutError):
            return 0

    async def is_served(self):
        return await self.ask(self.front, body_request(100, 100)) == 200

    async def is_ready(self):
        return await self.ask(self.ready, b"GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n") == 200

    def measure(self):
        self.files = max(self.files, len(os.listdir(f"/proc/{self.process.pid}/fd")))

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.deployment.end()
        self.folder.cleanup()


class ClientsTest(unittest.TestCase):
    """One test for each kind of client load."""

    def play(self, load, serves=True):
        """Plays `load(proxy, crowd)` and checks the process while the crowd is still connected."""
        async def run():
            proxy, crowd = Proxy(), Crowd()
            try:
                await proxy.start()
                await load(proxy, crowd)
                if serves:
                    proxy.measure()
                    await proxy.until(proxy.is_served, "an ordinary request")
                    await proxy.until(proxy.is_ready, "readiness")
                    self.check(proxy)
            finally:
                await crowd.end()
                proxy.end()
        asyncio.run(run())

    def check(self, proxy):
        proxy.measure()
        self.assertIsNone(proxy.process.poll(), "the process has ended")
        peak = peak_mb(proxy.process.pid)
        print(f"{self.id().rsplit('.')[-1]}: VmHWM {peak:.1f} MB, {proxy.files} descriptors", flush=True)
        self.assertLess(peak, MEMORY_MB, "memory")
        self.assertLess(proxy.files, MAX_FILES - SPARE_FILES, "descriptors")

    def test_bodies_over_the_limit(self):
        async def load(proxy, crowd):
            await asyncio.gather(crowd.play(proxy.front, body_request(1 << 30, 6000000), 20),
                                 crowd.play(proxy.front, chunked_request(1000, 6000000), 20))
        self.play(load)

    def test_one_request_of_the_largest_size(self):
        """Without other load a request within the limits is served, however its body is sent."""
        async def load(proxy, crowd):  # pylint: disable=unused-argument
            self.assertEqual(await proxy.ask(proxy.front, body_request(MAX_BODY, MAX_BODY)), 200)
            chunked = chunked_request(65536, MAX_BODY) + b"0\r\n\r\n"
            self.assertEqual(await proxy.ask(proxy.front, chunked), 200)
            fields = ["x-%d: 1" % n for n in range(1200)] + ["Content-Length: 1"]
            self.assertEqual(await proxy.ask(proxy.front, head(fields=fields) + b"e"), 200)
        self.play(load)

    def test_requests_whose_clients_leave(self):
        """Requests that run on after their clients have left, since they must not be repeated."""
        async def load(proxy, crowd):  # pylint: disable=unused-argument
            for _ in range(6):
                leaving = Crowd()
                await leaving.play(proxy.front, body_request(1000000, 1000000, "/once/x"), 60)
                await leaving.end()
        self.play(load)

    def test_idle_connections(self):
        async def load(proxy, crowd):
            await asyncio.gather(*(crowd.open(proxy.front) for _ in range(900)))
        self.play(load)

    def test_bodies_and_fields(self):
        async def load(proxy, crowd):
            await asyncio.gather(crowd.play(proxy.front, body_request(MAX_BODY, 1000000), 60), crowd.play(proxy.front, many_fields(True), 120),
                                 crowd.play(proxy.front, head("/large/x", method="GET") * 40, 20))
        self.play(load)

    def test_a_crowd_that_returns(self):
        async def load(proxy, crowd):
            crowd.keep_returning(proxy.front, body_request(MAX_BODY, MAX_BODY - 1), 60)
            crowd.keep_returning(proxy.front, many_fields(True), 120)
            await asyncio.sleep(4)
        self.play(load)

    def test_a_planned_stop(self):
        async def load(proxy, crowd):
            crowd.keep_returning(proxy.front, body_request(MAX_BODY, 1000000), 60)
            await crowd.play(proxy.front, many_fields(True), 100)
            await crowd.play(proxy.front, head("/large/x", method="GET") * 40, 20)
            self.check(proxy)
            proxy.process.send_signal(signal.SIGTERM)
            end = asyncio.get_running_loop().time() + WAIT_S
            while proxy.process.poll() is None and asyncio.get_running_loop().time() < end:
                await asyncio.sleep(0.05)
            self.assertEqual(proxy.process.poll(), 0, "exit code of the planned stop")
        self.play(load, serves=False)

    def test_a_silent_store(self):
        """Requests that wait for the store and whose clients leave at once."""
        async def load(proxy, crowd):
            proxy.deployment.store.away = "silent"
            await asyncio.sleep(2.5)
            for n in range(120):
                fields = ["Program-Id: p%d" % n, "Token-Budget: 100000", "Token-Usage: 10,100", "Content-Length: 4000"]
                waiting = Crowd()
                await waiting.play(proxy.front, head("/chat/x", fields) + b"d" * 4000, 100)
                await waiting.end()
            self.check(proxy)
            proxy.deployment.store.away = None
        self.play(load)

    def test_complete_bodies_and_a_silent_store(self):
        """Guards as well against the refusal of ordinary requests while large ones wait for the store."""
        async def load(proxy, crowd):
            proxy.deployment.store.away = "silent"
            fields = ["Program-Id: p", "Token-Budget: 100000", "Token-Usage: 10,100", "Content-Length: 2000000"]
            crowd.keep_returning(proxy.front, head("/chat/x", fields) + b"f" * 2000000, 40)
            await asyncio.sleep(3)
        self.play(load)

    def listener(self, name, path):
        async def load(proxy, crowd):
            address = getattr(proxy, name)
            await crowd.play(address, body_request(2000000, 1999999, path), 60)
            await crowd.play(address, many_fields(True, path)[:8000], 100)
            await asyncio.gather(*(crowd.open(address) for _ in range(700)))
            crowd.keep_returning(address, body_request(2000000, 1999999, path), 40)
        self.play(load)

    def test_readiness_listener(self):
        self.listener("ready", "/api/readiness")

    def test_metrics_listener(self):
        self.listener("metrics", "/metrics")

    def test_peer_listener(self):
        self.listener("peer", "/api/rows-tx")

    def test_operator_listener(self):
        self.listener("operator", "/where")


class EntryTest(unittest.TestCase):
    """Clients of the role entry."""

    def test_unread_answers_at_an_entry(self):
        """The responses, of 1.4 MB each, were held for as long as the clients stayed connected without reading."""
        deployment = processes.Deployment(BUILD, entries=1, gates=1, services=0)
        self.addCleanup(deployment.stop)
        deployment.start()
        address, token = deployment.address("entry-1"), deployment.tokens["klokwerk"]

        def ask(method, path, body=None):
            status, answer, _ = processes.request(address, method, path, body, token)
            self.assertIn(status, (200, 201), answer)
            return answer
        program = ask("POST", "/v1/programs", {"class": "diagnosis", "budget": {"tokens": 100000000, "calls": 100, "seconds": 3600}})["program"]
        for turn in range(1, 11):
            ask("POST", f"/v1/programs/{program}/calls", {"turn": turn, "kind": "model", "model": "bell-diagnosis", "max_tokens": 5, "stream": False,
                                                          "messages": [{"role": "user", "content": "m" * 140000}]})
        self.assertGreater(len(json.dumps(ask("GET", f"/v1/programs/{program}/history"))), 1400000)
        data = f"GET /v1/programs/{program}/history HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {token}\r\n\r\n".encode()
        process = deployment.processes["entry-1"].process

        async def run():
            crowd = Crowd()
            try:
                host, port = address.rsplit(":", 1)
                await crowd.play((host, int(port)), data, 250)
                await asyncio.sleep(3)
                loop = asyncio.get_running_loop()
                await loop.run_in_executor(None, ask, "GET", f"/v1/programs/{program}")
                files = len(os.listdir(f"/proc/{process.pid}/fd"))
            finally:
                await crowd.end()
            return files
        files = asyncio.run(run())
        self.assertIsNone(process.poll(), "the process has ended")
        peak = peak_mb(process.pid)
        print(f"unread_answers_at_an_entry: VmHWM {peak:.1f} MB, {files} descriptors", flush=True)
        self.assertLess(peak, ENTRY_MEMORY_MB, "memory")
        self.assertLess(files, ENTRY_FILES, "descriptors")


# Loads of one kind of client.
LOADS = {
    "bodies_in_one_piece": lambda proxy, crowd: crowd.play(proxy.front, body_request(MAX_BODY, MAX_BODY - 1), 40),
    "bodies_in_small_pieces": lambda proxy, crowd: crowd.play(proxy.front, body_request(MAX_BODY, 300000), 100, piece=3000),
    "bodies_in_chunks_of_a_byte": lambda proxy, crowd: crowd.play(proxy.front, chunked_request(1, 100000), 100),
    "bodies_in_large_chunks": lambda proxy, crowd: crowd.play(proxy.front, chunked_request(60000, 2200000), 60),
    "short_fields_in_finished_heads": lambda proxy, crowd: crowd.play(proxy.front, many_fields(True), 200),
    "short_fields_in_unfinished_heads": lambda proxy, crowd: crowd.play(proxy.front, many_fields(False), 200),
    "unread_answers_without_a_route": lambda proxy, crowd: crowd.play(proxy.front, head("/nowhere", request_id="r" * 8000, method="GET") * 1500, 8),
    "unread_answers_of_a_server": lambda proxy, crowd: crowd.play(proxy.front, head("/large/x", method="GET") * 60, 30),
    "unread_answers_at_readiness": lambda proxy, crowd: crowd.play(proxy.ready, b"GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n" * 30000, 8),
    "requests_sent_ahead": lambda proxy, crowd: crowd.play(proxy.front, head("/large/x", method="GET") + body_request(10000, 10000) * 40, 200),
    "a_byte_at_a_time": lambda proxy, crowd: crowd.play(proxy.front, body_request(1000, 1000)[:150], 200, piece=1, pause_s=0.01),
    "more_connections_than_descriptors": lambda proxy, crowd: crowd.play(proxy.front, head()[:20], 900),
}
for title, play in LOADS.items():
    setattr(ClientsTest, "test_" + title, lambda self, load=play: self.play(load))

if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("build")
    parser.add_argument("--binary")
    arguments, names = parser.parse_known_args()
    BUILD = arguments.build
    BINARY = arguments.binary or os.path.join(arguments.build, "packages", "daemon", "vanillahalld")
    unittest.main(argv=[sys.argv[0], *(f"{'EntryTest' if hasattr(EntryTest, it) else 'ClientsTest'}.{it}" for it in names)], verbosity=2)
