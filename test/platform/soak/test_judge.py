"""Tests that the checker of the soak records a violation of each invariant."""
import time
import unittest

from judge import InvariantChecker

STEP = {"count": 1, "cpu": 100}


def make_checker():
    checker = InvariantChecker()
    checker.record_submission("a", {"spec": "text", "steps": [STEP, {**STEP, "after": [0]}]})
    checker.record_response("a", 200)
    return checker


class InvariantCheckerTest(unittest.TestCase):
    def assert_violated(self, checker, invariant):
        self.assertEqual([violation[1] for violation in checker.violations], [invariant])

    def test_completed_job_without_violation(self):
        checker = make_checker()
        for step in (0, 1):
            checker.record_start("w", f"a.0.{step}.0", 1, "text")
            checker.record_end("w", f"a.0.{step}.0", "done")
            checker.record_acknowledgement(f"a.0.{step}.0", "done")
        checker.record_state("a", 200, "completed")
        checker.check_unfinished_jobs()
        self.assertEqual(checker.violations, [])

    def test_concurrent_runs_of_one_task(self):
        checker = make_checker()
        checker.record_start("w", "a.0.0.0", 1, "text")
        checker.record_start("v", "a.0.0.0", 2, "text")
        self.assert_violated(checker, "task_twice")

    def test_run_after_acknowledged_success(self):
        checker = make_checker()
        checker.record_start("w", "a.0.0.0", 1, "text")
        checker.record_end("w", "a.0.0.0", "done")
        checker.record_acknowledgement("a.0.0.0", "done")
        checker.record_start("w", "a.0.0.0", 2, "text")
        self.assert_violated(checker, "task_twice")

    def test_step_started_before_its_predecessor(self):
        checker = make_checker()
        checker.record_start("w", "a.0.1.0", 1, "text")
        self.assert_violated(checker, "step_too_early")

    def test_start_with_different_spec(self):
        checker = make_checker()
        checker.record_start("w", "a.0.0.0", 1, "another")
        self.assert_violated(checker, "start_unasked")

    def test_start_after_cancel(self):
        checker = make_checker()
        checker.jobs["a"]["cancelled"] = time.monotonic() - InvariantChecker.MAX_CANCEL_DELAY_S - 0.1
        checker.record_start("w", "a.0.0.0", 1, "text")
        self.assert_violated(checker, "start_after_cancel")

    def test_start_of_refused_job(self):
        checker = InvariantChecker()
        checker.record_submission("a", {"spec": "text", "steps": [STEP]})
        checker.record_response("a", 503)
        checker.close_submission("a")
        checker.record_start("w", "a.0.0.0", 1, "text")
        self.assert_violated(checker, "refused_job_started")

    def test_reported_state_contradicts_runs(self):
        for state, invariant in (("completed", "completed_early"), ("cancelled", "cancelled_without_cause"), ("failed", "failed_without_cause")):
            checker = make_checker()
            checker.record_state("a", 200, state)
            self.assert_violated(checker, invariant)

    def test_accepted_job_not_found(self):
        checker = make_checker()
        checker.jobs["a"]["accepted"] -= InvariantChecker.MAX_VISIBILITY_DELAY_S + 0.1
        checker.record_state("a", 410, None)
        self.assert_violated(checker, "job_lost")

    def test_accepted_job_not_completed(self):
        checker = make_checker()
        checker.check_unfinished_jobs()
        self.assert_violated(checker, "job_unfinished")


if __name__ == "__main__":
    unittest.main()
