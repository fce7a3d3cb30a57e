#!/usr/bin/env python3
"""Runs node processes against stubs of the platform, injects faults from outside, and checks invariants.

Prints one line for each seed. If an invariant was violated, it also prints the faults, the first 10 violations and the folder of the
logs, and exits with code 1.
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
from judge import InvariantChecker
from proxy import Proxy
from store import Store
from workers import Fleet

POOLS = {"alpha": 3, "beta": 3, "spare": 2}
QUEUES = {"alpha-queue": ("alpha", "/a/"), "beta-queue": ("beta", "/b/")}
API_KEY = "key-1"
CALLER_PORT, READINESS_PORT, INTERNAL_PORT, CONTROL_PORT = 18340, 18343, 17000, 18345
COMPLETION_TIMEOUT_S = 20.0


class Node:
    """A node whose process may be restarted."""

    def __init__(self, soak, index):
        self.soak, self.index = soak, index
        self.host = soak.host(index)
        self.proxy = Proxy("127.0.0.1", ("127.0.0.1", soak.store_server.port))
        self.process = None
        self.restarting = asyncio.Lock()

    async def start(self):
        if self.proxy.port is None:
            await self.proxy.start()
        settings = {
            "node": f"node-{self.index}", "zone": "z", "callers": f"{self.host}:{CALLER_PORT}", "readiness": f"{self.host}:{READINESS_PORT}",
            "internal": f"{self.host}:{INTERNAL_PORT}", "store": f"127.0.0.1:{self.proxy.port}",
            "instances": f"127.0.0.1:{self.soak.fleet.server.port}",
            "stopTimeoutS": 5, "notifyOwner": "true",
        }
        peers = ", ".join(f"\"{self.soak.host(peer)}:{CONTROL_PORT}\"" for peer in range(self.soak.options.nodes) if peer != self.index)
        text = "scheduler:\n" + "".join(f"  {name}: {value}\n" for name, value in settings.items()) + f"  peers: [{peers}]\n"
        path = self.soak.folder / f"node-{self.index}.yaml"
        path.write_text(text)
        log = open(self.soak.folder / f"node-{self.index}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(self.soak.options.daemon, "--config", str(path), stdout=log, stderr=log)
        log.close()

    def alive(self):
        return self.process is not None and self.process.returncode is None

    async def kill(self, signal_number=signal.SIGKILL):
        if self.alive():
            self.process.send_signal(signal_number)
            try:
                await asyncio.wait_for(self.process.wait(), 6)
            except asyncio.TimeoutError:
                self.process.kill()
                await self.process.wait()

    async def restart(self, signal_number):
        # Faults overlap; the lock ensures that a node has at most one process.
        async with self.restarting:
            await self.kill(signal_number)
            await asyncio.sleep(0.3)
            await self.start()

    async def pause(self, seconds):
        if self.alive():
            self.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            if self.alive():
                self.process.send_signal(signal.SIGCONT)


class SoakRun:
    """One run with a seed: the stubs, the nodes, the load and the injected faults.

    `task_profiles` maps a job to (whether its tasks run until they are stopped, duration of its other tasks in s).
    """

    def __init__(self, options, seed):
        self.options, self.random, self.seed = options, random.Random(seed), seed
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        self.checker, self.store = InvariantChecker(), Store()
        self.store.random = random.Random(seed + 1)
        self.store_server = Server("127.0.0.1", 0, self.store.handle)
        self.fleet = Fleet(self, POOLS)
        self.nodes = []
        self.task_profiles = {}
        self.faults = []

    def host(self, index):
        """Loopback address of a node; it depends on the seed modulo 250, so that runs with different seeds can run at the same time."""
        return f"127.0.{1 + self.seed % 250}.{10 + index}"

    def task_profile(self, task):
        return self.task_profiles.get(task.split(".")[0], (False, 0.3))

    async def start(self):
        await self.store_server.start()
        asyncio.create_task(self.store.expire())
        await self.store.put("op/config", {
            "version": 1,
            "routes": [{"name": name, "host": "soak.example", "prefix": prefix, "service": pool, "max_attempts": 3, "stretch": 1.5, "slo_ms": 600}
                       for name, (pool, prefix) in QUEUES.items()],
            "services": [{"name": pool, "enforce_capacity": True, "standby": pool == "spare"} for pool in POOLS],
            "tenants": [{"name": "team", "api_keys": [API_KEY], "weight": 1}],
        })
        await self.fleet.start()
        self.nodes = [Node(self, index) for index in range(self.options.nodes)]
        await asyncio.gather(*(node.start() for node in self.nodes))

    async def send_request(self, method, path, body, timeout):
        node = self.random.choice(self.nodes)
        headers = {"Host": "soak.example", "Api-Key": API_KEY, "X-Deadline-Ms": str(int(timeout * 1000))}
        return await call((node.host, CALLER_PORT), method, path, headers, body, timeout)

    async def client(self, prefix, long_running):
        """Submits a job, cancels it with a probability of 10 %, and polls its state until the state is final or the run's deadline has passed."""
        job = f"{self.random.getrandbits(64):016x}"
        step = {"count": 2, "cpu": 900, "mem_mb": 100, "estimate_ms": 300}
        steps = [{**step, "long_running": True, "max_unavailable": 1}] if long_running else [step, {**step, "after": [0]}]
        self.task_profiles[job] = (long_running, self.random.uniform(0.1, 0.6))
        body = {"spec": "work of " + job, "steps": steps}
        self.checker.record_submission(job, body)
        for _ in range(5):
            response = await self.send_request("POST", prefix + job, body, 3.0)
            self.checker.record_response(job, None if response is None else response[0])
            if response is not None and 200 <= response[0] < 300:
                break
            await asyncio.sleep(1.0 if response is not None and response[0] in (429, 503) else 0.1)
        self.checker.close_submission(job)
        if self.checker.jobs[job]["accepted"] is None:
            return
        if self.random.random() < 0.1:
            self.checker.jobs[job]["cancel_asked"] = True
            response = await self.send_request("DELETE", prefix + job, None, 3.0)
            if response is not None and response[0] in (200, 410):
                self.checker.jobs[job]["cancelled"] = time.monotonic()
        while time.monotonic() < self.deadline:
            await asyncio.sleep(0.4)
            response = await self.send_request("GET", prefix + job, None, 2.0)
            if response is not None:
                self.checker.record_state(job, response[0], response[1].get("state") if response[0] == 200 and response[1] else None)
                if self.checker.jobs[job]["state"] in ("completed", "failed", "cancelled"):
                    return

    async def generate_load(self):
        clients = [asyncio.create_task(self.client(prefix, True)) for _, prefix in QUEUES.values()]
        deadline = time.monotonic() + self.options.seconds
        while time.monotonic() < deadline:
            _, prefix = self.random.choice(list(QUEUES.values()))
            clients.append(asyncio.create_task(self.client(prefix, False)))
            await asyncio.sleep(self.random.expovariate(5.0))
        await asyncio.gather(*clients)

    async def inject_for(self, seconds, inject, clear):
        inject()
        await asyncio.sleep(seconds)
        clear()

    def draw_fault(self):
        """Draws one fault; returns its kind and the function that injects it."""
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
            "store_path_" + mode: lambda: self.inject_for(seconds, lambda: node.proxy.set_mode(mode), lambda: node.proxy.set_mode("pass")),
            "worker_path_" + mode: lambda: self.inject_for(seconds, lambda: target.set_mode(mode), lambda: target.set_mode("pass")),
            "worker_crash": lambda: self.fleet.crash(name),
            "store_" + store_mode: lambda: self.inject_for(seconds, lambda: setattr(self.store, "mode", store_mode),
                                                            lambda: setattr(self.store, "mode", "serves")),
            "store_loses": lambda: self.inject_for(seconds, lambda: setattr(self.store, "lose_share", 0.3),
                                                    lambda: setattr(self.store, "lose_share", 0.0)),
            "store_forgets": self.store.compact,
            "store_watches_silent": lambda: self.store.silence_watches(self.random.uniform(1.0, 3.4)),
            "wave": self.wave,
        }
        kind = self.random.choice(list(choices))
        return kind, choices[kind]

    async def wave(self):
        """Requests a maintenance wave over three random instances."""
        number = len(self.faults) + 1
        machines = self.random.sample(list(self.fleet.instances), 3)
        await self.store.put(f"op/wave/{number}", {"wave": number, "machines": machines, "duration_s": 10, "cap": 1})

    async def inject_faults(self):
        """Injects faults, which may overlap, from 2 s after the start of the load until 1 s before its end."""
        await asyncio.sleep(2)
        injections = []
        deadline = time.monotonic() + self.options.seconds - 3
        while time.monotonic() < deadline:
            kind, inject = self.draw_fault()
            self.faults.append((round(time.monotonic() - self.started_at, 1), kind))
            injections.append(asyncio.ensure_future(inject()))
            await asyncio.sleep(self.random.expovariate(0.7))
        await asyncio.gather(*injections)

    async def execute(self):
        await self.start()
        await asyncio.sleep(2)
        self.started_at = time.monotonic()
        self.deadline = self.started_at + self.options.seconds + COMPLETION_TIMEOUT_S
        await asyncio.gather(self.generate_load(), self.inject_faults())
        self.checker.check_unfinished_jobs()
        for node in self.nodes:
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
            for node in soak.nodes:
                await node.kill()
        jobs = [view for view in soak.checker.jobs.values() if view["accepted"]]
        completed = sum(1 for view in jobs if view["state"] == "completed")
        print(f"seed={seed} jobs={len(soak.checker.jobs)} accepted={len(jobs)} completed={completed} starts={soak.checker.starts} "
              f"faults={len(soak.faults)} broken={len(soak.checker.violations)}", flush=True)
        if soak.checker.violations:
            failed += 1
            print(f"  logs: {soak.folder}\n  faults: {soak.faults}")
            for _, invariant, detail in soak.checker.violations[:10]:
                print(f"  broken {invariant} {detail}", flush=True)
        await soak.store_server.stop()
    print(f"{options.seeds} runs, {failed} with violated invariants")
    return 1 if failed else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--daemon", default="build/src/oleanderwickd")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="number of runs, with consecutive seeds")
    parser.add_argument("--seconds", type=float, default=20.0, help="seconds for which jobs are submitted")
    parser.add_argument("--nodes", type=int, default=4)
    return asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    sys.exit(main())
