"""Large jobs of two tenants wait for their first step; an ordinary job of a third tenant must run, since nearly all room is free."""
import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "fleet-3"))
from deployment import configuration, run  # noqa: E402

LARGE_JOBS = [10000, 10000, 10000, 10000, 4370]  # Tasks of the jobs that each of two tenants hands in.
CPU, RUNNERS, RUNNER_CPU = 500, 8, 16000
JOB = "5c0e7a21d94b36f8"
FINISH_S, IDLE_S = 14.0, 3.0


def large_job(tasks):
    """One task that prepares the others for 100 s, and the others, which come after it."""
    first = {"count": 1, "cpu": CPU, "mem_mb": 256, "estimate_ms": 100000}
    return {"spec": '{"ms": 100000}', "steps": [first, {**first, "count": tasks - 1, "estimate_ms": 1000, "after": [0]}]}


async def case(deployment):
    fleet = deployment.fleet
    for index in range(RUNNERS):
        fleet.add(f"m-{index}", "batch", rack=f"r{index // 4}")
    tenants = [{"name": f"t{number}", "api_keys": [f"key-{number}"], "weight": 5, "cap": {"cpu": 0, "mem_mb": 0, "gpu": 0}} for number in (1, 2, 3)]
    await deployment.start(configuration([("batch", False)], [("q-batch", "/batch/", "batch", {})], tenants))
    await asyncio.sleep(2)
    if deployment.trouble:
        for number, tasks in enumerate(LARGE_JOBS):
            for tenant in (1, 2):
                assert await deployment.submit("/batch/", f"{tenant}{number:015x}", large_job(tasks), f"key-{tenant}")
    ordinary = {"spec": '{"ms": 1000}', "steps": [{"count": 8, "cpu": CPU, "mem_mb": 256, "estimate_ms": 1000}]}
    assert await deployment.submit("/batch/", JOB, ordinary, "key-3")
    await asyncio.sleep(FINISH_S)
    idle, since, until = 0.0, deployment.now(), deployment.now() + IDLE_S + 1
    while deployment.now() < until:
        await asyncio.sleep(0.1)
        used = sum(run["needs"]["cpu"] for runner in fleet.runners.values() for run in runner.runs.values())
        if any(name.startswith(JOB) for runner in fleet.runners.values() for name in runner.runs) or 2 * used >= RUNNERS * RUNNER_CPU:
            since = deployment.now()
        idle = max(idle, deployment.now() - since)
    answer = await deployment.call(0, "GET", "/batch/" + JOB, key="key-3")
    deployment.record("judged", idle_s=round(idle, 1), cpu_in_use=used, cpu_of_service=RUNNERS * RUNNER_CPU, state=answer)
    done = len({fields["task"] for _, kind, fields in deployment.entries if kind == "end" and fields["task"].startswith(JOB) and fields["how"] == "done"})
    # LOST: for 3 s a job has nothing running while a task's turn has come, and there is capacity for it twice over.
    return idle > IDLE_S and done < 8


run(case, FOLDER)
