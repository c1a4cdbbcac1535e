"""Starts a small deployment on this machine: stand-ins of the platform, gates, entries. Used by up.py, demo.py and the end-to-end tests."""

import http.client
import json
import os
import secrets
import select
import shutil
import signal
import subprocess
import tempfile
import time

LOOPBACK = "127.0.0.1"
READY_SECONDS = 20
STOP_SECONDS = 20


class DeploymentError(Exception):
    """Raised when a step of a deployment or a check fails."""


class ManagedProcess:
    """A process started by the deployment."""

    def __init__(self, name, argv, log_path):
        self.name = name
        self.argv = argv
        self.log_path = log_path
        self.ports = []
        self.process = None

    def start(self):
        """Starts the process and waits for its line `ready PORT ...`."""
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(self.argv, stdout=subprocess.PIPE, stderr=log)
        line = self._first_line()
        if not line.startswith("ready "):
            raise DeploymentError(f"{self.name}: expected 'ready PORT', found '{line}'; see {self.log_path}")
        self.ports = [int(word) for word in line.split()[1:]]

    def _first_line(self):
        readable, _, _ = select.select([self.process.stdout], [], [], READY_SECONDS)
        if not readable:
            raise DeploymentError(f"{self.name}: not ready within {READY_SECONDS} s; see {self.log_path}")
        return self.process.stdout.readline().decode().strip()

    def send(self, number):
        """Sends a signal to the process."""
        self.process.send_signal(number)

    def running(self):
        return self.process is not None and self.process.poll() is None

    def stop(self, number=signal.SIGTERM):
        """Stops the process, with SIGKILL after STOP_SECONDS. Returns its exit code."""
        if self.running():
            self.process.send_signal(signal.SIGCONT)
            self.process.send_signal(number)
            try:
                self.process.wait(STOP_SECONDS)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()
        return self.process.returncode if self.process else None


def request(address, method, path, body=None, token=None, headers=None, timeout=60):
    """Sends one request. Returns (status, decoded JSON or text, headers)."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        all_headers = dict(headers or {})
        if token:
            all_headers["Authorization"] = "Bearer " + token
        data = None
        if body is not None:
            data = json.dumps(body)
            all_headers["Content-Type"] = "application/json"
        connection.request(method, path, body=data, headers=all_headers)
        response = connection.getresponse()
        text = response.read().decode()
        answer_headers = {name.lower(): value for name, value in response.getheaders()}
    finally:
        connection.close()
    try:
        return response.status, json.loads(text), answer_headers
    except json.JSONDecodeError:
        return response.status, text, answer_headers


class Deployment:
    """Stand-ins, gates and entries on the loopback address, with ports chosen by the system."""

    def __init__(self, build, entries=2, gates=3, services=1, zones=3, engine_options=(), settings=None):
        self.build = os.path.abspath(build)
        self.folder = tempfile.mkdtemp(prefix="vanillahall-")
        self.zones = [f"zone-{chr(ord('a') + n)}" for n in range(zones)]
        self.counts = {"entries": entries, "gates": gates, "services": services}
        self.engine_options = list(engine_options)
        self.settings = settings or {}
        self.processes = {}
        self.tokens = {name: secrets.token_hex(16) for name in ("klokwerk", "larranaga", "operator")}
        self.key_file = self._write("link.key", secrets.token_hex(32) + "\n")
        self.tokens_file = self._write("tokens", self._tokens_text())
        self.operator_file = self._write("operator.token", self.tokens["operator"] + "\n")

    def _tokens_text(self):
        callers = [f"caller {name} {self.tokens[name]}" for name in ("klokwerk", "larranaga")]
        return "\n".join(callers + [f"operator operator {self.tokens['operator']}"]) + "\n"

    def _write(self, name, text):
        path = os.path.join(self.folder, name)
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return path

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop()

    def start(self):
        """Starts all processes in the order of their dependencies."""
        self.launch("store", "tests/standins/standin_store", ["--address", LOOPBACK, "--port", "0"])
        self.launch("vmlist", "tests/standins/standin_vmlist", ["--address", LOOPBACK, "--port", "0"])
        for n in range(self.counts["gates"]):
            self.add_model_server(n + 1)
        for n in range(self.counts["services"]):
            self.add_service_server(n + 1)
        for n in range(self.counts["entries"]):
            self.add_entry(n + 1)
        self.wait_until_served()
        self.wait_until_known()
        self.wait_until_configured()

    def launch(self, name, program, argv):
        running = ManagedProcess(name, [os.path.join(self.build, program)] + argv, os.path.join(self.folder, name + ".log"))
        self.processes[name] = running
        running.start()
        return running

    def address(self, name, index=0):
        return f"{LOOPBACK}:{self.processes[name].ports[index]}"

    def add_model_server(self, number):
        name = f"engine-{number}"
        argv = ["--address", LOOPBACK, "--port", "0", "--models", "bell-diagnosis,posture-review"] + self.engine_options
        self.launch(name, "tests/standins/standin_engine", argv)
        self.add_gate(f"model-{number}", number, {"kind": "model", "server": self.address(name)})

    def add_service_server(self, number):
        name = f"booking-{number}"
        self.launch(name, "tests/standins/standin_service", ["--address", LOOPBACK, "--port", "0", "--name", "booking"])
        self.add_gate(f"service-{number}", number, {"kind": "service", "service": "booking", "server": self.address(name)})

    def add_gate(self, name, number, gate):
        settings = {"process": self._process("gate", name, number), "link": self._link(), "gate": gate}
        self.launch(name, "packages/daemon/vanillahalld", ["--config", self._settings_file(name, settings)])
        self.list_vm(name, "server", self.address(name), number)

    def add_entry(self, number):
        name = f"entry-{number}"
        settings = {
            "process": self._process("entry", name, number),
            "link": self._link(),
            "entry": {"listen": f"{LOOPBACK}:0", "tokens_file": self.tokens_file, "default_class": "diagnosis"},
            "platform": {"store": self.address("store"), "vm_list": self.address("vmlist"), "vm_list_poll_ms": 500},
        }
        self.launch(name, "packages/daemon/vanillahalld", ["--config", self._settings_file(name, settings)])
        self.list_vm(name, "entry", self.address(name, 1), number)

    def _process(self, role, name, number):
        return {"role": role, "name": name, "zone": self.zones[(number - 1) % len(self.zones)]}

    def _link(self):
        return {"listen": f"{LOOPBACK}:0", "key_file": self.key_file}

    def _settings_file(self, name, settings):
        text = ""
        for section, values in settings.items():
            text += f"[{section}]\n"
            for key, value in {**values, **self.settings.get(section, {})}.items():
                text += f"{key} = {value}\n"
        for section, values in self.settings.items():
            if section not in settings:
                text += f"[{section}]\n" + "".join(f"{key} = {value}\n" for key, value in values.items())
        return self._write(name + ".ini", text)

    def list_vm(self, name, role, address, number):
        body = {"name": name, "role": role, "address": address, "zone": self.zones[(number - 1) % len(self.zones)], "state": "live"}
        status, answer, _ = request(self.address("vmlist"), "PUT", "/v1/vms/" + name, body)
        if status != 200:
            raise DeploymentError(f"vmlist: {status} {answer}")

    def entries(self):
        return sorted(name for name in self.processes if name.startswith("entry-"))

    def control(self, *words, entry="entry-1"):
        """Runs the command-line tool `vanillahall`. Returns (exit code, standard output, standard error)."""
        argv = [os.path.join(self.build, "packages/ctl/vanillahall"), "--entry", self.address(entry), "--token-file", self.operator_file]
        done = subprocess.run(argv + list(words), capture_output=True, text=True, timeout=60, check=False)
        return done.returncode, done.stdout, done.stderr

    def wait_until_served(self):
        """Sets the classes. Retries until the first change is accepted, which shows that the entries work."""
        deadline = time.monotonic() + READY_SECONDS
        for name, target in (("diagnosis", "60000"), ("posture-plan", "60000"), ("weekly-review", "600000")):
            while True:
                code, _, error = self.control("target", "set", name, target)
                if code == 0:
                    break
                if time.monotonic() > deadline:
                    raise DeploymentError(f"target set {name}: exit {code}: {error}")
                time.sleep(0.1)

    def wait_until_configured(self):
        """Waits until the latest configuration is in force at every process."""
        version = str(json.loads(self.control("config", "show")[1])["version"])
        for entry in self.entries():
            code, _, error = self.control("config", "wait", version, entry=entry)
            if code != 0:
                raise DeploymentError(f"config wait {version}: exit {code}: {error}")

    def wait_until_known(self):
        """Waits until every entry knows another one, which can take over its programs if it fails."""
        entries = self.entries()
        deadline = time.monotonic() + READY_SECONDS
        while len(entries) > 1:
            if all(self._knows_another_entry(entry) for entry in entries):
                return
            if time.monotonic() > deadline:
                raise DeploymentError(f"not every entry knew another entry within {READY_SECONDS} s")
            time.sleep(0.1)

    def _knows_another_entry(self, entry):
        _, state, _ = request(self.address(entry), "GET", "/v1/state", token=self.tokens["operator"])
        return any(it["name"] in self.entries() and it["name"] != entry for it in state["processes"])

    def stop(self):
        """Stops all processes: first entries, then gates, then stand-ins."""
        for name in sorted(self.processes, key=self._stop_rank):
            self.processes[name].stop()
        shutil.rmtree(self.folder, ignore_errors=True)

    @staticmethod
    def _stop_rank(name):
        ranks = {"entry": 0, "model": 1, "service": 1}
        return ranks.get(name.split("-")[0], 2), name
