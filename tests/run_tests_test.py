"""What the list of known failures lets pass and what it does not, with made-up results."""
import unittest

import run_tests

ONE = "a.B | cause | 37\n"
GOOD = {"a.B": "failed", "c.D": "passed"}


class RunTests(unittest.TestCase):
    def judge(self, text, results, good, *said):
        is_good, lines = run_tests.judged(text, results)
        self.assertEqual(is_good, good, lines)
        for part in said:
            self.assertTrue(any(part in line for line in lines), (part, lines))

    def test_nothing_listed_and_all_passed(self):
        self.judge("# a heading\n\n", {"a.B": "passed"}, True)

    def test_a_listed_failure_passes_and_is_printed(self):
        self.judge(ONE, GOOD, True, "known red, failed: a.B (cause; issue 37)")

    def test_a_listed_test_that_passes_is_said(self):
        self.judge(ONE, {"a.B": "passed"}, True, "passed this time: a.B")

    def test_any_other_failure_fails(self):
        self.judge(ONE, GOOD | {"c.D": "failed"}, False, "failed: c.D")
        self.judge("", {"c.D": "not run"}, False, "not run: c.D")

    def test_a_fourth_line_fails(self):
        names = [f"t.{i}" for i in range(4)]
        text = "".join(f"{name} | cause | 1\n" for name in names)
        self.judge(text, {name: "failed" for name in names}, False, "4 tests are listed, 3 at most")
        self.judge(text.split("t.3")[0], {name: "failed" for name in names[:3]}, True)

    def test_malformed_lines_fail(self):
        for line in ("a.B", "a.B | cause", "a.B | | 37", "| cause | 37", "a.B | c | 1 | 2", ONE + ONE):
            self.judge(line, GOOD, False, "KNOWN-RED.txt:")

    def test_a_name_that_is_no_test_fails(self):
        self.judge("x.Y | cause | 37", {"a.B": "passed"}, False, "x.Y is no test")

    def test_no_test_run_fails(self):
        self.judge("", {}, False, "no test was run")

    def test_what_ctest_writes(self):
        junit = ('<testsuite><testcase name="a" status="run"/><testcase name="b" status="fail"/>'
                 '<testcase name="c" status="notrun"/><testcase name="d" status="disabled"/></testsuite>')
        self.assertEqual(run_tests.results_in(junit),
                         {"a": "passed", "b": "failed", "c": "not run", "d": "not run"})


if __name__ == "__main__":
    unittest.main()
