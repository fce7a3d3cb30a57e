"""One job with more tasks than a runner returns ends at a time; the owner is killed while they run.

The tasks work towards one moment and all end `done` then, before a new owner calls the runner. The runner returns the ends 500 at a
time, as the page says.
"""
import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standins"))
from fleet import main  # noqa: E402

TASKS = 1200
TASK_S = 12.0


async def scenario(fleet):
    await fleet.start(["alpha"], {"alpha-queue": ("alpha", "/a/", 4)})
    await fleet.cloud.add("m-1", "alpha")
    await asyncio.sleep(5)
    job = fleet.new_id()
    first = time.monotonic()
    fleet.jobs[job] = [(lambda now: max(0.5, first + TASK_S - now), 10, 10)]
    body = {"spec": "work of " + job, "steps": [{"count": TASKS, "cpu": 10, "mem_mb": 10, "estimate_ms": int(TASK_S * 1000)}]}
    reply = await fleet.client(fleet.nodes[0], "POST", "/a/" + job, body)
    assert reply is not None and reply[0] == 200

    def starts():
        return sum(1 for events in fleet.judge.events.values() for event in events if event["what"] == "start")

    while starts() < TASKS and time.monotonic() - first < TASK_S - 1:
        await asyncio.sleep(0.05)
    fleet.record(f"runner: has begun {starts()} tasks")
    await asyncio.sleep(max(0.0, first + TASK_S - 0.3 - time.monotonic()))
    if fleet.trouble:
        node = await fleet.owner()
        node.send(signal.SIGKILL)
        await node.process.wait()
        await asyncio.sleep(1)
        await node.start()
    state = None
    for _ in range(60):
        await asyncio.sleep(1)
        reply = await fleet.client(fleet.nodes[1], "GET", "/a/" + job)
        state = reply[1]["state"] if reply is not None and reply[0] == 200 else None
        if state == "completed":
            break
    await asyncio.sleep(2)
    fleet.record(f"client: the job is {state}; {starts()} starts of {TASKS} tasks")
    return [f"TWICE: {task} starts on {start['runner']} (run {start['run']}) {start['at'] - end['at']:.2f} s after its run {end['run']} ended done, "
            f"and that end is taken note of" for task, end, start in fleet.judge.starts_after_done()]


main(__file__, scenario)
