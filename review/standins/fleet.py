"""A small deployment on loopback addresses: nodes as processes, and stand-ins for everything around them."""
import asyncio
import json
import os
import pathlib
import random
import re
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import threading
import time
import tomllib

from runners import Cloud
from store import Store
from web import Server, call

ROOT = pathlib.Path(__file__).resolve().parents[2]
KEY = "key-of-the-tenant"
HOST = "fleet.example"
BOUNDS = {"max_hold_ms": 6000, "lease_ms": 3000, "status_s": 120, "grace_s": 6, "migrate_s": 1.5, "maintenance_s": 2}


class Judge:
    """Keeps what runners see of each task: starts, ends, and which ends are taken note of."""

    def __init__(self, record):
        self.record = record
        self.events = {}

    def of(self, task):
        return self.events.setdefault(task, [])

    def started(self, runner, task, run, value):
        self.of(task).append({"what": "start", "at": time.monotonic(), "runner": runner.name, "run": run, "token": value.get("fencing_token", 0)})
        self.record(f"runner {runner.name}: starts {task} run {run} with token {value.get('fencing_token', 0)}", quiet=True)

    def ended(self, runner, task, run, how):
        self.of(task).append({"what": "end", "at": time.monotonic(), "runner": runner.name, "run": run, "how": how})
        self.record(f"runner {runner.name}: {task} run {run} ends {how}", quiet=True)

    def lost(self, runner, task, run):
        self.of(task).append({"what": "lost", "at": time.monotonic(), "runner": runner.name, "run": run})

    def acknowledged(self, runner, end, lapsed):
        self.of(end[1]).append({"what": "ack", "at": time.monotonic(), "runner": runner.name, "run": end[2], "how": end[3], "lapsed": lapsed})
        self.record(f"runner {runner.name}: the end {end[0]} ({end[1]} run {end[2]} {end[3]}) is taken note of", quiet=True)

    def overlaps(self):
        """Returns the starts of a task while another run of it is at work on another runner that is up: (task, event, other runner)."""
        found = []
        for task, events in self.events.items():
            active = {}
            for event in events:
                if event["what"] == "start":
                    others = [runner for runner, _ in active.items() if runner != event["runner"]]
                    if others:
                        found.append((task, event, others[0]))
                    active[event["runner"]] = event["run"]
                elif event["what"] in ("end", "lost"):
                    active.pop(event["runner"], None)
        return found

    def starts_after_done(self):
        """Returns the starts of a task after a run has ended `done` whose end is taken note of at any time: (task, end, start).

        An end isn't taken note of if the lease of the runner has lapsed in between.
        """
        found = []
        for task, events in self.events.items():
            noted = {(event["runner"], event["run"]) for event in events if event["what"] == "ack" and event["how"] == "done" and not event["lapsed"]}
            done = None
            for event in events:
                if event["what"] == "end" and event["how"] == "done" and (event["runner"], event["run"]) in noted:
                    done = done or event
                elif event["what"] == "start" and done is not None:
                    found.append((task, done, event))
        return found


class Node:
    """An entry node; its processes are started with the command of the deploy file."""

    def __init__(self, fleet, index):
        self.fleet, self.index = fleet, index
        self.name = f"edge-z-a-{index + 1}"
        self.ip = fleet.ips[index]
        self.process = None
        self.store_server = Server(fleet.store.handler(self.name))
        self.store_address = None
        self.cloud_address = None

    @property
    def front(self):
        return f"{self.ip}:{self.fleet.ports['front']}"

    @property
    def internal(self):
        return f"{self.ip}:{self.fleet.ports['internal']}"

    def settings(self):
        ports, fleet = self.fleet.ports, self.fleet
        return {
            "node": self.name, "role": "node", "ip": self.ip, "zone": "z-a", "region": "r",
            "listen": {"front": self.front, "ready": f"{self.ip}:{ports['ready']}", "control": f"{self.ip}:{ports['control']}"},
            "internal_ports": [ports["internal"], ports["internal"] + 15],
            "seeds": fleet.seeds,
            "limits": {"cpu_share": 0.25, "cores": 1}, "bounds": BOUNDS, "orders": "dispatch", "advice": fleet.advice.address,
            "platform": {"address": self.store_address or self.store_server.address},
            "cloud": {"address": self.cloud_address or fleet.cloud.server.address},
        }

    async def start(self):
        if self.store_server.server is None:
            await self.store_server.start()
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["node"]
        path = self.fleet.folder / f"settings-{self.index}"
        path.write_text(render((ROOT / role["template"]).read_text(), self.settings()))
        words = [str(path) if word == "/etc/oleanderwick/settings.json" else word for word in shlex.split(role["run"])]
        log = open(self.fleet.folder / f"{self.name}.log", "ab")
        environment = {"PATH": os.environ["PATH"], "OLEANDERWICK_BOOT": str(path)}
        self.process = await asyncio.create_subprocess_exec(*words, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.fleet.record(f"node {self.name}: starts")

    def send(self, number):
        if self.process is not None and self.process.returncode is None:
            self.fleet.record(f"node {self.name}: gets {signal.Signals(number).name}")
            self.process.send_signal(number)

    async def freeze(self):
        """Stops the process, and waits until it stands still."""
        self.send(signal.SIGSTOP)
        state = pathlib.Path(f"/proc/{self.process.pid}/stat")
        while state.read_text().rpartition(")")[2].split()[0] != "T":
            await asyncio.sleep(0.01)

    async def kill(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()

    async def is_owner(self):
        reply = await call(self.internal, "GET", "/metrics", timeout=1.0)
        return reply is not None and bool(re.search(r"^\S*owner(\{[^}]*\})? 1$", str(reply[1]), re.MULTILINE))


def render(template, values):
    """Fills in the placeholders and sections that DEPLOY.md describes, as far as the template uses them."""

    def find(path):
        value = values
        for part in path.split("."):
            value = value[int(part)] if isinstance(value, list) else value.get(part) if isinstance(value, dict) else None
        return value

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", lambda match: match[2] if find(match[1]) else "", template, flags=re.DOTALL)

    def replace(match):
        value = find(match[1])
        return json.dumps(value) if match[2] else "" if value is None else str(value)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", replace, text)


class Fleet:
    """All parts of a run. `jobs` maps the id of a job to the plan of its tasks by step: (duration in s or None, cpu, memory in MB)."""

    def __init__(self, folder, nodes=3):
        self.case_folder = pathlib.Path(folder)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.began = time.monotonic()
        self.lines = open(self.case_folder / "record.txt", "w")
        self.judge = Judge(self.record)
        self.store = Store(self.record)
        self.cloud = Cloud(self)
        self.advice = Server(self._advise)
        self.jobs = {}
        self.standby = set()
        self.random = random.Random()
        first = self.random.randrange(10, 240)
        second = self.random.randrange(10, 240)
        self.ips = [f"127.{first}.{second}.{10 + index}" for index in range(nodes)]
        self.ports = self._free_ports()
        self.seeds = [f"{ip}:{self.ports['control']}" for ip in self.ips[:3]]
        self.nodes = [Node(self, index) for index in range(nodes)]

    def _free_ports(self):
        for _ in range(50):
            base = self.random.randrange(20000, 30000)
            numbers = {"front": base, "ready": base + 1, "control": base + 2, "internal": base + 3}
            try:
                for ip in self.ips:
                    for number in numbers.values():
                        with socket.socket() as probe:
                            probe.bind((ip, number))
                return numbers
            except OSError:
                continue
        raise RuntimeError("no free ports")

    def record(self, text, quiet=False):
        line = f"{time.monotonic() - self.began:8.3f} s  {text}"
        self.lines.write(line + "\n")
        self.lines.flush()
        if not quiet:
            print(line, flush=True)

    async def _advise(self, method, path, query, headers, body):
        return 400, {}

    def plan(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job][int(step)]

    async def start(self, services, queues):
        """Starts everything; `services` is a list of names, `queues` maps a name to (service, prefix, max_attempts)."""
        if not (ROOT / "target/src/oleanderwickd").exists():
            raise RuntimeError("target/src/oleanderwickd is missing: run the build of the deploy file first")
        self.background = [asyncio.create_task(self.store.expire())]
        await self.advice.start()
        if self.cloud.server.server is None:
            await self.cloud.server.start()
        await self.store.put("op/config", {
            "version": 3,
            "routes": [{"name": name, "host": HOST, "prefix": prefix, "service": service, "priority": 0, "max_attempts": attempts, "stretch": 1.6,
                        "slo_ms": 600} for name, (service, prefix, attempts) in queues.items()],
            "services": [{"name": name, "enforce_capacity": True, "standby": name in self.standby} for name in services],
            "tenants": [{"name": "tenant-1", "api_keys": [KEY], "weight": 1, "cap": {"cpu": 0, "mem_mb": 0, "gpu": 0}}],
            "limits": {},
        })
        for node in self.nodes:
            await node.start()

    async def owner(self):
        """Returns the node that says that it holds the ownership."""
        for _ in range(100):
            for node in self.nodes:
                if node.process.returncode is None and await node.is_owner():
                    return node
            await asyncio.sleep(0.1)
        raise RuntimeError("no node became the owner")

    async def client(self, node, method, path, body=None, timeout=3.0, wait=None):
        """Sends a client's call; `wait` is the time after which the client leaves, if that is before its deadline `timeout`."""
        headers = {"Host": HOST, "Api-Key": KEY, "X-Deadline-Ms": str(int(timeout * 1000))}
        reply = await call(node.front, method, path, headers, body, wait or timeout)
        self.record(f"client: {method} {path} at {node.name}: {'no response' if reply is None else f'{reply[0]} {reply[1]}'}")
        return reply

    def new_id(self):
        return f"{self.random.getrandbits(64):016x}"

    async def stop(self):
        for node in self.nodes:
            await node.kill()
        for task in self.background:
            task.cancel()


def main(file, scenario, nodes=3, limit_s=110):
    """Runs the coroutine `scenario(fleet)`, which returns the list of violations; exits with 0, 1 or 2 within two minutes."""
    fleet = None

    def finish(code):
        # Ends without waiting for the stand-ins' connections.
        sys.stdout.flush()
        os._exit(code)

    def give_up():
        for node in fleet.nodes if fleet is not None else []:
            if node.process is not None and node.process.returncode is None:
                os.kill(node.process.pid, signal.SIGKILL)
        print("the case could not run: it did not end in time")
        finish(2)

    async def play():
        nonlocal fleet
        fleet = Fleet(pathlib.Path(file).resolve().parent, nodes)
        try:
            violations = await asyncio.wait_for(scenario(fleet), limit_s)
        except Exception as error:
            await fleet.stop()
            print(f"the case could not run: {type(error).__name__}: {error}")
            finish(2)
        await fleet.stop()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs of the nodes: {fleet.folder}")
        else:
            shutil.rmtree(fleet.folder, ignore_errors=True)
        for text in violations[:20]:
            fleet.record("broken: " + text)
        fleet.record(f"{len(violations)} violations: " + ("the rule was broken" if violations else "the rule held"))
        finish(1 if violations else 0)

    watchdog = threading.Timer(limit_s + 8, give_up)
    watchdog.daemon = True
    watchdog.start()
    asyncio.run(play())
