"""The store is down for 4.5 s and registrations lapse. Just after it went down, a step becomes ready and is placed on idle runners.

After the store's return every runner registers again within two seconds, one of those that got a task as the last.
"""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standins"))
from fleet import main  # noqa: E402

OUTAGE_S = 4.5
BACK_S = 0.2
LAST_BACK_S = 1.8
FIRST_S, SECOND_S = 3.0, 9.0


async def scenario(fleet):
    await fleet.start(["alpha"], {"alpha-queue": ("alpha", "/a/", 4)})
    for number in range(1, 6):
        await fleet.cloud.add(f"m-{number}", "alpha", rack=f"r-{number}")
    await asyncio.sleep(5)
    job = fleet.new_id()
    fleet.jobs[job] = [(FIRST_S, 1000, 100), (SECOND_S, 10000, 1000)]
    steps = [{"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": int(FIRST_S * 1000)},
             {"count": 3, "cpu": 10000, "mem_mb": 1000, "estimate_ms": int(SECOND_S * 1000), "after": [0]}]
    reply = await fleet.client(fleet.nodes[0], "POST", "/a/" + job, {"spec": "work of " + job, "steps": steps})
    assert reply is not None and reply[0] == 200
    first = f"{job}.0.0.0"
    while not fleet.judge.of(first):
        await asyncio.sleep(0.01)
    await asyncio.sleep(FIRST_S - 0.4)
    if fleet.trouble:
        fleet.record(f"store: down for {OUTAGE_S:g} s, leases and registrations run out")
        fleet.store.mode = "down"
    await asyncio.sleep(OUTAGE_S - 0.5)
    second = {event["runner"] for index in range(3) for event in fleet.judge.of(f"{job}.0.1.{index}") if event["what"] == "start"}
    late = sorted(second - {fleet.judge.of(first)[0]["runner"]})
    fleet.record(f"the tasks of the second step run on {', '.join(sorted(second)) or 'no runner'}")
    for row in fleet.cloud.machines.values():
        row["runner"].register_delay = LAST_BACK_S if late and row["runner"].name == late[0] else BACK_S
    await asyncio.sleep(0.5)
    fleet.store.mode = "serves"
    fleet.record("store: serves again")
    for _ in range(12):
        await asyncio.sleep(2)
        await fleet.client(fleet.nodes[0], "GET", "/a/" + job)
    return [f"TWICE: {task} starts on {event['runner']} (run {event['run']}) while a run of it is at work on {other}"
            for task, event, other in fleet.judge.overlaps()]


main(__file__, scenario)
