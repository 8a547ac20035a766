#!/usr/bin/env python3
"""Runs all tests and holds their results against KNOWN-RED.txt at the repository's root.

    tests/run_tests.py BUILD [JOBS]

A line of KNOWN-RED.txt is `test | cause | issue`; blank lines and lines that begin with # say nothing. At most three tests
may stand there: those that fail for a fault that is known and not mended yet. Exit status 0: every other test has passed.
1: another test has failed or was not run, or the list is not what it should be."""
import pathlib
import subprocess
import sys
import tempfile
import xml.etree.ElementTree

MOST = 3  # tests that may be known to fail; beyond that the state of the project is not known any more


def listed(text):
    """The entries of the list, {test: (cause, issue)}, and what is wrong with it."""
    entries, wrong = {}, []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            wrong.append(f"KNOWN-RED.txt:{number}: not 'test | cause | issue'")
        elif parts[0] in entries:
            wrong.append(f"KNOWN-RED.txt:{number}: {parts[0]} stands there twice")
        else:
            entries[parts[0]] = (parts[1], parts[2])
    if len(entries) > MOST:
        wrong.append(f"KNOWN-RED.txt: {len(entries)} tests are listed, {MOST} at most may be")
    return entries, wrong


def judged(text, results):
    """`results`: {test: "passed", "failed" or "not run"}. Gives whether all is as it should be, and what to print."""
    entries, wrong = listed(text)
    if not results:
        wrong.append("no test was run")
    said = []
    for test, (cause, issue) in entries.items():
        if test not in results:
            wrong.append(f"KNOWN-RED.txt: {test} is no test")
        elif results[test] == "passed":
            said.append(f"known red, but passed this time: {test} ({cause}; issue {issue}); its line goes once it is mended")
        else:
            said.append(f"known red, {results[test]}: {test} ({cause}; issue {issue})")
    for test, result in sorted(results.items()):
        if result != "passed" and test not in entries:
            wrong.append(f"{result}: {test}")
    return not wrong, said + wrong


def results_in(junit):
    """What ctest wrote with --output-junit."""
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
        results = results_in(junit.read_text()) if junit.exists() else {}
    good, said = judged((root / "KNOWN-RED.txt").read_text(), results)
    print("\n".join(said), flush=True)
    print(f"{sum(r == 'passed' for r in results.values())} passed, "
          f"{sum(r != 'passed' for r in results.values())} failed", flush=True)
    sys.exit(0 if good else 1)


if __name__ == "__main__":
    main()
