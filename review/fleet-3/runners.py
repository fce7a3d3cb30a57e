"""Stand-ins of the platform's runners, and of its service of machines."""
import asyncio
import json
import time

from wire import Server

HEARTBEAT_S = 1.5
STOP_GRACE_S = 0.4
STARTUP_S = 0.3


class Runner:
    """One life of a machine's runner. It runs what the text `spec` of a task says: {"ms": N}, {"lasts": true}, or
    {"ms": N, "fails": true} with or without "lasts".
    """

    def __init__(self, fleet, name, machine):
        self.fleet, self.name, self.machine = fleet, name, machine
        self.born, self.begun_at = int(time.time() * 1000), time.monotonic()
        self.token, self.lease_until, self.seq, self.alive = 0, 0, 0, True
        self.state = "ready"
        self.runs, self.highest, self.ends, self.last_end = {}, {}, [], 0
        self.ended = asyncio.Condition()
        self.server = Server(self.handle)
        self.tasks = []

    def clock_ms(self):
        return 1000 + int((time.monotonic() - self.begun_at) * 1000)

    async def start(self):
        await self.server.start()
        await self.beat()
        self.tasks = [asyncio.create_task(self._work()), asyncio.create_task(self._beats())]

    async def beat(self):
        self.seq += 1
        machine = self.fleet.machines[self.machine]
        await self.fleet.store.put("servers/" + self.name, {
            "service": machine["pool"], "address": f"127.0.0.1:{self.server.port}", "zone": machine["zone"], "version": "v1", "slots": 8,
            "state": self.state, "cold_remaining_ms": 0, "capacity": machine["capacity"], "labels": machine["labels"], "clock_ms": self.clock_ms(),
            "seq": self.seq, "born": self.born})
        self.fleet.last_beat[self.name] = time.monotonic()

    async def _beats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.beat()

    async def crash(self):
        """Ends the process: what runs is lost, and connections are reset."""
        self.alive = False
        for task in self.tasks:
            task.cancel()
        await self.server.stop()
        for name, run in self.runs.items():
            self.fleet.record("lost", runner=self.name, born=self.born, task=name, run=run["run"], age_ms=int((time.monotonic() - run["at"]) * 1000))
        self.runs.clear()

    async def _end(self, name, how):
        run = self.runs.pop(name)
        self.highest[name] = max(self.highest.get(name, 0), run["run"])
        self.last_end += 1
        saved = "" if how == "done" else run["saved"]
        if how == "stopped" and run["saves"]:
            saved = f"{int(run['done_ms']):016x}"
        self.ends.append([self.last_end, name, run["run"], how, saved])
        self.fleet.record("end", runner=self.name, born=self.born, task=name, run=run["run"], how=how)
        async with self.ended:
            self.ended.notify_all()

    async def _work(self):
        before = time.monotonic()
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            spent, before = (now - before) * 1000, now
            for name, run in list(self.runs.items()):
                if now - run["at"] > STARTUP_S:
                    run["done_ms"] += spent
                if run["saves"] and run["done_ms"] - run["saved_ms"] >= self.fleet.checkpoint_ms:
                    run["saved_ms"] = run["done_ms"]
                    run["saved"] = f"{int(run['done_ms']):016x}"
                if self.clock_ms() > self.lease_until:
                    await self._end(name, "lapsed")
                elif run["stop_at"] and now >= run["stop_at"]:
                    await self._end(name, "stopped")
                elif (run["fails"] or not run["lasts"]) and run["done_ms"] >= run["ms"]:
                    await self._end(name, "failed" if run["fails"] else "done")

    async def handle(self, method, path, query, headers, body):
        if path == "/health":
            return 200, None
        if headers.get("x-expect-instance", self.name) != self.name:
            return 421, None
        value = json.loads(body)
        if value.get("fencing_token", 0) < self.token:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self.token = value.get("fencing_token", 0)
        if path == "/v1/run-start":
            return await self._start(value)
        if path == "/v1/run-stop":
            name, run = value["task"], value["run"]
            if name in self.runs and self.runs[name]["run"] == run:
                self.runs[name]["stop_at"] = self.runs[name]["stop_at"] or time.monotonic() + STOP_GRACE_S / 4
                self.fleet.record("stop", runner=self.name, task=name, run=run)
            self.highest[name] = max(self.highest.get(name, 0), run)
            return 200, {"clock_ms": self.clock_ms()}
        if path == "/v1/hold":
            return await self._hold(value)
        return 200, {"clock_ms": self.clock_ms()}

    def _extend(self, value):
        if value.get("deadline_ms"):
            self.lease_until = max(self.lease_until, min(value["deadline_ms"], self.clock_ms() + self.fleet.max_hold_ms))

    def _room(self):
        room = dict(self.fleet.machines[self.machine]["capacity"])
        for run in self.runs.values():
            for amount in room:
                room[amount] -= run["needs"].get(amount, 0)
        return room

    async def _start(self, value):
        name, run = value["task"], value["run"]
        if value["deadline_ms"] <= self.clock_ms():
            return 409, {"clock_ms": self.clock_ms(), "reason": "late"}
        self._extend(value)
        if name in self.runs and self.runs[name]["run"] == run:
            return 200, {"clock_ms": self.clock_ms()}
        if name in self.runs or run <= self.highest.get(name, 0):
            return 409, {"clock_ms": self.clock_ms(), "reason": "old"}
        needs = self.fleet.needs(name)
        if any(needs.get(amount, 0) > free for amount, free in self._room().items()):
            return 409, {"clock_ms": self.clock_ms(), "reason": "room"}
        work = json.loads(value["spec"])
        saved = value.get("checkpoint", "")
        done_ms = float(int(saved, 16)) if saved else 0.0
        self.runs[name] = {"run": run, "at": time.monotonic(), "ms": work.get("ms", 0), "lasts": work.get("lasts", False), "fails": work.get("fails", False),
                           "saves": self.fleet.saves(name), "done_ms": done_ms, "saved_ms": done_ms, "saved": saved, "needs": needs, "stop_at": None}
        self.fleet.record("start", runner=self.name, born=self.born, machine=self.machine, task=name, run=run, token=value["fencing_token"])
        return 200, {"clock_ms": self.clock_ms()}

    def _percent(self, run):
        if run["lasts"]:
            return 100 if time.monotonic() - run["at"] > STARTUP_S else 0
        return round(min(99.0, 100 * run["done_ms"] / max(run["ms"], 1)), 2)

    async def _hold(self, value):
        self._extend(value)
        self.ends = [end for end in self.ends if end[0] > value.get("ack_cursor", 0)]
        if not self.ends and value.get("wait_ms"):
            async with self.ended:
                try:
                    await asyncio.wait_for(self.ended.wait(), value["wait_ms"] / 1000)
                except asyncio.TimeoutError:
                    pass
        running = [[name, run["run"], run["saved"], self._percent(run), 0] for name, run in self.runs.items()]
        return 200, {"clock_ms": self.clock_ms(), "born": self.born, "running": running, "ended": self.ends[:500]}


class Fleet:
    """The machines with their runners, the service that lists and moves them, and the record of what the runners saw."""

    def __init__(self, store, record, max_hold_ms, checkpoint_ms):
        self.store, self.record, self.max_hold_ms, self.checkpoint_ms = store, record, max_hold_ms, checkpoint_ms
        self.machines, self.runners, self.last_beat, self.jobs, self.count = {}, {}, {}, {}, 0
        self.server = Server(self.handle)

    def add(self, machine, pool, kind="a", rack="r1", zone="z1", cpu=16000, mem_mb=65536):
        self.machines[machine] = {"pool": pool, "state": "up", "zone": zone, "labels": [kind, rack], "capacity": {"cpu": cpu, "mem_mb": mem_mb, "gpu": 0}}

    def _step(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job]["steps"][int(step)]

    def needs(self, task):
        return {amount: self._step(task).get(amount, 0) for amount in ("cpu", "mem_mb", "gpu")}

    def saves(self, task):
        return self._step(task).get("saves_progress", False)

    async def start(self):
        await self.server.start()
        for machine, item in self.machines.items():
            if item["pool"] != "spare":
                await self.begin(machine)

    async def begin(self, machine, name=None):
        """Starts the runner of a machine, under a new id or an earlier one."""
        self.count += 1
        runner = Runner(self, name or f"i-{self.count:04x}", machine)
        self.machines[machine]["state"] = "up"
        self.runners[machine] = runner
        await runner.start()
        self.record("runner_up", runner=runner.name, born=runner.born, machine=machine)
        return runner

    async def crash(self, machine):
        runner = self.runners.pop(machine)
        self.machines[machine]["state"] = "down"
        self.record("runner_down", runner=runner.name, born=runner.born, machine=machine)
        await runner.crash()
        return runner

    async def expire(self):
        """Removes the entries of runners that have been silent for three heartbeats."""
        while True:
            await asyncio.sleep(0.1)
            for name, at in list(self.last_beat.items()):
                if time.monotonic() - at > 3 * HEARTBEAT_S:
                    del self.last_beat[name]
                    await self.store.remove("servers/" + name)

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(0.004)
        if path == "/v1/machines":
            rows = []
            for machine, item in sorted(self.machines.items()):
                row = {"machine": machine, **item}
                if machine in self.runners:
                    row["id"] = self.runners[machine].name
                rows.append(row)
            return 200, {"machines": rows, "next_token": None}
        value = json.loads(body)
        item = self.machines.get(value["machine"])
        self.record("order", path=path, machine=value["machine"], holder=headers.get("x-lease-holder"), token=headers.get("x-fencing-token"))
        if item is None or (path == "/v1/machine-move" and value["pool"] not in {other["pool"] for other in self.machines.values()}):
            return 400, None
        if path == "/v1/machine-move" and item["pool"] == value["pool"]:
            return 200, None
        if item["state"] != "up":
            return 409, {"reason": "busy"}
        if path != "/v1/machine-move":
            return 409, {"reason": "wave"}
        item["state"] = "moving"
        if value["machine"] in self.runners:
            runner = self.runners.pop(value["machine"])
            await runner.crash()
        asyncio.ensure_future(self._arrive(value["machine"], value["pool"]))
        return 200, None

    async def _arrive(self, machine, pool):
        await asyncio.sleep(1.5)
        self.machines[machine].update(pool=pool, state="up")
        if pool != "spare":
            await self.begin(machine)
