"""QUOTA: copies of speculative tasks bring a tenant over its cap while the first runs go on on a runner that is cut off."""
import asyncio
import pathlib
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "fleet-2"))
import fleet as stand_ins  # noqa: E402

CAP, EACH, TASKS, WORK_S, QUOTA_OVER = 20000, 1000, 20, 9.0, 0.1
CUT_S = 5.5  # node_cut of servers, the longest in the site file.


def highest_use(record):
    """Returns the highest use of the tenant right after a start, and its time; what is being stopped counts."""
    used, highest = 0, (0, 0.0)
    running = set()
    for event in record.events:
        key = (event.get("task"), event.get("run"), event.get("runner"))
        if event["kind"] == "start":
            running.add(key)
            used += event["cpu"]
            highest = max(highest, (used, event["at"]))
        elif event["kind"] in ("end", "crashed") and key in running:
            running.discard(key)
            used -= EACH
    return highest


async def case(random, disturbed):
    cap = {"cpu": CAP, "mem_mb": 0, "gpu": 0}
    fleet = stand_ins.Fleet(random, tenants=[{"name": "team-a", "weight": 100.0, "api_keys": ["key-a"], "cap": cap}])
    record = fleet.record
    try:
        await fleet.start()
        if not await fleet.wait_ready():
            return 2, record
        job = fleet.new_job([{"count": TASKS, "cpu": EACH, "mem_mb": 64, "estimate_ms": int(WORK_S * 1000), "speculative": True}], [WORK_S])
        if await fleet.submit(job) is None:
            return 2, record
        await asyncio.sleep(2)
        runner = max((machine.runner for machine in fleet.machines.values()), key=lambda item: len(item.runs))
        record.add("fullest", runner=runner.id, runs=len(runner.runs))
        if disturbed:
            runner.link = "cut"
        await asyncio.sleep(CUT_S)
        runner.link = "up"
        await asyncio.sleep(8)
        used, at = highest_use(record)
        most = CAP * (1 + QUOTA_OVER) + EACH
        record.add("verdict", used=used, at=f"{at:.3f}", most=most)
        print(f"the tenant had up to {used} thousandths of a core running right after a start; cap {CAP}, at most {most:.0f} is allowed")
        return (1 if used > most else 0), record
    finally:
        await fleet.stop()


sys.exit(stand_ins.run_case(case, pathlib.Path(__file__).resolve().parent))
