"""One runner is cut off for 3.8 s while it runs a task of a speculative step, and the client cancels that job meanwhile.

The next job of the queue comes when the runner has been back for some time.
"""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standins"))
from fleet import main  # noqa: E402

CUT_S = 3.8
CANCEL_AFTER_S = 3.2
TASKS = 3
CALM_S = 8.0
FINISH_S = 14.0


async def scenario(fleet):
    fleet.standby = {"spare"}
    await fleet.start(["alpha", "spare"], {"alpha-queue": ("alpha", "/a/", 4)})
    for number in range(1, TASKS + 1):
        await fleet.cloud.add(f"m-{number}", "alpha" if number == 1 else "spare", rack=f"r-{number}")
    await asyncio.sleep(6)
    await fleet.owner()
    job = fleet.new_id()
    fleet.jobs[job] = [(20.0, 10000, 1000)]
    step = {"count": TASKS, "cpu": 10000, "mem_mb": 1000, "estimate_ms": 20000, "speculative": True}
    reply = await fleet.client(fleet.nodes[0], "POST", "/a/" + job, {"spec": "work of " + job, "steps": [step]})
    assert reply is not None and reply[0] == 200
    for _ in range(500):
        await asyncio.sleep(0.02)
        at_work = {row["runner"].name: name for name, row in fleet.cloud.machines.items() if row["runner"] is not None and row["runner"].runs}
        if len(at_work) == TASKS:
            break
    fleet.record(f"{len(at_work)} runners are at work: {at_work}")
    runner = max((row["runner"] for row in fleet.cloud.machines.values() if row["runner"] is not None and row["runner"].runs),
                 key=lambda each: each.machine)
    await asyncio.sleep(0.3)
    if fleet.trouble:
        fleet.record(f"runner {runner.name} on {runner.machine} is cut off from the nodes for {CUT_S:g} s")
        runner.link.cut()
    await asyncio.sleep(CANCEL_AFTER_S)
    await fleet.client(fleet.nodes[0], "DELETE", "/a/" + job)
    await asyncio.sleep(CUT_S - CANCEL_AFTER_S)
    runner.link.heal()
    fleet.record(f"runner {runner.name} is reached again")
    await asyncio.sleep(CALM_S)
    job = fleet.new_id()
    fleet.jobs[job] = [(1.0, 1000, 100)]
    step = {"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": 1000}
    reply = await fleet.client(fleet.nodes[0], "POST", "/a/" + job, {"spec": "work of " + job, "steps": [step]})
    assert reply is not None and reply[0] == 200
    await asyncio.sleep(FINISH_S)
    state = None
    for _ in range(5):
        reply = await fleet.client(fleet.nodes[1], "GET", "/a/" + job)
        state = reply[1]["state"] if reply is not None and reply[0] == 200 else None
        rows = [(name, row["runner"].name, len(row["runner"].runs)) for name, row in fleet.cloud.machines.items()
                if row["pool"] == "alpha" and row["state"] == "up" and row["runner"] is not None]
        fleet.record(f"runners of alpha (machine, runner, tasks at work): {rows}")
        await asyncio.sleep(1)
    if fleet.judge.of(f"{job}.0.0.0"):
        return []
    return [f"LOST: {job} is {state} {FINISH_S + 5:g} s after the end of the traffic; nothing of it runs, and its service's runners are idle"]


main(__file__, scenario)
