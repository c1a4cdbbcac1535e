"""Runs a clapper diagnosis on a small deployment and prints the outcome of each turn. Usage: demo.py BUILD_DIR"""

import http.client
import json
import sys
import time

from deployment import Deployment, DeploymentError, request

BUDGET = {"tokens": 200000, "calls": 40, "seconds": 600}
TOOL_PAUSE_SECONDS = 0.5


class Caller:
    """Client of the native interface that needs only the standard library."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.token = deployment.tokens["klokwerk"]
        self.sent = 0

    def _address(self):
        entries = self.deployment.entries()
        self.sent += 1
        return self.deployment.address(entries[self.sent % len(entries)])

    def ask(self, method, path, body=None, expect=200):
        status, answer, _ = request(self._address(), method, path, body, self.token)
        if status != expect:
            raise DeploymentError(f"{method} {path}: expected {expect}, found {status}: {answer}")
        return answer

    def create(self, parent=None):
        body = {"parent": parent} if parent else {"class": "diagnosis", "budget": BUDGET}
        return self.ask("POST", "/v1/programs", body, 201)["program"]

    def model(self, program, turn, text, label):
        body = {"turn": turn, "kind": "model", "model": "bell-diagnosis", "max_tokens": 48, "messages": [{"role": "user", "content": text}]}
        began = time.monotonic()
        answer = self.ask("POST", f"/v1/programs/{program}/calls", body)
        usage = answer["result"]["usage"]
        report(label, turn, began, answer, f"{usage['cached_tokens']} of {usage['prompt_tokens']} prompt tokens cached")
        return answer

    def stream(self, program, turn, text, label):
        body = {"turn": turn, "kind": "model", "model": "bell-diagnosis", "max_tokens": 48, "stream": True, "messages": [{"role": "user", "content": text}]}
        began = time.monotonic()
        host, port = self._address().rsplit(":", 1)
        connection = http.client.HTTPConnection(host, int(port), timeout=60)
        headers = {"Authorization": "Bearer " + self.token, "Content-Type": "application/json"}
        connection.request("POST", f"/v1/programs/{program}/calls", json.dumps(body), headers)
        pieces, answer, first = [], None, None
        for line in connection.getresponse():
            if not line.startswith(b"data: "):
                continue
            event = json.loads(line[6:])
            if "tokens" in event:
                first = first or time.monotonic()
                pieces += event["tokens"]
            else:
                answer = event
        connection.close()
        if answer is None or "result" not in answer or "".join(pieces) != answer["result"]["text"]:
            raise DeploymentError(f"turn {turn}: the streamed tokens differ from the final answer: {answer}")
        report(label, turn, began, answer, f"streamed {len(pieces)} tokens, the first after {1000 * (first - began):.0f} ms")
        return answer

    def service(self, program, turn, operation, body, repeatable, label):
        call = {"turn": turn, "kind": "service", "service": "booking", "operation": operation, "body": body, "repeatable": repeatable}
        began = time.monotonic()
        answer = self.ask("POST", f"/v1/programs/{program}/calls", call)
        report(label, turn, began, answer, "may be repeated" if repeatable else "runs at most once")
        return answer


def report(label, turn, began, answer, detail):
    latency = 1000 * (time.monotonic() - began)
    print(f"  turn {turn}  {label:<28} {latency:7.1f} ms  at {answer['server']:<10} {detail}")


def run(deployment):
    caller = Caller(deployment)
    program = caller.create()
    print(f"program {program} of class diagnosis")
    caller.model(program, 1, "Photo of the tenor bell's clapper: the ball is worn flat on one side. " * 8, "photos and notes")
    caller.stream(program, 2, "The ringer says that it has sounded dull since spring.", "diagnosis, streamed")
    print(f"  tool pause of {TOOL_PAUSE_SECONDS} s")
    time.sleep(TOOL_PAUSE_SECONDS)
    caller.model(program, 3, "The gauge reads 11 mm of wear.", "measurement")
    agent = caller.create(parent=program)
    print(f"sub-agent {agent}")
    caller.model(agent, 1, "Find the price of forging a ball of 40 kg.", "price by the sub-agent")
    caller.ask("POST", f"/v1/programs/{agent}/end")
    caller.model(program, 4, "Write the quote.", "quote")
    order = {"from": "St. Bavo", "to": "workshop"}
    first = caller.service(program, 5, "courier", order, False, "courier order")
    again = caller.service(program, 5, "courier", order, False, "courier order, sent again")
    if not again["replayed"] or again["result"]["body"] != first["result"]["body"]:
        raise DeploymentError(f"the courier order was not replayed: {again}")
    check_end(caller, deployment, program)


def check_end(caller, deployment, program):
    history = caller.ask("GET", f"/v1/programs/{program}/history")["turns"]
    if [turn["turn"] for turn in history] != [1, 2, 3, 4, 5]:
        raise DeploymentError(f"the history is incomplete or out of order: {[turn['turn'] for turn in history]}")
    state = caller.ask("GET", f"/v1/programs/{program}")
    print(f"spent {state['spent']['tokens']} tokens in {state['spent']['calls']} calls; held by {state['holder']}")
    caller.ask("POST", f"/v1/programs/{program}/end")
    _, counters, _ = request(deployment.address("booking-1"), "GET", "/v1/counters")
    runs = sum(counters["runs"].values())
    if runs != 1:
        raise DeploymentError(f"the courier order ran {runs} times")
    wait_for_release(deployment)


def wait_for_release(deployment):
    engines = [name for name in deployment.processes if name.startswith("engine-")]
    deadline = time.monotonic() + 10
    while time.monotonic() < deadline:
        held = [pin for name in engines for pin in request(deployment.address(name), "GET", "/v1/pins")[1]["pins"]]
        if not held:
            print("ended; no engine memory is held")
            return
        time.sleep(0.1)
    raise DeploymentError(f"engine memory is still held: {held}")


def main():
    try:
        with Deployment(sys.argv[1]) as deployment:
            deployment.start()
            run(deployment)
    except (DeploymentError, OSError) as reason:
        print(f"demo: failed: {reason}")
        return 1
    print("demo: ok")
    return 0


if __name__ == "__main__":
    sys.exit(main())
