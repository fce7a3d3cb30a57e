"""Shows for each promise that the soak's judge notices when it is broken."""
import time
import unittest

from judge import Judge

STEP = {"count": 1, "cpu": 100}


def make_judge():
    judge = Judge()
    judge.submitted("a", {"spec": "text", "steps": [STEP, {**STEP, "after": [0]}]})
    judge.answered("a", 200)
    return judge


class JudgeTest(unittest.TestCase):
    def assert_broke(self, judge, promise):
        self.assertEqual([broken[1] for broken in judge.broken], [promise])

    def test_whole_job(self):
        judge = make_judge()
        for step in (0, 1):
            judge.started("w", f"a.0.{step}.0", 1, "text")
            judge.ended("w", f"a.0.{step}.0", "done")
            judge.acknowledged(f"a.0.{step}.0", "done")
        judge.shown("a", 200, "completed")
        judge.end_of_day()
        self.assertEqual(judge.broken, [])

    def test_two_runs_at_a_time(self):
        judge = make_judge()
        judge.started("w", "a.0.0.0", 1, "text")
        judge.started("v", "a.0.0.0", 2, "text")
        self.assert_broke(judge, "task_twice")

    def test_run_after_acknowledged_end(self):
        judge = make_judge()
        judge.started("w", "a.0.0.0", 1, "text")
        judge.ended("w", "a.0.0.0", "done")
        judge.acknowledged("a.0.0.0", "done")
        judge.started("w", "a.0.0.0", 2, "text")
        self.assert_broke(judge, "task_twice")

    def test_step_too_early(self):
        judge = make_judge()
        judge.started("w", "a.0.1.0", 1, "text")
        self.assert_broke(judge, "step_too_early")

    def test_another_text(self):
        judge = make_judge()
        judge.started("w", "a.0.0.0", 1, "another")
        self.assert_broke(judge, "start_unasked")

    def test_start_after_cancel(self):
        judge = make_judge()
        judge.jobs["a"]["cancelled"] = time.monotonic() - Judge.CANCEL_WITHIN_S - 0.1
        judge.started("w", "a.0.0.0", 1, "text")
        self.assert_broke(judge, "start_after_cancel")

    def test_refused_job_that_runs(self):
        judge = Judge()
        judge.submitted("a", {"spec": "text", "steps": [STEP]})
        judge.answered("a", 503)
        judge.given_up("a")
        judge.started("w", "a.0.0.0", 1, "text")
        self.assert_broke(judge, "refused_job_started")

    def test_states_that_are_not_true(self):
        for state, promise in (("completed", "completed_early"), ("cancelled", "cancelled_without_cause"), ("failed", "failed_without_cause")):
            judge = make_judge()
            judge.shown("a", 200, state)
            self.assert_broke(judge, promise)

    def test_lost_job(self):
        judge = make_judge()
        judge.jobs["a"]["accepted"] -= Judge.VISIBLE_WITHIN_S + 0.1
        judge.shown("a", 410, None)
        self.assert_broke(judge, "job_lost")

    def test_unfinished_job(self):
        judge = make_judge()
        judge.end_of_day()
        self.assert_broke(judge, "job_unfinished")


if __name__ == "__main__":
    unittest.main()
