"""Runs a small deployment in the foreground until interrupted. Usage: up.py BUILD_DIR; the environment variables ENTRIES, GATES and SERVICES
set the number of processes."""

import os
import signal
import sys

from deployment import Deployment, DeploymentError


def main():
    build = sys.argv[1]
    counts = {name: int(os.environ.get(name.upper(), default)) for name, default in (("entries", 2), ("gates", 3), ("services", 1))}
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        with Deployment(build, **counts) as deployment:
            deployment.start()
            for name in deployment.processes:
                scheme = "http://" if name.startswith("entry-") else ""
                print(name, scheme + deployment.address(name))
            for name, value in deployment.tokens.items():
                print("token", name, value)
            print("ready", flush=True)
            signal.pause()
    except KeyboardInterrupt:
        return 0
    except DeploymentError as reason:
        print(f"up: {reason}", file=sys.stderr)
        return 1


if __name__ == "__main__":
    sys.exit(main())
