#!/usr/bin/env python3
"""Runs node processes against stubs of the platform, injects faults from outside, and checks invariants.

Prints one line for each seed. If an invariant was violated, it also prints the number of violations of each, the faults, the first 10
violations and the folder of the logs, which has all of them, and exits with code 1.
"""
import argparse
import asyncio
import collections
import json
import pathlib
import random
import sys
import tempfile
import time

from disruptions import Disruptions
from faults import FaultInjector
from http11 import Connection, Server
from instances import InstanceService
from judge import InvariantChecker
from maintenance_judge import MaintenanceChecker
from node import CALLER_PORT, INTERNAL_PORT, READINESS_PORT, Node
from stall_judge import StallChecker
from store import Store
from waves import WavePlan
from workers import Fleet

POOL_SIZES = {"alpha": (1, 3), "beta": (1, 3), "spare": (0, 3)}  # Smallest and largest number of instances.
TEAMS = {"team": ("key-1", 0), "small": ("key-2", 8000), "copies": ("key-3", 2000)}  # API key and limit of CPU, 0 for none.
SPECULATIVE_TEAM = "copies"  # Its tasks may have copies, and outlast the detection of a silent worker.
SPECULATIVE_CALLERS = 3
WORKER_CPU = 8000
QUEUES = {"alpha-queue": ("alpha", "/a/"), "beta-queue": ("beta", "/b/")}
COMPLETION_TIMEOUT_S = 20.0
SETTLE_TIMEOUT_S = 35.0
CONTACT_S = 3.0
MEMORY_LIMIT_BYTES = 260 << 20
SETTLED_S = 14.0


class SoakRun:
    """One run with a seed: the stubs, the nodes, the load and the injected faults.

    `task_profiles` maps a job to (whether its tasks run until they are stopped, duration of its other tasks in s).
    """

    def __init__(self, options, seed):
        self.options, self.random, self.seed = options, random.Random(seed), seed
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        self.checker, self.store = InvariantChecker({team: limit for team, (_, limit) in TEAMS.items()}), Store()
        self.speculative_random = random.Random(seed + 2)
        self.store.random = random.Random(seed + 1)
        self.store_server = Server("127.0.0.1", 0, self.store.handle)
        self.store.on_write = self.record_store_write
        self.disruptions = Disruptions()
        self.maintenance = MaintenanceChecker(self.checker.record_violation, fencing=seed % 2 == 0)
        self.stalls = StallChecker(self.checker, self.checker.record_violation)
        self.fleet = Fleet(self, {pool: self.random.randint(*sizes) for pool, sizes in POOL_SIZES.items()})
        self.service = InstanceService(self, self.fleet)
        self.waves, self.injector = WavePlan(self), FaultInjector(self)
        self.nodes, self.background = [], []
        self.task_profiles = {}
        self.max_lag = 0.0
        self.load_deadline = self.deadline = float("inf")

    def host(self, index):
        """Loopback address of a node; it depends on the seed modulo 250, so that runs with different seeds can run at the same time."""
        return f"127.0.{1 + self.seed % 250}.{10 + index}"

    def task_profile(self, task):
        return self.task_profiles.get(task.split(".")[0], (False, 0.3))

    async def start(self):
        await self.store_server.start()
        await self.service.server.start()
        self.spawn(self.store.expire())
        await self.store.put("op/config", {
            "version": 1,
            "routes": [{"name": name, "host": "soak.example", "prefix": prefix, "service": pool, "max_attempts": 3, "stretch": 1.5, "slo_ms": 600}
                       for name, (pool, prefix) in QUEUES.items()],
            "services": [{"name": pool, "enforce_capacity": True, "standby": pool == "spare"} for pool in POOL_SIZES],
            "tenants": [{"name": name, "api_keys": [key], "weight": 1, "cap": {"cpu": limit, "mem_mb": 0, "gpu": 0}} for name, (key, limit) in TEAMS.items()],
        })
        await self.fleet.start()
        self.nodes = [Node(self, index) for index in range(self.options.nodes)]
        await asyncio.gather(*(node.start() for node in self.nodes))

    async def client(self, pool, prefix, long_running, team=None):
        """Runs `submit_and_poll` over a connection that stays open until it breaks; then it connects to another node."""
        team = team or self.random.choice([name for name in TEAMS if name != SPECULATIVE_TEAM])
        connection = None

        async def send_request(method, path, body, timeout):
            nonlocal connection
            if connection is None or connection.writer is None:
                connection = Connection((self.random.choice(self.nodes).host, CALLER_PORT))
            headers = {"Host": "soak.example", "Api-Key": TEAMS[team][0], "X-Deadline-Ms": str(int(timeout * 1000))}
            return await connection.call(method, path, headers, body, timeout)

        await self.submit_and_poll(send_request, pool, team, prefix, long_running)
        if connection is not None:
            connection.close()

    async def submit_and_poll(self, send_request, pool, team, prefix, long_running):
        """Submits a job, cancels it with a probability of 10 %, and polls its state until the state is final or the run's deadline has passed."""
        job = f"{self.random.getrandbits(64):016x}"
        step = {"count": 2, "cpu": 900, "mem_mb": 100, "estimate_ms": 300}
        steps = [{**step, "long_running": True, "max_unavailable": 1}] if long_running else [step, {**step, "after": [0]}]
        self.task_profiles[job] = (long_running, self.random.uniform(0.1, 0.6))
        if team == SPECULATIVE_TEAM:
            steps = [{**step, "estimate_ms": 3000, "speculative": True}]
            self.task_profiles[job] = (False, self.speculative_random.uniform(3.0, 4.0))
        body = {"spec": "work of " + job, "steps": steps}
        self.checker.record_submission(job, body, pool, team)
        for _ in range(5):
            response = await send_request("POST", prefix + job, body, 3.0)
            self.checker.record_response(job, None if response is None else response[0])
            if response is not None and 200 <= response[0] < 300:
                break
            await asyncio.sleep(1.0 if response is not None and response[0] in (429, 503) else 0.1)
        self.checker.close_submission(job)
        if self.checker.jobs[job]["accepted"] is None:
            return
        if self.random.random() < 0.1:
            self.checker.jobs[job]["cancel_asked"] = True
            response = await send_request("DELETE", prefix + job, None, 3.0)
            if response is not None and response[0] in (200, 410):
                self.checker.jobs[job]["cancelled"] = time.monotonic()
        while time.monotonic() < (self.load_deadline if long_running else self.deadline):
            await asyncio.sleep(0.4)
            response = await send_request("GET", prefix + job, None, 2.0)
            if response is not None:
                self.checker.record_state(job, response[0], response[1].get("state") if response[0] == 200 and response[1] else None)
                if self.checker.jobs[job]["state"] in ("completed", "failed", "cancelled"):
                    return

    async def generate_speculative_load(self):
        """Callers that keep their team at its limit: each submits a job after its last one."""
        async def submit_jobs():
            while time.monotonic() < self.load_deadline:
                await self.client(*self.speculative_random.choice(list(QUEUES.values())), False, SPECULATIVE_TEAM)

        await asyncio.gather(*(submit_jobs() for _ in range(SPECULATIVE_CALLERS)))

    async def generate_load(self):
        clients = [asyncio.create_task(self.client(*queue, True)) for queue in QUEUES.values()]
        while time.monotonic() < self.load_deadline:
            clients.append(asyncio.create_task(self.client(*self.random.choice(list(QUEUES.values())), False)))
            await asyncio.sleep(self.random.expovariate(5.0))
        await asyncio.gather(*clients)

    async def watch_for_stalls(self):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            self.max_lag = max(self.max_lag, now - self.last_look - 0.1)
            self.last_look = now
            self.maintenance.observe(now, self.disruptions.calm_since(lambda part: not part.startswith("maintained:")), self.is_replaceable)
            self.stalls.observe(now, self.calm_since, lambda pool, step: self.room(pool, step, now), self.is_below_half)

    def is_replaceable(self, name):
        """Whether an instance shares its pool with another one, or one could be moved in without leaving a pool without any."""
        instances = self.fleet.instances
        pool = instances[name]["pool"] if name in instances else None
        return len(instances) > len(QUEUES) or any(other != name and item["pool"] == pool for other, item in instances.items())

    def calm_since(self, pool):
        return self.disruptions.calm_since(lambda part: not part.startswith("maintained:") or part == "maintained:" + pool)

    def room(self, pool, step, now):
        """How many tasks of a step fit on the workers of a pool that have been there for as long as a calm span lasts."""
        workers = [item["worker"] for item in self.fleet.instances.values() if item["worker"] is not None and item["pool"] == pool]
        steady = [worker for worker in workers if worker.alive and now - worker.started_at >= StallChecker.STALL_S + StallChecker.CALM_S]
        return sum((WORKER_CPU - self.cpu_in_use(worker.runs)) // step["cpu"] for worker in steady)

    def cpu_in_use(self, tasks):
        return sum(self.checker.jobs[job]["body"]["steps"][int(step)]["cpu"] for job, _, step, _ in (name.split(".") for name in tasks))

    def is_below_half(self, team):
        limit = TEAMS[team][1]
        return limit == 0 or 2 * self.checker.cpu_in_use(team) < limit

    def node(self, holder):
        """The node of a holder, which is the node's name, a # and what tells the processes of the node apart."""
        return next(node for node in self.nodes if node.name == holder.split("#")[0])

    def is_in_touch(self, holder):
        """Whether a node, the store and the paths between them have been free of disruptions for contact_ms."""
        name = self.node(holder).name
        calm = self.disruptions.calm_since(lambda part: part in (name, "store"))
        return calm is not None and time.monotonic() - calm >= CONTACT_S

    def is_held_by_link(self, holder):
        return self.node(holder).service_proxy.mode == "delay"

    def record_store_write(self, key, value):
        if key.startswith("status/wave/"):
            self.maintenance.record_status(int(key.rsplit("/", 1)[1]), json.loads(value)["state"], self.fleet.instances, time.monotonic())

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.background.append(task)
        return task

    async def settle(self):
        """Waits after the faults until the waves are completed and a span was calm in which stalls are looked for."""
        end = time.monotonic() + SETTLE_TIMEOUT_S
        while time.monotonic() < end:
            calm = [self.calm_since(pool) for pool in POOL_SIZES]
            if self.waves.completed() == len(self.waves.waves) and all(end is not None and time.monotonic() - end > SETTLED_S for end in calm):
                break
            await asyncio.sleep(0.2)
        self.load_deadline = time.monotonic()
        self.deadline = self.load_deadline + COMPLETION_TIMEOUT_S

    async def play_crowds(self):
        """Plays clients that do not behave, in a process of their own so that they do not delay the stubs."""
        script = pathlib.Path(__file__).resolve().parents[1] / "clients" / "crowds.py"
        ports = [f"{CALLER_PORT}{prefix}{'0' * 16}" for _, prefix in QUEUES.values()] + [f"{READINESS_PORT}/v1/ready", f"{INTERNAL_PORT}/metrics"]
        targets = [f"{node.host}:{port}" for node in self.nodes for port in ports]
        process = await asyncio.create_subprocess_exec(sys.executable, str(script), "--seed", str(self.seed), "--seconds", str(self.options.seconds), *targets)
        try:
            await process.wait()
        finally:
            if process.returncode is None:
                process.kill()

    async def execute(self):
        await self.start()
        await asyncio.sleep(2)
        self.started_at = self.last_look = time.monotonic()
        load = self.spawn(asyncio.gather(self.generate_load(), self.generate_speculative_load()))
        looks = self.spawn(self.watch_for_stalls())
        if self.options.crowds:
            self.spawn(self.play_crowds())
        await asyncio.gather(self.injector.inject(), self.waves.play())
        await self.settle()
        await load
        looks.cancel()
        self.checker.check_unfinished_jobs()
        for node in self.nodes:
            peak_memory = node.peak_memory_bytes()
            if peak_memory > MEMORY_LIMIT_BYTES:
                self.checker.record_violation("memory", f"node-{node.index} bytes={peak_memory}")
            if node.process is not None and node.process.returncode is not None:
                self.checker.record_violation("node_ended", f"node-{node.index} code={node.process.returncode}")
        await asyncio.gather(*(node.kill() for node in self.nodes))


async def run(options):
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        soak = SoakRun(options, seed)
        try:
            await soak.execute()
        finally:
            for task in soak.background:
                task.cancel()
            for node in soak.nodes:
                await node.kill()
        (soak.folder / "faults.txt").write_text("".join(f"{at} {kind}\n" for at, kind in soak.injector.injected))
        jobs = [view for view in soak.checker.jobs.values() if view["accepted"]]
        completed = sum(1 for view in jobs if view["state"] == "completed")
        print(f"seed={seed} jobs={len(soak.checker.jobs)} accepted={len(jobs)} completed={completed} starts={soak.checker.starts} "
              f"faults={len(soak.injector.injected)} waves={soak.waves.completed()}/{len(soak.waves.waves)} maintained={soak.service.counts['maintained']} "
              f"at_limit={soak.maintenance.full_at_begin} held={soak.service.counts['held']} replies_lost={soak.service.counts['lost']} "
              f"judged_calm={soak.stalls.judged} lag_s={soak.max_lag:.2f} broken={len(soak.checker.violations)}", flush=True)
        if soak.checker.violations:
            failed += 1
            counts = collections.Counter(invariant for _, invariant, _ in soak.checker.violations)
            (soak.folder / "violations.txt").write_text("".join(f"{at} {invariant} {detail}\n" for at, invariant, detail in soak.checker.violations))
            print("  " + " ".join(f"{invariant}={count}" for invariant, count in sorted(counts.items())))
            print(f"  logs: {soak.folder}\n  faults: {soak.injector.injected}")
            for _, invariant, detail in soak.checker.violations[:10]:
                print(f"  broken {invariant} {detail}", flush=True)
        await soak.store_server.stop()
        await soak.service.server.stop()
    print(f"{options.seeds} runs, {failed} with violated invariants")
    return 1 if failed else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--daemon", default="build/src/oleanderwickd")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="number of runs, with consecutive seeds")
    parser.add_argument("--seconds", type=float, default=20.0, help="seconds for which faults are injected; jobs are submitted until the waves are completed")
    parser.add_argument("--nodes", type=int, default=4)
    parser.add_argument("--crowds", action="store_true", help="play clients that do not behave beside the load and the faults")
    return asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    sys.exit(main())
