"""Measures the latency added by an entry and a gate to a direct call, and the resource use of each process. Usage: bench_path.py BUILD_DIR

Each line is `name: value unit`; the direct call to the engine stand-in is the baseline of the same run.
"""

import os
import subprocess
import sys

from deployment import LOOPBACK, Deployment, request

TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")
ENGINE = ["--decode-us-per-token", "0", "--prefill-us-per-token", "0", "--slots", "600"]


def processor_seconds(deployment, name):
    with open(f"/proc/{deployment.processes[name].process.pid}/stat", encoding="utf-8") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_megabytes(deployment, name):
    with open(f"/proc/{deployment.processes[name].process.pid}/statm", encoding="utf-8") as file:
        return int(file.read().split()[1]) * PAGE / 2**20


def load(deployment, name, target, programs, turns, tokens):
    """Runs the load generator against `target`. Returns its figures by name."""
    token = deployment.tokens["klokwerk"] if target.startswith("entry") else "-"
    argv = [os.path.join(deployment.build, "tests/path_load"), name, LOOPBACK, str(deployment.processes[target].ports[0]), token,
            str(programs), str(turns), str(tokens)]
    done = subprocess.run(argv, capture_output=True, text=True, timeout=300, check=False)
    print(done.stdout, end="")
    return {line.split(": ")[0]: float(line.split(": ")[1].split()[0]) for line in done.stdout.splitlines()}


def show(name, value, unit):
    print(f"{name}: {value:.3f} {unit}", flush=True)


def store_counts(deployment):
    return request(deployment.address("store"), "GET", "/v1/counters")[1]


def measure_overhead(deployment):
    """Compares programs of 71 turns (the longest of the users) and 500 turns with direct calls, which carry no history."""
    load(deployment, "warm", "entry-1", 1, 50, 1)
    for turns in (71, 500):
        direct = load(deployment, f"direct_{turns}_turns", "engine-1", 1, turns, 16)
        path = load(deployment, f"path_{turns}_turns", "entry-1", 1, turns, 16)
        for what in ("first_token_p50", "first_token_p99", "call_p50", "call_p99"):
            show(f"added_{what}_in_a_program_of_{turns}_turns", path[f"path_{turns}_turns_{what}"] - direct[f"direct_{turns}_turns_{what}"], "ms")


def measure_slopes(deployment):
    """Derives the processor time per call and per streamed token from two response lengths."""
    used = {}
    for tokens in (1, 65):
        before = {name: processor_seconds(deployment, name) for name in ("entry-1", "model-1")}
        counts = store_counts(deployment)
        figures = load(deployment, f"load_{tokens}_tokens", "entry-1", 32, 60, tokens)
        calls = figures[f"load_{tokens}_tokens_calls"]
        for name, start in before.items():
            used[name, tokens] = 1e6 * (processor_seconds(deployment, name) - start) / calls
            show(f"{name}_processor_per_call_of_{tokens}_tokens", used[name, tokens], "us")
        after = store_counts(deployment)
        for kind in after:
            if isinstance(after[kind], (int, float)):
                show(f"store_{kind}_per_call", (after[kind] - counts.get(kind, 0)) / calls, "1/call")
    for name in ("entry-1", "model-1"):
        per_token = (used[name, 65] - used[name, 1]) / 64
        show(f"{name}_processor_per_token", per_token, "us")
        show(f"{name}_processor_per_call", used[name, 1] - per_token, "us")
        show(f"{name}_calls_of_1_token_one_core_sustains", 1e6 / used[name, 1], "1/s")


def measure_memory(deployment):
    for name in ("entry-1", "model-1"):
        show(f"{name}_resident_after_load", resident_megabytes(deployment, name), "MiB")
    request(deployment.address("engine-1"), "POST", "/fault", {"kind": "slow", "ms": 3000, "match": "completions", "count": 500})
    argv = [os.path.join(deployment.build, "tests/path_load"), "streams", LOOPBACK, str(deployment.processes["entry-1"].ports[0]),
            deployment.tokens["klokwerk"], "500", "1", "16"]
    with subprocess.Popen(argv, stdout=subprocess.DEVNULL) as streams:
        try:
            streams.wait(2)
        except subprocess.TimeoutExpired:
            pass
        for name in ("entry-1", "model-1"):
            show(f"{name}_resident_with_500_calls_open", resident_megabytes(deployment, name), "MiB")
        streams.wait(120)


def main():
    with Deployment(sys.argv[1], entries=1, gates=1, services=0, zones=1, engine_options=ENGINE) as deployment:
        deployment.start()
        for name in ("entry-1", "model-1"):
            show(f"{name}_resident_idle", resident_megabytes(deployment, name), "MiB")
        measure_overhead(deployment)
        measure_slopes(deployment)
        measure_memory(deployment)
    return 0


if __name__ == "__main__":
    sys.exit(main())
