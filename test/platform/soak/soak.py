#!/usr/bin/env python3
"""Runs real nodes as processes against stand-ins of the platform, injects faults from outside, and checks the promises.

A run ends with one line and exit code 1 if a promise was broken; its logs are kept in the folder that it names.
"""
import argparse
import asyncio
import pathlib
import random
import signal
import sys
import tempfile
import time

from http11 import Server, call
from judge import Judge
from proxy import Proxy
from store import Store
from workers import Fleet

POOLS = {"alpha": 3, "beta": 3, "spare": 2}
QUEUES = {"alpha-queue": ("alpha", "/a/"), "beta-queue": ("beta", "/b/")}
KEY = "key-1"
CALLERS, READINESS, INTERNAL, CONTROL = 18340, 18343, 17000, 18345
FINISH_S = 20.0


class Node:
    """One node process."""

    def __init__(self, world, index):
        self.world, self.index = world, index
        self.host = world.host(index)
        self.proxy = Proxy("127.0.0.1", ("127.0.0.1", world.store_server.port))
        self.process = None
        self.restarting = asyncio.Lock()

    async def start(self):
        if self.proxy.port is None:
            await self.proxy.start()
        settings = {
            "node": f"node-{self.index}", "zone": "z", "callers": f"{self.host}:{CALLERS}", "readiness": f"{self.host}:{READINESS}",
            "internal": f"{self.host}:{INTERNAL}", "store": f"127.0.0.1:{self.proxy.port}", "instances": f"127.0.0.1:{self.world.fleet.server.port}",
            "stopTimeoutS": 5,
        }
        peers = ", ".join(f"\"{self.world.host(peer)}:{CONTROL}\"" for peer in range(self.world.options.nodes) if peer != self.index)
        text = "scheduler:\n" + "".join(f"  {name}: {value}\n" for name, value in settings.items()) + f"  peers: [{peers}]\n"
        path = self.world.folder / f"node-{self.index}.yaml"
        path.write_text(text)
        log = open(self.world.folder / f"node-{self.index}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(self.world.options.daemon, "--config", str(path), stdout=log, stderr=log)
        log.close()

    def alive(self):
        return self.process is not None and self.process.returncode is None

    async def kill(self, how=signal.SIGKILL):
        if self.alive():
            self.process.send_signal(how)
            try:
                await asyncio.wait_for(self.process.wait(), 6)
            except asyncio.TimeoutError:
                self.process.kill()
                await self.process.wait()

    async def restart(self, how):
        # Faults overlap: there is one process of a node at a time.
        async with self.restarting:
            await self.kill(how)
            await asyncio.sleep(0.3)
            await self.start()

    async def pause(self, seconds):
        if self.alive():
            self.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            if self.alive():
                self.process.send_signal(signal.SIGCONT)


class World:
    def __init__(self, options, seed):
        self.options, self.random, self.seed = options, random.Random(seed), seed
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        self.judge, self.store = Judge(), Store()
        self.store.random = random.Random(seed + 1)
        self.store_server = Server("127.0.0.1", 0, self.store.handle)
        self.fleet = Fleet(self, POOLS)
        self.nodes = []
        self.truths = {}
        self.faults = []

    def host(self, index):
        """Every run has loopback addresses of its own, so that several run side by side."""
        return f"127.0.{1 + self.seed % 250}.{10 + index}"

    def truth(self, task):
        return self.truths.get(task.split(".")[0], (False, 0.3))

    async def start(self):
        await self.store_server.start()
        asyncio.create_task(self.store.expire())
        await self.store.put("op/config", {
            "version": 1,
            "routes": [{"name": name, "host": "soak.example", "prefix": prefix, "service": pool, "max_attempts": 3, "stretch": 1.5, "slo_ms": 600}
                       for name, (pool, prefix) in QUEUES.items()],
            "services": [{"name": pool, "enforce_capacity": True, "standby": pool == "spare"} for pool in POOLS],
            "tenants": [{"name": "team", "api_keys": [KEY], "weight": 1}],
        })
        await self.fleet.start()
        self.nodes = [Node(self, index) for index in range(self.options.nodes)]
        await asyncio.gather(*(node.start() for node in self.nodes))

    async def ask(self, method, path, body, timeout):
        node = self.random.choice(self.nodes)
        headers = {"Host": "soak.example", "Api-Key": KEY, "X-Deadline-Ms": str(int(timeout * 1000))}
        return await call((node.host, CALLERS), method, path, headers, body, timeout)

    async def client(self, prefix, lasts):
        job = f"{self.random.getrandbits(64):016x}"
        step = {"count": 2, "cpu": 900, "mem_mb": 100, "estimate_ms": 300}
        steps = [{**step, "long_running": True, "max_unavailable": 1}] if lasts else [step, {**step, "after": [0]}]
        self.truths[job] = (lasts, self.random.uniform(0.1, 0.6))
        body = {"spec": "work of " + job, "steps": steps}
        self.judge.submitted(job, body)
        for _ in range(5):
            answer = await self.ask("POST", prefix + job, body, 3.0)
            self.judge.answered(job, None if answer is None else answer[0])
            if answer is not None and 200 <= answer[0] < 300:
                break
            await asyncio.sleep(1.0 if answer is not None and answer[0] in (429, 503) else 0.1)
        self.judge.given_up(job)
        if self.judge.jobs[job]["accepted"] is None:
            return
        if self.random.random() < 0.1:
            self.judge.jobs[job]["cancel_asked"] = True
            answer = await self.ask("DELETE", prefix + job, None, 3.0)
            if answer is not None and answer[0] in (200, 410):
                self.judge.jobs[job]["cancelled"] = time.monotonic()
        while time.monotonic() < self.end:
            await asyncio.sleep(0.4)
            answer = await self.ask("GET", prefix + job, None, 2.0)
            if answer is not None:
                self.judge.shown(job, answer[0], answer[1].get("state") if answer[0] == 200 and answer[1] else None)
                if self.judge.jobs[job]["state"] in ("completed", "failed", "cancelled"):
                    return

    async def load(self):
        clients = [asyncio.create_task(self.client(prefix, True)) for _, prefix in QUEUES.values()]
        end = time.monotonic() + self.options.seconds
        while time.monotonic() < end:
            _, prefix = self.random.choice(list(QUEUES.values()))
            clients.append(asyncio.create_task(self.client(prefix, False)))
            await asyncio.sleep(self.random.expovariate(5.0))
        await asyncio.gather(*clients)

    async def during(self, seconds, begin, end):
        begin()
        await asyncio.sleep(seconds)
        end()

    def fault(self):
        """Draws one fault, and returns its name and what injects it."""
        node, name = self.random.choice(self.nodes), self.random.choice(list(self.fleet.instances))
        worker, seconds = self.fleet.instances[name]["worker"], self.random.uniform(0.5, 5.0)
        mode = self.random.choice(["delay", "reset", "silent", "one_way", "refuse"])
        store_mode = self.random.choice(["busy", "silent"])
        target = worker.proxy if worker is not None else node.proxy
        choices = {
            "node_kill": lambda: node.restart(signal.SIGKILL),
            "node_stop": lambda: node.restart(signal.SIGTERM),
            "node_pause": lambda: node.pause(seconds),
            "node_hup": lambda: asyncio.sleep(0, node.alive() and node.process.send_signal(signal.SIGHUP)),
            "all_killed": lambda: asyncio.gather(*(each.restart(signal.SIGKILL) for each in self.nodes)),
            "store_path_" + mode: lambda: self.during(seconds, lambda: node.proxy.set(mode), lambda: node.proxy.set("pass")),
            "worker_path_" + mode: lambda: self.during(seconds, lambda: target.set(mode), lambda: target.set("pass")),
            "worker_crash": lambda: self.fleet.crash(name),
            "store_" + store_mode: lambda: self.during(seconds, lambda: setattr(self.store, "mode", store_mode), lambda: setattr(self.store, "mode", "serves")),
            "store_loses": lambda: self.during(seconds, lambda: setattr(self.store, "lose_share", 0.3), lambda: setattr(self.store, "lose_share", 0.0)),
            "store_forgets": self.store.forget,
            "wave": self.wave,
        }
        kind = self.random.choice(list(choices))
        return kind, choices[kind]

    async def wave(self):
        number = len(self.faults) + 1
        machines = self.random.sample(list(self.fleet.instances), 3)
        await self.store.put(f"op/wave/{number}", {"wave": number, "machines": machines, "duration_s": 10, "cap": 1})

    async def trouble(self):
        """Injects faults in overlapping series until the load ends."""
        await asyncio.sleep(2)
        under_way = []
        end = time.monotonic() + self.options.seconds - 3
        while time.monotonic() < end:
            kind, inject = self.fault()
            self.faults.append((round(time.monotonic() - self.began, 1), kind))
            under_way.append(asyncio.ensure_future(inject()))
            await asyncio.sleep(self.random.expovariate(0.7))
        await asyncio.gather(*under_way)

    async def play(self):
        await self.start()
        await asyncio.sleep(2)
        self.began = time.monotonic()
        self.end = self.began + self.options.seconds + FINISH_S
        await asyncio.gather(self.load(), self.trouble())
        self.judge.end_of_day()
        for node in self.nodes:
            if node.process is not None and node.process.returncode is not None:
                self.judge.note("node_ended", f"node-{node.index} code={node.process.returncode}")
        await asyncio.gather(*(node.kill() for node in self.nodes))


async def run(options):
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        world = World(options, seed)
        try:
            await world.play()
        finally:
            for node in world.nodes:
                await node.kill()
        jobs = [view for view in world.judge.jobs.values() if view["accepted"]]
        completed = sum(1 for view in jobs if view["state"] == "completed")
        print(f"seed={seed} jobs={len(world.judge.jobs)} accepted={len(jobs)} completed={completed} starts={world.judge.starts} "
              f"faults={len(world.faults)} broken={len(world.judge.broken)}", flush=True)
        if world.judge.broken:
            failed += 1
            print(f"  logs: {world.folder}\n  faults: {world.faults}")
            for _, promise, detail in world.judge.broken[:10]:
                print(f"  broken {promise} {detail}", flush=True)
        await world.store_server.stop()
    print(f"{options.seeds} runs, {failed} with a broken promise")
    return 1 if failed else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--daemon", default="build/src/oleanderwickd")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="runs, with seeds that follow")
    parser.add_argument("--seconds", type=float, default=20.0, help="how long jobs are handed in")
    parser.add_argument("--nodes", type=int, default=4)
    return asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    sys.exit(main())
