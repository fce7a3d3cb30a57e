"""Two runners crash, one after the other, half a second after they got the same task. The job has done nothing wrong."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standins"))
from fleet import main  # noqa: E402

MACHINES = 8
CRASHES = 2
DOWN_S = 3.0
AFTER_S = 0.5
TASK_S = 3.0


async def scenario(fleet):
    await fleet.start(["alpha"], {"alpha-queue": ("alpha", "/a/", 4)})
    for number in range(1, MACHINES + 1):
        await fleet.cloud.add(f"m-{number}", "alpha", rack=f"r-{number}")
    await asyncio.sleep(5)
    lasting, batch = fleet.new_id(), fleet.new_id()
    fleet.jobs[batch] = [(TASK_S, 2000, 100)]
    fleet.jobs[lasting] = [(None, 1000, 100)]
    bodies = {batch: {"count": 1, "cpu": 2000, "mem_mb": 100, "estimate_ms": int(TASK_S * 1000)},
              lasting: {"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": 500, "long_running": True}}
    violations = []
    for job, step in bodies.items():
        reply = await fleet.client(fleet.nodes[0], "POST", "/a/" + job, {"spec": "work of " + job, "steps": [step]})
        assert reply is not None and reply[0] == 200
        events = fleet.judge.of(f"{job}.0.0.0")
        crashes = 0
        for _ in range(400):
            await asyncio.sleep(0.02)
            starts = [event for event in events if event["what"] == "start"]
            if fleet.trouble and crashes < CRASHES and len(starts) > crashes:
                await asyncio.sleep(AFTER_S)
                machine = next(name for name, row in fleet.cloud.machines.items()
                               if row["runner"] is not None and row["runner"].name == starts[-1]["runner"])
                await fleet.cloud.crash(machine, DOWN_S)
                crashes += 1
        reply = await fleet.client(fleet.nodes[1], "GET", "/a/" + job)
        failed = sum(1 for event in events if event["what"] == "end" and event["how"] == "failed")
        if reply is not None and reply[0] == 200 and reply[1]["state"] in ("failed", "cancelled"):
            violations.append(f"LOST: nobody cancelled {job}, {failed} of its runs have ended failed, and it is shown as {reply[1]}")
    return violations


main(__file__, scenario)
