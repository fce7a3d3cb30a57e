"""A node freezes for 4 s. A client hands a job in at it, gets no response by its deadline, and cancels the job at another node."""
import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standins"))
from fleet import main  # noqa: E402

FREEZE_S = 4.0
CANCEL_S = 3.0
STEPS, STEP_S = 4, 2.0


async def scenario(fleet):
    await fleet.start(["alpha"], {"alpha-queue": ("alpha", "/a/", 4)})
    await fleet.cloud.add("m-1", "alpha")
    await fleet.cloud.add("m-2", "alpha")
    await asyncio.sleep(5)
    owner = await fleet.owner()
    fleet.record(f"the owner is {owner.name}")
    frozen, other = [node for node in fleet.nodes if node is not owner]
    job = fleet.new_id()
    fleet.jobs[job] = [(STEP_S, 1000, 100)] * STEPS
    steps = [{"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": int(STEP_S * 1000), **({"after": [index - 1]} if index else {})}
             for index in range(STEPS)]

    async def thaw():
        await asyncio.sleep(FREEZE_S)
        frozen.send(signal.SIGCONT)

    if fleet.trouble:
        await frozen.freeze()
        asyncio.create_task(thaw())
    await fleet.client(frozen, "POST", "/a/" + job, {"spec": "work of " + job, "steps": steps})
    reply = await fleet.client(other, "DELETE", "/a/" + job)
    assert reply is not None and reply[0] in (200, 410)
    cancelled = time.monotonic()
    for _ in range(6):
        await asyncio.sleep(2)
        await fleet.client(other, "GET", "/a/" + job)
    return [f"UNASKED: {task} starts on {event['runner']} {event['at'] - cancelled:.2f} s after the job's cancelling was acknowledged"
            for task, events in fleet.judge.events.items() for event in events
            if event["what"] == "start" and event["at"] > cancelled + CANCEL_S]


main(__file__, scenario)
