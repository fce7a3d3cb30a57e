"""Starts nodes of the product beside the stand-ins, with the command and the settings template of the deploy file."""
import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import tempfile
import time
import tomllib

from runners import Fleet
from store import Store
from wire import Server, call

ROOT = pathlib.Path(__file__).resolve().parents[2]
# As on the small deployments of the users.
BOUNDS = {"grace_s": 6, "max_hold_ms": 6000, "lease_ms": 3000, "status_s": 120, "migrate_s": 1.5, "maintenance_s": 2, "stop_grace_ms": 400}
LIMITS = {"cpu_share": 0.25, "cores": 1, "memory_mb": 260, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0}
CHECKPOINT_MS = 2000


def look_up(fields, name):
    for part in name.split("."):
        fields = fields[int(part)] if isinstance(fields, list) else fields.get(part) if isinstance(fields, dict) else None
    return fields


def render(template, fields):
    """Fills in a settings template, as far as the product's own template needs it."""
    def section(match):
        return match.group(2) if look_up(fields, match.group(1)) else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", section, template, flags=re.S)

    def value(match):
        found = look_up(fields, match.group(1))
        return json.dumps(found) if match.group(2) or isinstance(found, (dict, list)) else "" if found is None else str(found)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, text)


class Deployment:
    """The stand-ins and the nodes of one case. `record` writes to the case's record.txt."""

    def __init__(self, folder, nodes=2, bounds=None):
        self.record_file = open(pathlib.Path(folder) / "record.txt", "w")
        self.began_at = time.monotonic()
        self.entries = []
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.store = Store()
        self.store_server = Server(self.store.handle)
        self.fleet = Fleet(self.store, self.record, self.bounds["max_hold_ms"], CHECKPOINT_MS)
        self.node_count, self.processes, self.background = nodes, {}, []
        self.net = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["node"]

    def now(self):
        return time.monotonic() - self.began_at

    def record(self, kind, **fields):
        self.entries.append((self.now(), kind, fields))
        self.record_file.write(f"{self.now():8.3f} {kind} " + " ".join(f"{name}={value}" for name, value in fields.items()) + "\n")
        self.record_file.flush()

    def host(self, index):
        return f"{self.net}.{10 + index}"

    def choose_ports(self):
        """Finds ports that are free on the addresses of all nodes."""
        ports = []
        while len(ports) < 4:
            port = random.randint(20000, 32000)
            try:
                for index in range(self.node_count):
                    with socket.socket() as probe:
                        probe.bind((self.host(index), port))
                ports.append(port)
            except OSError:
                pass
        self.front, self.ready, self.control, self.internal = ports

    async def start(self, config):
        self.choose_ports()
        await self.store_server.start()
        self.background.append(asyncio.create_task(self.store.expire()))
        await self.store.put("op/config", config)
        await self.fleet.start()
        self.background.append(asyncio.create_task(self.fleet.expire()))
        for index in range(self.node_count):
            await self.start_node(index)
        until = time.monotonic() + 10
        while time.monotonic() < until:
            answers = [await call(self.host(index), self.ready, "GET", "/v1/ready", timeout=1) for index in range(self.node_count)]
            if all(answer is not None and answer[0] == 200 for answer in answers):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the nodes are not ready")

    def store_address(self, index):
        return f"127.0.0.1:{self.store_server.port}"

    def write_settings(self, index):
        host = self.host(index)
        fields = {
            "node": f"edge-{index}", "zone": "z1", "ip": host, "listen": {"front": f"{host}:{self.front}", "ready": f"{host}:{self.ready}",
                                                                         "control": f"{host}:{self.control}"},
            "internal_ports": [self.internal, self.internal + 15], "seeds": [f"{self.host(other)}:{self.control}" for other in range(min(3, self.node_count))],
            "limits": LIMITS, "bounds": self.bounds, "platform": {"address": self.store_address(index)},
            "cloud": {"address": f"127.0.0.1:{self.fleet.server.port}"}, "advice": None,
        }
        settings = self.folder / f"settings-{index}.json"
        settings.write_text(render((ROOT / self.role["template"]).read_text(), fields))
        return settings

    async def start_node(self, index):
        settings = self.write_settings(index)
        words = [str(settings) if word.endswith("settings.json") else word for word in self.role["run"].split(" ")]
        with open(self.folder / f"node-{index}.log", "ab") as log:
            self.processes[index] = await asyncio.create_subprocess_exec(*words, cwd=ROOT, stdout=log, stderr=log)
        self.record("node_started", node=index)

    async def end_node(self, index, number=signal.SIGKILL):
        process = self.processes[index]
        if process.returncode is None:
            process.send_signal(number)
            await process.wait()
        self.record("node_ended", node=index, signal=int(number), code=process.returncode)

    def owner(self):
        """Index of the node that holds the product's duties, by its own metrics; only for aiming a disruption."""
        item = next((value for key, (value, *_) in self.store.items.items() if key.startswith("own/")), None)
        return next((index for index in self.processes if item and f"{self.host(index)}:{self.internal}".encode() in item), None)

    async def call(self, index, method, path, body=None, key="key-1", host="jobs.example", timeout=3.0):
        answer = await call(self.host(index), self.front, method, path, {"Host": host, "Api-Key": key, "X-Deadline-Ms": int(timeout * 1000)}, body, timeout)
        self.record("client", node=index, method=method, path=path, answer="none" if answer is None else f"{answer[0]} {json.dumps(answer[1])}")
        return answer

    async def submit(self, prefix, job, body, key="key-1"):
        """Hands a job in as a client does, again at another node until it is accepted or refused five times."""
        self.fleet.jobs[job] = body
        for attempt in range(5):
            answer = await self.call(attempt % self.node_count, "POST", prefix + job, body, key)
            if answer is not None and 200 <= answer[0] < 300:
                return True
            await asyncio.sleep(0.5)
        return False

    async def stop(self):
        for task in self.background:
            task.cancel()
        for index, process in self.processes.items():
            if process.returncode is None:
                process.kill()
                await process.wait()
        for runner in list(self.fleet.runners.values()):
            for task in runner.tasks:
                task.cancel()
        keep = os.environ.get("KEEP")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record_file.close()


def configuration(services, routes, tenants=None, version=5):
    """A configuration with (name, standby) services and (name, prefix, service, further fields) routes on the host jobs.example."""
    return {
        "version": version,
        "routes": [{"name": name, "host": "jobs.example", "prefix": prefix, "kind": "non_idempotent", "timeout_ms": 3000, "slo_ms": 600, "priority": 0,
                    "service": service, "max_attempts": 4, "stretch": 1.6, "public": False, **fields} for name, prefix, service, fields in routes],
        "services": [{"name": name, "enforce_capacity": True, "standby": standby} for name, standby in services],
        "tenants": tenants or [{"name": "t1", "api_keys": ["key-1"], "weight": 5, "cap": {"cpu": 0, "mem_mb": 0, "gpu": 0}}],
        "limits": {},
    }


def run(case, folder, **options):
    """Runs a case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    async def play():
        deployment = Deployment(folder, **options)
        try:
            return await asyncio.wait_for(case(deployment), 112)
        finally:
            await deployment.stop()

    try:
        broken = asyncio.run(play())
    except Exception as error:  # The case could not run.
        print(f"could not run: {error!r}")
        raise SystemExit(2)
    print("rule broken" if broken else "rule held")
    raise SystemExit(1 if broken else 0)
