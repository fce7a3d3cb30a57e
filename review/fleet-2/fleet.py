"""Stand-ins of the users' platform for the cases 6 to 9: store, runners, machines, operator and clients, on loopback and the real clock.

They follow ../given/kit/more/system/PROTOCOL.md. Everything that they see is kept in `Record`, from which the cases judge a rule.
The nodes' logs are removed with their temporary folder, unless KEEP_LOGS is set.
"""
import asyncio
import base64
import json
import os
import pathlib
import secrets
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
# Bounds of sites/glacierline-bc.toml.
BOUNDS = {"contact_ms": 3000, "ack_ms": 4000, "grace_s": 6, "max_hold_ms": 6000, "stop_grace_ms": 400, "gang_wait_ms": 3000, "lease_ms": 3000,
          "status_s": 120, "migrate_s": 1.5, "maintenance_s": 2, "visible_ms": 3000, "finish_s": 14, "cancel_ms": 3000}
HEARTBEAT_S = 1.5
WRITES_PER_S, READS_PER_S, HISTORY_S = 400, 2000, 20


class Record:
    """What was sent, answered and run, in the order in which it was seen."""

    def __init__(self):
        self.started = time.monotonic()
        self.lines = []
        self.events = []

    def now(self):
        return time.monotonic() - self.started

    def add(self, kind, **fields):
        at = self.now()
        self.events.append({"at": at, "kind": kind, **fields})
        self.lines.append(f"{at:9.3f} {kind} " + " ".join(f"{name}={value}" for name, value in fields.items()))

    def of(self, kind, **fields):
        return [event for event in self.events if event["kind"] == kind and all(event.get(name) == value for name, value in fields.items())]

    def write(self, path):
        pathlib.Path(path).write_text("\n".join(self.lines) + "\n")


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length") or 0)
    return lines[0], headers, await reader.readexactly(length) if length else b""


class Server:
    """HTTP server; `handle(method, path, query, headers, body)` returns a status and a body, or None to leave the call unanswered."""

    def __init__(self, handle, host="127.0.0.1"):
        self.handle, self.host = handle, host
        self.server, self.port, self.writers = None, 0, set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.host, self.port, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def address(self):
        return f"{self.host}:{self.port}"

    def drop(self):
        """Closes the listener and resets all connections, as the end of a process does."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                path, _, query = target.partition("?")
                answer = await self.handle(method, path, dict(urllib.parse.parse_qsl(query, keep_blank_values=True)), headers, body)
                if answer is None:
                    await asyncio.sleep(60)
                    return
                status, value = answer
                data = b"" if value is None else json.dumps(value).encode()
                writer.write(f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store:
    """The platform's metadata store. `faults[node]` may be silent or busy for one node; `lose(path)` decides whether an answer is lost."""

    def __init__(self, record):
        self.record = record
        self.revision, self.items, self.history, self.compacted = 10, {}, [], 0
        self.leases, self.last_lease = {}, 0
        self.changed = asyncio.Condition()
        self.faults = {}
        self.lose = None
        self.delay_s = 0.004

    def item(self, key):
        value, revision, created, lease = self.items[key]
        row = {"key": key, "value": base64.b64encode(value).decode(), "revision": revision, "created": created}
        return {**row, "lease": lease} if lease else row

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    def _set(self, key, value, lease):
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, created, lease)
        self.history.append((self.revision, key, True, time.monotonic()))

    def _remove(self, key):
        if self.items.pop(key, None) is not None:
            self.history.append((self.revision, key, False, time.monotonic()))

    async def put(self, key, value):
        """Writes as the operator or a runner does."""
        self.revision += 1
        self._set(key, value if isinstance(value, bytes) else json.dumps(value).encode(), 0)
        await self.notify()

    async def remove(self, key):
        if key in self.items:
            self.revision += 1
            self._remove(key)
            await self.notify()

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            ended = {lease for lease, (_, until) in self.leases.items() if until <= now}
            for lease in ended:
                del self.leases[lease]
            for key in [key for key, item in self.items.items() if item[3] in ended]:
                await self.remove(key)
            while self.history and now - self.history[0][3] > HISTORY_S:
                self.compacted = max(self.compacted, self.history[0][0])
                self.history.pop(0)

    def handler(self, node):
        async def handle(method, path, query, headers, body):
            fault = self.faults.get(node)
            if fault == "silent":
                return None
            if fault == "busy":
                return 503, {}
            await asyncio.sleep(self.delay_s)
            answer = await self._answer(method, path, query, json.loads(body) if body else {})
            if self.lose is not None and self.lose(node, method, path, body):
                return None
            return answer
        return handle

    async def _answer(self, method, path, query, value):
        if path == "/v1/kv-key":
            return (200, {**self.item(query["key"]), "as_of": self.revision}) if query["key"] in self.items else (404, {"as_of": self.revision})
        if path == "/v1/kv-range":
            keys = sorted(key for key in self.items if key.startswith(query["prefix"]) and key > query.get("after", ""))
            return 200, {"items": [self.item(key) for key in keys[:500]], "has_more": len(keys) > 500, "as_of": self.revision}
        if path == "/v1/kv-watch":
            return await self._watch(query["prefix"], int(query["after"]), time.monotonic() + int(query["wait_ms"]) / 1000)
        if path == "/v1/kv-lease":
            self.last_lease += 1
            ttl_ms = min(max(value["ttl_ms"], 1000), 600000)
            self.leases[self.last_lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
            return 200, {"lease": self.last_lease, "ttl_ms": ttl_ms}
        if path.startswith("/v1/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl_ms = self.leases[lease][0]
            self.leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
            return 200, {"lease": lease, "ttl_ms": ttl_ms}
        if path.startswith("/v1/kv-lease-end/"):
            lease = int(path.rsplit("/", 1)[1])
            if self.leases.pop(lease, None) is None:
                return 404, {}
            for key in [key for key, item in self.items.items() if item[3] == lease]:
                await self.remove(key)
            return 200, {}
        return await self.commit(value) if path == "/v1/kv-txn" else (400, {})

    async def _watch(self, prefix, after, deadline):
        while True:
            if after < self.compacted:
                return 410, {}
            events = []
            for revision, key, exists, _ in self.history:
                if revision > after and key.startswith(prefix):
                    current = exists and key in self.items and self.items[key][1] == revision
                    if exists and not current:
                        continue  # A later event of the key follows.
                    events.append(self.item(key) if exists else {"key": key, "revision": revision, "tombstone": True})
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "as_of": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def commit(self, value):
        rows, writes, removals = value.get("expected_rev", []), value.get("writes", []), value.get("remove", [])
        if len(rows) + len(writes) + len(removals) > 96:
            return 400, {}
        if any((self.items[row["key"]][1] if row["key"] in self.items else 0) != row["revision"] for row in rows):
            return 412, {"items": [self.item(row["key"]) for row in rows if row["key"] in self.items]}
        if any(row.get("lease", 0) and row["lease"] not in self.leases for row in writes):
            return 404, {}
        if any(key.startswith(("op/", "servers/")) for key in [row["key"] for row in writes] + removals):
            return 403, {}
        self.revision += 1
        for row in writes:
            self._set(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in removals:
            self._remove(key)
        await self.notify()
        return 200, {"revision": self.revision}


class Runner:
    """One life of a runner's process. `link` is up, cut (nothing arrives), or mute (calls are carried out and not answered)."""

    def __init__(self, fleet, machine, runner_id):
        self.fleet, self.machine, self.id = fleet, machine, runner_id
        self.born = int(time.time() * 1000)
        self.origin = time.monotonic()
        self.token, self.deadline = 0, 0
        self.runs, self.highest, self.ends, self.last_end, self.acked = {}, {}, [], 0, 0
        self.alive, self.link, self.state, self.seq = True, "up", "ready", 0
        self.ended = asyncio.Condition()
        self.server = Server(self.handle)
        self.server.port = machine.port
        self.slow = 1.0
        self.late = None  # (share, least, most) of the orders that are carried out late, without an answer.
        self.tasks = []

    def clock(self):
        return 5000 + int((time.monotonic() - self.origin) * 1000)

    async def start(self):
        await self.server.start()
        self.machine.port = self.server.port
        self.tasks = [asyncio.create_task(self._work()), asyncio.create_task(self._beat())]

    def entry(self):
        self.seq += 1
        return {"service": self.machine.pool, "address": self.server.address(), "zone": self.machine.zone, "version": "1", "slots": 8,
                "state": self.state, "seq": self.seq, "born": self.born, "capacity": self.machine.capacity, "labels": self.machine.labels}

    async def _beat(self):
        while self.alive:
            if self.link != "cut":
                self.machine.seen = time.monotonic()
                await self.fleet.store.put("servers/" + self.id, self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    async def crash(self):
        self.alive = False
        for task in self.tasks:
            task.cancel()
        self.server.drop()
        for (task, run), item in list(self.runs.items()):
            self.fleet.record.add("crashed", task=task, run=run, runner=self.id, born=self.born)
            self.fleet.gang_broken(task, run, self)
        self.runs.clear()

    async def end(self, task, run, how):
        item = self.runs.pop((task, run), None)
        if item is None:
            return
        self.highest[task] = max(self.highest.get(task, 0), run)
        self.last_end += 1
        saved = item["saved"]
        self.ends.append([self.last_end, task, run, how, saved])
        self.fleet.record.add("end", task=task, run=run, how=how, runner=self.id, number=self.last_end, born=self.born)
        if how != "done":
            self.fleet.gang_broken(task, run, self)
        async with self.ended:
            self.ended.notify_all()

    async def _work(self):
        last = time.monotonic()
        while self.alive:
            await asyncio.sleep(0.005)
            now = time.monotonic()
            step, last = now - last, now
            lapsed = self.runs and self.clock() > self.deadline
            for (task, run), item in list(self.runs.items()):
                if lapsed:
                    await self.end(task, run, "lapsed")
                elif item["stop_at"] is not None and now >= item["stop_at"]:
                    await self.end(task, run, "stopped")
                elif item["gang"] and not self.fleet.gang_present(task, run):
                    if now - item["since"] > BOUNDS["gang_wait_ms"] / 1000:
                        await self.end(task, run, "alone")
                else:
                    item["done_s"] += step / self.slow
                    if item["fails"] and item["done_s"] >= item["seconds"] / 2:
                        await self.end(task, run, "failed")
                    elif not item["lasts"] and item["done_s"] >= item["seconds"]:
                        await self.end(task, run, "done")

    def _row(self, task, run, item):
        percent = min(100, int(100 * item["done_s"] / (0.4 if item["lasts"] else item["seconds"])))
        return [task, run, item["saved"], percent, 0]

    def _extend(self, value):
        if value.get("deadline_ms"):
            self.deadline = max(self.deadline, min(value["deadline_ms"], self.clock() + BOUNDS["max_hold_ms"]))

    async def handle(self, method, path, query, headers, body):
        if self.link == "cut":
            return None
        if headers.get("x-expect-instance") not in (None, self.id):
            return 421, {"clock_ms": self.clock()}
        value = json.loads(body)
        if path in ("/v1/run-start", "/v1/run-stop") and self.late and self.fleet.random.random() < self.late[0]:
            delay = self.fleet.random.uniform(*self.late[1:])
            self.fleet.record.add("held_up", path=path, task=value.get("task"), run=value.get("run"), runner=self.id, delay=f"{delay:.2f}")

            async def later():
                await asyncio.sleep(delay)
                if self.alive:
                    await self.carry_out(path, value)
            asyncio.create_task(later())
            return None
        answer = await self.carry_out(path, value)
        return None if self.link in ("mute", "cut") or not self.alive else answer

    async def carry_out(self, path, value):
        if value.get("fencing_token", 0) < self.token:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.token = value.get("fencing_token", 0)
        if path == "/v1/run-start":
            return self._start(value)
        if path == "/v1/run-stop":
            task = value["task"]
            self.highest[task] = max(self.highest.get(task, 0), value["run"])
            self.fleet.record.add("stop", task=task, run=value["run"], runner=self.id, token=self.token)
            for (name, run), item in self.runs.items():
                if name == task and run <= value["run"] and item["stop_at"] is None:
                    item["stop_at"] = time.monotonic() + self.fleet.random.uniform(0.02, 0.3)
            return 200, {"clock_ms": self.clock()}
        if path == "/v1/hold":
            return await self._hold(value)
        return 200, {"clock_ms": self.clock()}

    def _start(self, value):
        task, run = value["task"], value["run"]
        self._extend(value)
        answer = self._refusal(task, run, value)
        if answer is None:
            profile = self.fleet.profile(task)
            self.runs[(task, run)] = {"since": time.monotonic(), "done_s": 0.0, "stop_at": None, "saved": value.get("checkpoint", ""), **profile}
            self.fleet.record.add("start", task=task, run=run, runner=self.id, token=self.token, spec=value["spec"], born=self.born,
                                  cpu=profile["cpu"], tenant=profile["tenant"])
        elif answer != "there":
            self.fleet.record.add("rejected", task=task, run=run, runner=self.id, reason=answer)
            return 409, {"clock_ms": self.clock(), "reason": answer}
        return 200, {"clock_ms": self.clock()}

    def _refusal(self, task, run, value):
        if (task, run) in self.runs:
            return "there"
        if run <= self.highest.get(task, 0) or any(name == task and other >= run for name, other in self.runs):
            return "old"
        if value["deadline_ms"] <= self.clock():
            return "late"
        used = sum(item["cpu"] for item in self.runs.values())
        return "room" if used + self.fleet.profile(task)["cpu"] > self.machine.capacity["cpu"] else None

    async def _hold(self, value):
        self._extend(value)
        if value["ack_cursor"] > self.acked:
            self.acked = value["ack_cursor"]
            for end in [end for end in self.ends if end[0] <= self.acked]:
                self.fleet.record.add("acked", task=end[1], run=end[2], how=end[3], runner=self.id, number=end[0])
                self.ends.remove(end)
        if not self.ends and value.get("wait_ms"):
            async with self.ended:
                try:
                    await asyncio.wait_for(self.ended.wait(), value["wait_ms"] / 1000)
                except asyncio.TimeoutError:
                    pass
        running = [self._row(task, run, item) for (task, run), item in self.runs.items()]
        return 200, {"clock_ms": self.clock(), "born": self.born, "running": running, "ended": self.ends[:500]}


class Machine:
    """A machine with the runner that lives on it."""

    def __init__(self, name, pool, zone, labels, capacity):
        self.name, self.pool, self.zone, self.labels, self.capacity = name, pool, zone, labels, capacity
        self.state, self.runner, self.port, self.seen = "up", None, 0, 0.0


class Node:
    """A process of the system, started with the command of the deploy file."""

    def __init__(self, fleet, index):
        self.fleet, self.index, self.host = fleet, index, f"127.0.0.{11 + index}"
        self.name, self.process, self.store, self.log = f"edge-{index}", None, None, fleet.folder / f"edge-{index}.log"

    async def start(self):
        if self.store is None:
            self.store = await Server(self.fleet.store.handler(self.index)).start()
        path = self.fleet.folder / f"{self.name}.yaml"
        path.write_text(self.fleet.settings(self))
        command = [str(ROOT / self.fleet.command[0]), *[str(path) if word == "/etc/oleanderwick/settings.json" else word for word in self.fleet.command[1:]]]
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(command, stdin=subprocess.DEVNULL, stdout=log, stderr=log, cwd=ROOT)
        self.fleet.record.add("node_started", node=self.name, pid=self.process.pid)

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.fleet.record.add("signal", node=self.name, number=signal.Signals(number).name)
            self.process.send_signal(number)

    def is_owner(self):
        owner = self.fleet.store.items.get("own/scheduler")
        return owner is not None and f'{self.name}#'.encode() in owner[0]


class Fleet:
    """The whole platform and the nodes of the system."""

    def __init__(self, random, nodes=3, services=None, tenants=None, routes=None):
        self.random = random
        self.record = Record()
        self.store = Store(self.record)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.machines, self.jobs = {}, {}
        self.cloud, self.cloud_mode, self.page = Server(self._cloud), "up", 200
        self.advice = Server(self._no_advice)
        self.nodes = [Node(self, index) for index in range(nodes)]
        self.command = self._deploy_command()
        self.services = services or {"orders": 8}
        self.tenants = tenants or [{"name": "team-a", "weight": 100.0, "api_keys": ["key-a"], "cap": {"cpu": 0, "mem_mb": 0, "gpu": 0}}]
        self.routes = routes or [{"name": "orders-queue", "host": "q.example", "prefix": "/orders/", "service": "orders", "priority": 0,
                                  "max_attempts": 3, "stretch": 2.0, "slo_ms": 600}]
        self.version, self.background = 3, []
        self.wave_begun, self.ports = set(), self._free_ports(4)

    @staticmethod
    def _deploy_command():
        for line in (ROOT / "deploy/system.toml").read_text().splitlines():
            if line.startswith("run ="):
                return line.split("=", 1)[1].strip().strip('"').split()
        raise RuntimeError("the deploy file has no command")

    @staticmethod
    def _free_ports(count):
        sockets = [socket.socket() for _ in range(count)]
        for item in sockets:
            item.bind(("127.0.0.11", 0))
        ports = [item.getsockname()[1] for item in sockets]
        for item in sockets:
            item.close()
        return ports

    def settings(self, node):
        """Renders deploy/settings.yaml.in as DEPLOY.md says; the template uses plain values and one section only."""
        front, ready, control, internal = self.ports
        fields = {"node": node.name, "zone": "burnaby-a", "listen.front": f"{node.host}:{front}", "listen.ready": f"{node.host}:{ready}",
                  "ip": node.host, "internal_ports.0": internal, "seeds|json": json.dumps([f"{other.host}:{control}" for other in self.nodes[:3]]),
                  "platform.address": node.store.address(), "cloud.address": self.cloud.address(), "advice": self.advice.address(),
                  "limits.cpu_share": 0.25, **{f"bounds.{name}": value for name, value in BOUNDS.items()}}
        lines = [line for line in (ROOT / "deploy/settings.yaml.in").read_text().splitlines() if not line.startswith(("{{#", "{{/"))]
        text = "\n".join(lines) + "\n"
        for name, value in fields.items():
            text = text.replace("{{" + name + "}}", str(value))
        if "{{" in text:
            raise RuntimeError("the template has a placeholder that this stand-in does not know")
        return text

    async def start(self):
        self.background.append(asyncio.create_task(self.store.expire()))
        self.background.append(asyncio.create_task(self._expire_entries()))
        await self.cloud.start()
        await self.advice.start()
        await self.put_config()
        number = 0
        for pool, count in self.services.items():
            for index in range(count):
                number += 1
                machine = Machine(f"m-{number}", pool, ["burnaby-a", "richmond-b", "surrey-c", "nanaimo-d"][index % 4],
                                  ["std", f"r{pool}-{index // 4}"], {"cpu": 16000, "mem_mb": 64000})
                self.machines[machine.name] = machine
                self.adjust(machine, index)
                await self.boot(machine)
        for node in self.nodes:
            await node.start()

    def adjust(self, machine, index):
        """A case may change labels and capacity of a machine before it boots."""

    async def put_config(self):
        self.version += 2
        services = [{"name": name, "enforce_capacity": True} for name in self.services]
        await self.store.put("op/config", {"version": self.version, "routes": self.routes, "services": services, "tenants": self.tenants, "limits": {}})
        self.record.add("config", version=self.version)

    async def boot(self, machine, runner_id=None):
        machine.runner = Runner(self, machine, runner_id or secrets.token_hex(6))
        machine.state = "up"
        await machine.runner.start()
        self.record.add("runner_up", machine=machine.name, runner=machine.runner.id, born=machine.runner.born)

    async def crash(self, machine):
        self.record.add("runner_down", machine=machine.name, runner=machine.runner.id)
        machine.state = "down"
        await machine.runner.crash()

    async def _expire_entries(self):
        while True:
            await asyncio.sleep(0.1)
            live = {machine.runner.id: machine for machine in self.machines.values() if machine.runner is not None}
            for key in [key for key in self.store.items if key.startswith("servers/")]:
                machine = live.get(key[8:])
                if machine is None or time.monotonic() - machine.seen > 3 * HEARTBEAT_S:
                    await self.store.remove(key)

    async def _no_advice(self, method, path, query, headers, body):
        return 429, {}

    async def _cloud(self, method, path, query, headers, body):
        if self.cloud_mode == "silent":
            return None
        if self.cloud_mode == "busy":
            return 429, {}
        await asyncio.sleep(0.004)
        if path == "/v1/machines":
            names = sorted(self.machines)
            after = query.get("page_token", "")
            names = [name for name in names if name > after]
            rows = []
            for name in names[:self.page]:
                machine = self.machines[name]
                row = {"machine": name, "pool": machine.pool, "state": machine.state, "zone": machine.zone, "labels": machine.labels,
                       "capacity": machine.capacity}
                if machine.state == "up" and machine.runner is not None:
                    row["id"] = machine.runner.id
                rows.append(row)
            return 200, {"machines": rows, "next_token": names[self.page - 1]} if len(names) > self.page else {"machines": rows}
        value = json.loads(body)
        machine = self.machines.get(value["machine"])
        self.record.add("machine_order", path=path, machine=value["machine"], holder=headers.get("x-lease-holder"), token=headers.get("x-fencing-token"),
                        extra=value.get("pool", value.get("wave")))
        if machine is None:
            return 400, {}
        if path == "/v1/machine-move" and machine.pool == value["pool"]:
            return 200, {}
        if path == "/v1/machine-upkeep" and (value["wave"], machine.name) in self.wave_begun:
            return 200, {}
        if machine.state != "up":
            return 409, {"reason": "busy"}
        seconds = BOUNDS["migrate_s"]
        if path == "/v1/machine-upkeep":
            self.wave_begun.add((value["wave"], machine.name))
            seconds = BOUNDS["maintenance_s"]
        elif value["pool"] not in self.services:
            return 400, {}
        await self.crash(machine)
        machine.state = "moving" if path == "/v1/machine-move" else "upkeep"

        async def back():
            await asyncio.sleep(seconds)
            machine.pool, machine.port = value.get("pool", machine.pool), 0
            await self.boot(machine)
        self.background.append(asyncio.create_task(back()))
        return 200, {}

    # Jobs.

    def profile(self, task):
        job, _, step, _ = task.rsplit(".", 3)
        known = self.jobs.get(job)
        if known is None:
            return {"seconds": 1.0, "lasts": False, "cpu": 0, "gang": False, "fails": False, "tenant": None}
        row = known["steps"][int(step)]
        return {"seconds": known["seconds"][int(step)], "lasts": row.get("long_running", False), "cpu": row.get("cpu", 0), "gang": row.get("gang", False),
                "fails": known.get("fails", False), "tenant": known["tenant"]}

    def gang_present(self, task, run):
        prefix, _ = task.rsplit(".", 1)
        job, _, step = prefix.rsplit(".", 2)
        count = self.jobs[job]["steps"][int(step)]["count"]
        present = {name for machine in self.machines.values() if machine.runner and machine.runner.alive
                   for (name, other) in machine.runner.runs if other == run and name.startswith(prefix + ".")}
        return len(present) == count

    def gang_broken(self, task, run, runner):
        prefix, _ = task.rsplit(".", 1)
        if not self.profile(task)["gang"]:
            return
        for machine in self.machines.values():
            other = machine.runner
            if other is None or not other.alive:
                continue
            for (name, number) in list(other.runs):
                if number == run and name.startswith(prefix + ".") and name != task:
                    asyncio.create_task(other.end(name, number, "broken"))

    async def call(self, node, method, path, body=None, key="key-a", timeout=3.0, host="q.example"):
        """Sends one call; returns its status and body, or (None, None) without an answer."""
        data = b"" if body is None else json.dumps(body).encode()
        head = (f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nApi-Key: {key}\r\nX-Deadline-Ms: {int(timeout * 1000)}\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\nConnection: close\r\n\r\n")

        async def exchange():
            reader, writer = await asyncio.open_connection(node.host, self.ports[0])
            try:
                writer.write(head.encode() + data)
                line, _, content = await read_message(reader)
                return int(line.split(" ")[1]), json.loads(content) if content else None
            finally:
                writer.close()
        try:
            answer = await asyncio.wait_for(exchange(), timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            answer = (None, None)
        self.record.add("call", method=method, path=path, node=node.name, status=answer[0], answer=json.dumps(answer[1]))
        return answer

    def new_job(self, steps, seconds, tenant="team-a", queue="/orders/", **more):
        job = secrets.token_hex(8)
        self.jobs[job] = {"steps": steps, "seconds": seconds, "tenant": tenant, "queue": queue, "accepted": False, "spec": f"spec of {job}", **more}
        return job

    async def submit(self, job, tries=6, key=None, **fields):
        known = self.jobs[job]
        body = {"spec": known["spec"], "steps": known["steps"], **fields}
        for _ in range(tries):
            node = self.random.choice(self.nodes)
            status, _ = await self.call(node, "POST", known["queue"] + job, body, key or "key-" + known["tenant"][-1])
            if status is not None and 200 <= status < 300:
                known["accepted"] = True
                return status
            await asyncio.sleep(0.4)
        return None

    async def state(self, job, tries=6):
        for _ in range(tries):
            known = self.jobs[job]
            status, body = await self.call(self.random.choice(self.nodes), "GET", known["queue"] + job, key="key-" + known["tenant"][-1])
            if status in (200, 410):
                return body["state"] if status == 200 else "410"
            await asyncio.sleep(0.3)
        return None

    async def wait_ready(self, seconds=15.0):
        for _ in range(int(seconds * 10)):
            if "own/scheduler" in self.store.items:
                status, _ = await self.call(self.nodes[0], "GET", "/orders/" + "0" * 16)
                if status == 410:
                    return True
            await asyncio.sleep(0.1)
        return False

    async def stop(self):
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
        for task in self.background:
            task.cancel()
        for machine in self.machines.values():
            if machine.runner is not None and machine.runner.alive:
                await machine.runner.crash()
        for server in [self.cloud, self.advice] + [node.store for node in self.nodes if node.store is not None]:
            server.drop()
        if "KEEP_LOGS" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(case, folder, seed=1):
    """Runs the coroutine `case(fleet_class_random, disturbed)`; returns the exit status: 0 held, 1 broken, 2 could not run."""
    import random
    disturbed = os.environ.get("TROUBLE", "1") != "0"

    async def guarded():
        # A script that is told to end still ends the processes that it started.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        return await case(random.Random(seed), disturbed)
    try:
        result, record = asyncio.run(guarded())
    except (Exception, asyncio.CancelledError) as error:  # pylint: disable=broad-except
        print(f"the case could not run: {error!r}")
        return 2
    record.write(pathlib.Path(folder) / "record.txt")
    return result
