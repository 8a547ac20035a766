#!/usr/bin/env python3
"""Runs all tests and compares their results with KNOWN-RED.txt at the repository's root.

    tests/run_tests.py BUILD [JOBS]

A line of KNOWN-RED.txt is `test | cause | issue`; blank lines and lines that begin with # are ignored. At most three tests
may be listed: tests that fail for a known fault that is not fixed yet. Exit status 0: every other test passed. 1: another
test failed or was not run, or the list is invalid."""
import pathlib
import subprocess
import sys
import tempfile
import xml.etree.ElementTree

MAX_KNOWN_FAILURES = 3  # tests; with more, the state of the project would no longer be known


def parse_known_failures(text):
    """Returns the entries of the list, {test: (cause, issue)}, and its problems."""
    entries, problems = {}, []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            problems.append(f"KNOWN-RED.txt:{number}: not 'test | cause | issue'")
        elif parts[0] in entries:
            problems.append(f"KNOWN-RED.txt:{number}: {parts[0]} is listed twice")
        else:
            entries[parts[0]] = (parts[1], parts[2])
    if len(entries) > MAX_KNOWN_FAILURES:
        problems.append(f"KNOWN-RED.txt: {len(entries)} tests are listed, {MAX_KNOWN_FAILURES} at most may be")
    return entries, problems


def evaluate(text, results):
    """`results`: {test: "passed", "failed" or "not run"}. Returns whether the run passes, and the lines to print."""
    entries, problems = parse_known_failures(text)
    if not results:
        problems.append("no test was run")
    notes = []
    for test, (cause, issue) in entries.items():
        if test not in results:
            problems.append(f"KNOWN-RED.txt: {test} is no test")
        elif results[test] == "passed":
            notes.append(f"known red, but passed this time: {test} ({cause}; issue {issue}); remove its line once it is fixed")
        else:
            notes.append(f"known red, {results[test]}: {test} ({cause}; issue {issue})")
    for test, result in sorted(results.items()):
        if result != "passed" and test not in entries:
            problems.append(f"{result}: {test}")
    return not problems, notes + problems


def parse_junit(junit):
    """Parses the report that ctest writes with --output-junit: {test: result}."""
    names = {"run": "passed", "fail": "failed"}
    return {case.get("name"): names.get(case.get("status"), "not run")
            for case in xml.etree.ElementTree.fromstring(junit).iter("testcase")}


def main():
    if len(sys.argv) not in (2, 3):
        sys.exit(__doc__)
    root = pathlib.Path(__file__).resolve().parent.parent
    with tempfile.TemporaryDirectory() as folder:
        junit = pathlib.Path(folder) / "results.xml"
        subprocess.run(["ctest", "--test-dir", sys.argv[1], "--output-on-failure", "-j", (sys.argv + ["4"])[2],
                        "--output-junit", str(junit)], check=False)
        results = parse_junit(junit.read_text()) if junit.exists() else {}
    good, notes = evaluate((root / "KNOWN-RED.txt").read_text(), results)
    print("\n".join(notes), flush=True)
    print(f"{sum(r == 'passed' for r in results.values())} passed, "
          f"{sum(r != 'passed' for r in results.values())} failed", flush=True)
    sys.exit(0 if good else 1)


if __name__ == "__main__":
    main()
