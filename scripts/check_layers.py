#!/usr/bin/env python3
"""Fails if a module includes one that it may not use, src/oleanderwick/ contains names of the platform, or a file in src/ is too long."""
import pathlib
import re
import sys

LAYERS = ["core", "settings", "config", "admission", "routing", "allotment", "dispatch", "membership",
          "maintenance", "fairness", "jobs", "http", "store", "peer", "telemetry", "jobnode", "node"]
# Modules that each module may include besides itself.
ALLOWED = {
    "core": set(),
    "settings": {"core"},
    "config": {"core"},
    "admission": {"core"},
    "routing": {"core"},
    "allotment": {"core", "config"},
    "dispatch": {"core", "config", "admission", "routing", "allotment"},
    "membership": {"core", "config", "allotment", "dispatch"},
    "maintenance": {"core"},
    "fairness": {"core"},
    "http": {"core", "routing"},
    "store": {"core", "http"},
    "peer": {"core", "config", "http", "membership"},
    "telemetry": {"core", "dispatch"},
    "jobs": {"core", "admission", "fairness"},
    "jobnode": {"core", "admission", "jobs", "http", "telemetry"},
    "node": set(LAYERS) - {"node"},
}
MAX_LINES = 500
# Names of the users' platform, which src/oleanderwick/ must not contain.
PLATFORM_NAMES = ["Api-Key", "X-Lease-Holder", "X-Fencing-Token", "X-Expect-Instance", "X-Deadline-Ms", "/v1/kv-", "/v1/run-",
                  "/v1/hold", "/v1/machine", "/v1/advise", "op/config", "op/wave", "op/evacuate", "api_keys", "mem_mb", "ack_cursor",
                  "fencing_token", "long_running", "max_per_server", "enforce_capacity", "expected_rev"]


def main() -> int:
    root = pathlib.Path(__file__).resolve().parent.parent / "src"
    failures = []
    for path in sorted(root.rglob("*.[ch]pp")):
        text = path.read_text()
        lines = text.count("\n")
        if lines > MAX_LINES:
            failures.append(f"{path.relative_to(root)}: {lines} lines, at most {MAX_LINES}")
        if path.relative_to(root).parts[0] != "oleanderwick":
            continue
        for name in PLATFORM_NAMES:
            if name in text:
                failures.append(f"{path.relative_to(root)}: {name} belongs to src/platform/")
        module = path.relative_to(root).parts[1]
        for include in re.findall(r'#include "((?:\.\./)+)([a-z_]+)/', text):
            target = include[1]
            if target in ALLOWED and target != module and target not in ALLOWED[module]:
                failures.append(f"{path.relative_to(root)}: {module} must not include {target}")
    print("\n".join(failures))
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
