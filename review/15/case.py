"""A runner is lost for good; the lasting tasks that it ran must start again on the other runner that may run them and has room."""
import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "fleet-3"))
from deployment import configuration, run  # noqa: E402

TASKS, CPU = 4, 1500
JOB = "5c0e7a21d94b36f8"
CALM_S, IDLE_S, AFTER_RUN_S, WATCHED_S = 4.0, 3.0, 6.0, 40.0


async def case(deployment):
    fleet = deployment.fleet
    for index in range(8):
        fleet.add(f"m-{index}", "watch", kind="b" if index < 2 else "a", rack=f"r{index // 4}")
    await deployment.start(configuration([("watch", False)], [("q-watch", "/watch/", "watch", {"slo_ms": 2500, "stretch": 2.2})]))
    await asyncio.sleep(2)
    step = {"count": TASKS, "cpu": CPU, "mem_mb": 4800, "estimate_ms": 90000, "long_running": True, "requires": "b"}
    assert await deployment.submit("/watch/", JOB, {"spec": '{"lasts": true}', "steps": [step]})
    await asyncio.sleep(6)
    disrupted_at = deployment.now()
    if deployment.trouble:
        await fleet.crash("m-0")
    last_run = {index: disrupted_at for index in range(TASKS)}
    longest, until = 0.0, deployment.now() + WATCHED_S
    while deployment.now() < until:
        await asyncio.sleep(0.1)
        now = deployment.now()
        on = {int(name.rsplit(".", 1)[1]): runner.name for runner in fleet.runners.values() for name in runner.runs}
        room = sum(runner._room()["cpu"] // CPU for machine, runner in fleet.runners.items() if "b" in fleet.machines[machine]["labels"])
        for index in range(TASKS):
            if index in on or room < 2:
                last_run[index] = now
            # The task's turn counts from 6 s after its last run, and only calm time counts.
            idle = now - max(last_run[index] + AFTER_RUN_S, disrupted_at + CALM_S)
            longest = max(longest, idle)
    answer = await deployment.call(0, "GET", "/watch/" + JOB)
    deployment.record("judged", idle_tasks=sorted(set(range(TASKS)) - set(on)), longest_idle_s=round(longest, 1), room_for_tasks=room, state=answer)
    # LOST: for 3 s a task that lasts has nothing running while there is capacity for it twice over.
    return longest > IDLE_S


run(case, FOLDER)
