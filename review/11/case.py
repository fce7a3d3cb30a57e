"""A standing job arrives whose tasks fail right after each start; ordinary jobs of another tenant must run, since the service is free."""
import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "fleet-3"))
from deployment import configuration, run  # noqa: E402

RUNNERS, RUNNER_CPU, CPU = 8, 16000, 1500
STANDING_JOB = "aaaaaaaaaaaaaaaa"
STANDING_TASKS = 5
JOBS = [f"{number:016x}" for number in range(1, 20)]
FINISH_S, IDLE_S = 14.0, 3.0


async def case(deployment):
    fleet = deployment.fleet
    for index in range(RUNNERS):
        fleet.add(f"m-{index}", "orders", rack=f"r{index // 4}")
    tenants = [{"name": f"t{number}", "api_keys": [f"key-{number}"], "weight": 5, "cap": {"cpu": 0, "mem_mb": 0, "gpu": 0}} for number in (1, 2)]
    routes = [("q-watch", "/watch/", "orders", {"slo_ms": 2500, "stretch": 2.2}), ("q-orders", "/orders/", "orders", {})]
    await deployment.start(configuration([("orders", False)], routes, tenants))
    await asyncio.sleep(2)
    step = {"count": STANDING_TASKS, "cpu": CPU, "mem_mb": 4800, "estimate_ms": 500, "long_running": True, "max_per_server": 1}
    spec = '{"ms": 200, "lasts": true, "fails": true}' if deployment.trouble else '{"lasts": true}'
    assert await deployment.submit("/watch/", STANDING_JOB, {"spec": spec, "steps": [step]})
    await asyncio.sleep(10)
    for job in JOBS:
        ordinary = {"spec": '{"ms": 1000}', "steps": [{"count": 4, "cpu": 900, "mem_mb": 1800, "estimate_ms": 1000}]}
        assert await deployment.submit("/orders/", job, ordinary, "key-2")
        await asyncio.sleep(0.2)
    ended_at = deployment.now()
    since, longest, most_used, done = {job: ended_at for job in JOBS}, 0.0, 0, set()
    while deployment.now() < ended_at + 30 and len(done) < 4 * len(JOBS):
        await asyncio.sleep(0.05)
        now = deployment.now()
        done = {fields["task"] for _, kind, fields in deployment.entries if kind == "end" and fields["how"] == "done"}
        used = sum(run["needs"]["cpu"] for runner in fleet.runners.values() for run in runner.runs.values())
        most_used = max(most_used, used)
        running = {name.split(".")[0] for runner in fleet.runners.values() for name in runner.runs}
        for job in JOBS:
            if job in running or 2 * used >= RUNNERS * RUNNER_CPU or sum(name.startswith(job) for name in done) == 4:
                since[job] = now
            longest = max(longest, now - max(since[job], ended_at + FINISH_S))
    answers = [await deployment.call(0, "GET", "/orders/" + job, key="key-2") for job in JOBS]
    states = [answer[1]["state"] if answer is not None and answer[0] == 200 else answer for answer in answers]
    deployment.record("judged", longest_idle_s=round(longest, 1), most_cpu_in_use=most_used, cpu_of_service=RUNNERS * RUNNER_CPU,
                      completed=states.count("completed"), of=len(JOBS))
    # LOST: for 3 s a job has nothing running while a task's turn has come, and there is capacity for it twice over.
    return longest > IDLE_S


run(case, FOLDER)
