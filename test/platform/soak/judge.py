"""Notes broken promises from what submitters and workers saw."""
import time


class Judge:
    CANCEL_WITHIN_S = 3.0
    VISIBLE_WITHIN_S = 3.0

    def __init__(self):
        self.broken = []
        self.jobs = {}
        self.tasks = {}
        self.starts = 0

    def note(self, promise, detail):
        self.broken.append((round(time.monotonic(), 3), promise, detail))

    # What submitters see.
    def submitted(self, job, body):
        self.jobs[job] = {"body": body, "accepted": None, "refused": False, "cancel_asked": False, "cancelled": None, "state": None, "tries": []}

    def answered(self, job, status):
        view = self.jobs[job]
        view["tries"].append(status)
        if status is not None and 200 <= status < 300 and view["accepted"] is None:
            view["accepted"] = time.monotonic()

    def given_up(self, job):
        view = self.jobs[job]
        view["refused"] = view["accepted"] is None and all(status in (429, 503) for status in view["tries"])
        if view["refused"] and any(task["starts"] for name, task in self.tasks.items() if name.startswith(job)):
            self.note("refused_job_started", job)

    def shown(self, job, status, state):
        view = self.jobs[job]
        if status == 410 and view["accepted"] and not view["cancel_asked"] and time.monotonic() - view["accepted"] > self.VISIBLE_WITHIN_S:
            self.note("job_lost", job)
        if state is None:
            return
        view["state"] = state
        if state == "completed" and not self.all_done(job):
            self.note("completed_early", job)
        if state == "cancelled" and not view["cancel_asked"]:
            self.note("cancelled_without_cause", job)
        if state == "failed":
            self.note("failed_without_cause", job)

    def all_done(self, job):
        steps = self.jobs[job]["body"]["steps"]
        return all(self.task(f"{job}.0.{step}.{index}")["done"] for step, row in enumerate(steps) for index in range(row["count"]))

    def end_of_day(self):
        for job, view in self.jobs.items():
            lasts = any(step.get("long_running") for step in view["body"]["steps"])
            if view["accepted"] and not view["cancel_asked"] and not lasts and view["state"] != "completed":
                self.note("job_unfinished", f"{job} state={view['state']}")

    # What workers see.
    def task(self, name):
        return self.tasks.setdefault(name, {"on": set(), "done": False, "acknowledged": False, "starts": 0})

    def started(self, worker, name, run, spec):
        self.starts += 1
        job, _, step, _ = name.split(".")
        task = self.task(name)
        task["starts"] += 1
        view = self.jobs.get(job)
        if view is None or view["body"]["spec"] != spec:
            self.note("start_unasked", name)
            return
        if view["refused"]:
            self.note("refused_job_started", name)
        if view["cancelled"] and time.monotonic() - view["cancelled"] > self.CANCEL_WITHIN_S:
            self.note("start_after_cancel", name)
        if task["on"] or task["acknowledged"]:
            self.note("task_twice", f"{name} run={run} on={worker} other={sorted(task['on']) or 'done'}")
        for before in view["body"]["steps"][int(step)].get("after", []):
            count = view["body"]["steps"][before]["count"]
            if not all(self.task(f"{job}.0.{before}.{index}")["done"] for index in range(count)):
                self.note("step_too_early", name)
        task["on"].add(worker)

    def ended(self, worker, name, how):
        task = self.task(name)
        task["on"].discard(worker)
        task["done"] = task["done"] or how == "done"

    def acknowledged(self, name, how):
        self.task(name)["acknowledged"] |= how == "done"
