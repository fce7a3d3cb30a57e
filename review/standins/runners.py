"""Stand-ins for the platform's runners and for its list of machines, as PROTOCOL.md describes them."""
import asyncio
import json
import time

from links import Link
from store import HEARTBEAT_S
from web import Server

MAX_HOLD_MS = 6000
STOP_S = 0.1
ENDS_AT_A_TIME = 500


class Runner:
    """One life of a machine. `plan(task)` returns the duration of a task and its demand.

    The duration is in seconds, or a function of the time at which the task starts; None stands for a task that lasts.
    """

    def __init__(self, fleet, name, machine, service, zone, rack, capacity):
        self.fleet, self.name, self.machine, self.service, self.zone = fleet, name, machine, service, zone
        self.capacity, self.labels = capacity, ["a", rack]
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.fence = 0
        self.lease_ends_ms = 0
        self.runs = {}
        self.barred = {}
        self.ends = []
        self.last_end = 0
        self.lapsed = set()
        self.ended = asyncio.Condition()
        self.alive = False
        self.register_delay = 0.0
        self.seq = 0
        self.server = Server(self.handle)
        self.link = None
        self.tasks = []

    def clock_ms(self):
        return 1000 + int((time.monotonic() - self.began) * 1000)

    def entry(self):
        self.seq += 1
        cpu, memory = self.capacity
        return {"service": self.service, "address": self.link.address, "zone": self.zone, "version": "1", "slots": 8, "state": "ready",
                "cold_remaining_ms": 0, "seq": self.seq, "born": self.born, "capacity": {"cpu": cpu, "mem_mb": memory, "gpu": 0},
                "labels": self.labels}

    async def start(self):
        await self.server.start()
        self.link = Link(self.server.address, self.fleet.record, f"to runner {self.name}")
        await self.link.start()
        self.alive = True
        self.tasks = [asyncio.create_task(self._work()), asyncio.create_task(self._register())]

    async def _register(self):
        """Writes the entry with each heartbeat; after an outage of the store it comes back `register_delay` s after the store."""
        lost = False
        while True:
            if self.fleet.store.mode != "serves":
                lost = True
                await asyncio.sleep(0.02)
                continue
            if lost:
                lost = False
                await asyncio.sleep(self.register_delay)
                self.fleet.record(f"runner {self.name}: registers again")
            await self.fleet.store.heartbeat("servers/" + self.name, self.entry())
            for _ in range(int(HEARTBEAT_S / 0.02)):
                await asyncio.sleep(0.02)
                if self.fleet.store.mode != "serves":
                    break

    async def crash(self):
        """Ends the process: everything that runs is gone, without a word."""
        self.alive = False
        for task in self.tasks:
            task.cancel()
        await self.link.stop()
        await self.server.stop()
        for task, run in self.runs.items():
            self.fleet.record(f"runner {self.name}: {task} run {run['run']} is lost in the crash")
            self.fleet.judge.lost(self, task, run["run"])
        self.runs.clear()

    async def _end(self, task, how):
        run = self.runs.pop(task)
        self.barred[task] = max(self.barred.get(task, 0), run["run"])
        self.last_end += 1
        self.ends.append([self.last_end, task, run["run"], how, ""])
        self.fleet.judge.ended(self, task, run["run"], how)
        async with self.ended:
            self.ended.notify_all()

    async def _work(self):
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            if self.clock_ms() > self.lease_ends_ms:
                # Ends whose note comes after the lease has lapsed don't count as taken note of.
                self.lapsed.update(end[0] for end in self.ends)
            for task, run in list(self.runs.items()):
                if self.clock_ms() > self.lease_ends_ms:
                    await self._end(task, "lapsed")
                elif run["stop_at"] is not None and now >= run["stop_at"]:
                    await self._end(task, "stopped")
                elif run["done_at"] is not None and now >= run["done_at"]:
                    await self._end(task, "done")

    def _extend(self, value):
        if value.get("deadline_ms"):
            self.lease_ends_ms = max(self.lease_ends_ms, min(value["deadline_ms"], self.clock_ms() + MAX_HOLD_MS))

    async def handle(self, method, path, query, headers, body):
        if headers.get("x-expect-instance", self.name) != self.name:
            return 421, {"clock_ms": self.clock_ms()}
        value = json.loads(body)
        if value.get("fencing_token", 0) < self.fence:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self.fence = value.get("fencing_token", 0)
        if path == "/v1/run-start":
            return self._start(value)
        if path == "/v1/run-stop":
            task = value["task"]
            self.barred[task] = max(self.barred.get(task, 0), value["run"])
            run = self.runs.get(task)
            if run is not None and run["run"] <= value["run"] and run["stop_at"] is None:
                run["stop_at"] = time.monotonic() + STOP_S
            return 200, {"clock_ms": self.clock_ms(), "born": self.born}
        if path == "/v1/hold":
            return await self._hold(value)
        if path == "/v1/pace":
            return 200, {"clock_ms": self.clock_ms(), "born": self.born}
        return 400, {"clock_ms": self.clock_ms()}

    def _start(self, value):
        task, run = value["task"], value["run"]
        self._extend(value)
        answer = {"clock_ms": self.clock_ms(), "born": self.born}
        if task in self.runs and self.runs[task]["run"] == run:
            return 200, answer
        if task in self.runs or run <= self.barred.get(task, 0):
            return 409, {**answer, "reason": "old"}
        if value["deadline_ms"] <= self.clock_ms():
            return 409, {**answer, "reason": "late"}
        duration, cpu, memory = self.fleet.plan(task)
        used = [self.fleet.plan(other) for other in self.runs]
        if sum(each[1] for each in used) + cpu > self.capacity[0] or sum(each[2] for each in used) + memory > self.capacity[1]:
            return 409, {**answer, "reason": "room"}
        now = time.monotonic()
        duration = duration(now) if callable(duration) else duration
        self.runs[task] = {"run": run, "since": now, "done_at": None if duration is None else now + duration, "duration": duration,
                           "stop_at": None}
        self.fleet.judge.started(self, task, run, value)
        return 200, answer

    async def _hold(self, value):
        self._extend(value)
        for end in [end for end in self.ends if end[0] <= value["ack_cursor"]]:
            self.fleet.judge.acknowledged(self, end, end[0] in self.lapsed)
        self.ends = [end for end in self.ends if end[0] > value["ack_cursor"]]
        if not self.ends and value.get("wait_ms"):
            async with self.ended:
                try:
                    await asyncio.wait_for(self.ended.wait(), value["wait_ms"] / 1000)
                except asyncio.TimeoutError:
                    pass
        now = time.monotonic()
        running = []
        for task, run in self.runs.items():
            spent = now - run["since"]
            percent = (100 if spent > 0.5 else 50) if run["duration"] is None else min(99, int(100 * spent / run["duration"]))
            running.append([task, run["run"], "", percent, 0])
        return 200, {"clock_ms": self.clock_ms(), "born": self.born, "running": running, "ended": self.ends[:ENDS_AT_A_TIME]}


class Cloud:
    """The platform's list of machines. Moves and upkeeps take effect at once and last `AWAY_S`."""

    AWAY_S = 1.5

    def __init__(self, fleet):
        self.fleet = fleet
        self.machines = {}
        self.server = Server(self.handle)
        self.lives = 0
        self.orders = []
        self.kept = set()

    async def add(self, machine, service, zone="z-a", rack="r-1", capacity=(16000, 65536)):
        self.machines[machine] = {"pool": service, "state": "up", "zone": zone, "rack": rack, "capacity": capacity, "runner": None}
        await self.give_life(machine)

    async def give_life(self, machine):
        """Starts a runner on a machine; machines of a service on standby are off."""
        row = self.machines[machine]
        if row["pool"] in self.fleet.standby:
            row["state"] = "up"
            return None
        self.lives += 1
        runner = Runner(self.fleet, f"i-{self.lives}", machine, row["pool"], row["zone"], row["rack"], row["capacity"])
        row["runner"] = runner
        row["state"] = "up"
        await runner.start()
        self.fleet.record(f"runner {runner.name}: starts on {machine} for {row['pool']}")
        return runner

    async def crash(self, machine, down_s):
        """The runner of a machine crashes; a new one starts there after `down_s`."""
        runner = self.machines[machine]["runner"]
        self.fleet.record(f"runner {runner.name}: crashes on {machine}")
        self.machines[machine].update(state="down", runner=None)
        await runner.crash()

        async def come_back():
            await asyncio.sleep(down_s)
            await self.give_life(machine)

        asyncio.create_task(come_back())

    async def _take_away(self, machine, pool):
        row = self.machines[machine]
        if row["runner"] is not None:
            await row["runner"].crash()
            await self.fleet.store.remove("servers/" + row["runner"].name)
        row.update(runner=None, pool=pool)
        await asyncio.sleep(self.AWAY_S)
        await self.give_life(machine)

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(0.004)
        if path == "/v1/machines":
            rows = []
            for name, row in self.machines.items():
                cpu, memory = row["capacity"]
                rows.append({"machine": name, "pool": row["pool"], "state": row["state"], "zone": row["zone"], "labels": ["a", row["rack"]],
                             "capacity": {"cpu": cpu, "mem_mb": memory, "gpu": 0}, "id": row["runner"].name if row["runner"] else ""})
            return 200, {"machines": rows, "next_token": None}
        value = json.loads(body)
        row = self.machines.get(value.get("machine"))
        if row is None:
            return 400, {}
        holder, token = headers.get("x-lease-holder"), int(headers.get("x-fencing-token", "0"))
        self.orders.append({"machine": value["machine"], "holder": holder, "token": token, "at": time.monotonic()})
        self.fleet.record(f"cloud: {path} {value} from {holder} with token {token}")
        if path == "/v1/machine-upkeep" and (value["machine"], value["wave"]) in self.kept:
            return 200, {}
        if row["state"] != "up":
            return 409, {"reason": "busy"}
        row["state"] = "moving" if path == "/v1/machine-move" else "upkeep"
        if path == "/v1/machine-upkeep":
            self.kept.add((value["machine"], value["wave"]))
        asyncio.create_task(self._take_away(value["machine"], value.get("pool", row["pool"])))
        return 200, {}
