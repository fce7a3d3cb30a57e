"""Workers and instances of the platform as stand-ins."""
import asyncio
import json
import time

from http11 import Server
from proxy import Proxy

LONGEST_HOLD_MS = 6000


class Worker:
    """One life of a worker on an instance."""

    def __init__(self, world, name, instance, pool):
        self.world, self.name, self.instance, self.pool = world, name, instance, pool
        self.born = int(time.time() * 1000)
        self.started_at = time.monotonic()
        self.token = 0
        self.lease_ms = 0
        self.runs = {}
        self.past = {}
        self.ends = []
        self.last_end = 0
        self.ended = asyncio.Condition()
        self.up = True
        self.server = Server("127.0.0.1", 0, self.handle)
        self.proxy = None
        self.task = None

    def clock(self):
        return 1000 + int((time.monotonic() - self.started_at) * 990)

    async def start(self):
        await self.server.start()
        self.proxy = Proxy("127.0.0.1", ("127.0.0.1", self.server.port))
        await self.proxy.start()
        self.task = asyncio.create_task(self._work())

    def entry(self, state="ready"):
        return {"service": self.pool, "address": f"127.0.0.1:{self.proxy.port}", "zone": "z", "version": "1", "slots": 8, "state": state, "seq": 1,
                "born": self.born, "capacity": {"cpu": 8000, "mem_mb": 32000}, "labels": ["plain", "rack-" + self.instance]}

    async def end(self):
        """The process is gone, with all that ran."""
        self.up = False
        self.task.cancel()
        for name in self.runs:
            self.world.judge.task(name)["on"].discard(self.name)
        self.runs.clear()
        await self.server.stop()

    async def _finish(self, name, how):
        run = self.runs.pop(name)
        self.past[name] = max(self.past.get(name, 0), run["run"])
        self.last_end += 1
        self.ends.append([self.last_end, name, run["run"], how, ""])
        self.world.judge.ended(self.name, name, how)
        async with self.ended:
            self.ended.notify_all()

    async def _work(self):
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            for name, run in list(self.runs.items()):
                if self.lease_ms and self.clock() > self.lease_ms:
                    await self._finish(name, "lapsed")
                elif run["stop_at"] and now >= run["stop_at"]:
                    await self._finish(name, "stopped")
                elif not run["lasts"] and now >= run["ends_at"]:
                    await self._finish(name, "done")

    async def handle(self, method, path, query, headers, body):
        if headers.get("x-expect-instance") != self.name:
            return 421, None
        value = json.loads(body)
        if value.get("fencing_token", 0) < self.token:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.token = value.get("fencing_token", 0)
        if path == "/v1/run-start":
            return self._start(value)
        if path == "/v1/run-stop":
            name = value["task"]
            self.past[name] = max(self.past.get(name, 0), value["run"])
            if name in self.runs and self.runs[name]["run"] <= value["run"] and not self.runs[name]["stop_at"]:
                self.runs[name]["stop_at"] = time.monotonic() + 0.1
            return 200, {"clock_ms": self.clock()}
        if path == "/v1/hold":
            return await self._hold(value)
        return 200, {"clock_ms": self.clock()}

    def _extend(self, value):
        if value.get("deadline_ms"):
            self.lease_ms = max(self.lease_ms, min(value["deadline_ms"], self.clock() + LONGEST_HOLD_MS))

    def _start(self, value):
        name, run = value["task"], value["run"]
        self._extend(value)
        if name in self.runs and self.runs[name]["run"] == run:
            return 200, {"clock_ms": self.clock()}
        if name in self.runs or run <= self.past.get(name, 0):
            return 409, {"clock_ms": self.clock(), "reason": "old"}
        if value["deadline_ms"] <= self.clock():
            return 409, {"clock_ms": self.clock(), "reason": "late"}
        if len(self.runs) >= 8:
            return 409, {"clock_ms": self.clock(), "reason": "room"}
        lasts, seconds = self.world.truth(name)
        self.runs[name] = {"run": run, "since": time.monotonic(), "ends_at": time.monotonic() + seconds, "lasts": lasts, "stop_at": None}
        self.world.judge.started(self.name, name, run, value["spec"])
        return 200, {"clock_ms": self.clock()}

    async def _hold(self, value):
        self._extend(value)
        for end in [end for end in self.ends if end[0] <= value["ack_cursor"]]:
            self.world.judge.acknowledged(end[1], end[3])
            self.ends.remove(end)
        if not self.ends and value.get("wait_ms"):
            async with self.ended:
                try:
                    await asyncio.wait_for(self.ended.wait(), value["wait_ms"] / 1000)
                except asyncio.TimeoutError:
                    pass
        now = time.monotonic()
        running = [[name, run["run"], "", 100 if now - run["since"] > 0.5 else 50, 0] for name, run in self.runs.items()]
        return 200, {"clock_ms": self.clock(), "born": self.born, "running": running, "ended": self.ends[:500]}


class Fleet:
    """Instances, the workers that run on them, and the service that moves and maintains them."""

    def __init__(self, world, pools):
        self.world = world
        self.instances = {}
        self.count = 0
        for pool, number in pools.items():
            for index in range(number):
                self.instances[f"m-{pool}-{index}"] = {"pool": pool, "state": "up", "worker": None}
        self.server = Server("127.0.0.1", 0, self.handle)

    async def start(self):
        await self.server.start()
        for name, instance in self.instances.items():
            if instance["pool"] != "spare":
                await self.new_worker(name)

    async def new_worker(self, name, worker_id=None):
        self.count += 1
        instance = self.instances[name]
        worker = Worker(self.world, worker_id or f"w{self.count}", name, instance["pool"])
        await worker.start()
        instance["worker"] = worker
        await self.world.store.put("servers/" + worker.name, worker.entry())

    async def end_worker(self, name):
        worker = self.instances[name]["worker"]
        self.instances[name]["worker"] = None
        if worker is not None and worker.up:
            await worker.end()
            asyncio.create_task(self._withdraw(worker))

    async def _withdraw(self, worker):
        await asyncio.sleep(3)
        if not any(instance["worker"] and instance["worker"].name == worker.name for instance in self.instances.values()):
            await self.world.store.remove("servers/" + worker.name)

    async def crash(self, name):
        """The worker dies and comes back under its name, with nothing of before."""
        worker = self.instances[name]["worker"]
        if worker is None or self.instances[name]["state"] != "up":
            return
        await worker.end()
        await asyncio.sleep(1)
        if self.instances[name]["worker"] is worker:
            await self.new_worker(name, worker.name)

    async def _back(self, name, pool, seconds, had_worker):
        await asyncio.sleep(seconds)
        self.instances[name].update(state="up", pool=pool)
        if pool != "spare" and had_worker:
            await self.new_worker(name)

    async def handle(self, method, path, query, headers, body):
        if path == "/v1/machines":
            rows = [{"machine": name, "pool": item["pool"], "state": item["state"], "zone": "z", "id": item["worker"].name if item["worker"] else ""}
                    for name, item in self.instances.items()]
            return 200, {"machines": rows}
        value = json.loads(body)
        instance = self.instances.get(value["machine"])
        if instance is None:
            return 400, None
        if instance["state"] != "up":
            return 409, {"reason": "busy"}
        if path == "/v1/machine-move":
            if value["pool"] == instance["pool"]:
                return 200, {}
            await self.end_worker(value["machine"])
            instance["state"] = "moving"
            asyncio.create_task(self._back(value["machine"], value["pool"], 1.0, True))
            return 200, {}
        had_worker = instance["worker"] is not None
        await self.end_worker(value["machine"])
        instance["state"] = "upkeep"
        asyncio.create_task(self._back(value["machine"], instance["pool"], 1.0, had_worker))
        return 200, {}
