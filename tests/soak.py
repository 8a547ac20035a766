#!/usr/bin/env python3
"""Runs the deployed controllers under faults drawn from seeds, on this machine's loopback, and checks every rule from outside.

    tests/soak.py --build target/test --seeds 1-50 [--jobs 3] [--faults 10] [--workers 60] [--logs FOLDER]

Each run prints its seed with `passed`, `FAILED` or `NOT RUN`. The faults of a seed repeat, the timing of the processes does
not. The logs of a failed run are merged by time into LOGS/soak-SEED.log. Exit status: 0 if all passed, 1 if a run failed, 2
if an option is wrong or a run could not do its work.
"""
import argparse
import concurrent.futures
import pathlib
import re
import shutil
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
PLAN = ROOT / "benchmarks" / "scale" / "soak.toml"
PASSED, FAILED, NOT_RUN = "passed", "FAILED", "NOT RUN"
KEPT_LOGS = re.compile(r"^logs: (?P<folder>\S+)$", re.MULTILINE)
TIMESTAMP = re.compile(r"^\[\d{4}-\d\d-\d\d \d\d:\d\d:\d\d")
RUN_TIMEOUT_S = 600


def seeds_of(text):
    match = re.fullmatch(r"(\d+)(?:-(\d+))?", text)
    if not match or int(match[2] or match[1]) < int(match[1]):
        raise argparse.ArgumentTypeError(f"{text!r} is no seed and no range of seeds such as 1-50")
    return range(int(match[1]), int(match[2] or match[1]) + 1)


def merged_lines(folder):
    """Returns the lines of all logs in the folder in the order of their times; lines without a time stay where they are."""
    lines = []
    for log in sorted(folder.glob("*.log")):
        time = ""
        for line in log.read_text(errors="replace").splitlines():
            time = line if TIMESTAMP.match(line) else time
            lines.append((time.split("]")[0], f"{log.stem}: {line}"))
    return [line for _, line in sorted(lines, key=lambda entry: entry[0])]


def keep_log(seed, output, logs):
    match = KEPT_LOGS.search(output)
    lines = merged_lines(pathlib.Path(match["folder"])) if match else []
    logs.mkdir(parents=True, exist_ok=True)
    file = logs / f"soak-{seed}.log"
    file.write_text(output + "\n".join(lines) + "\n")
    if match:
        shutil.rmtree(match["folder"], ignore_errors=True)
    return file


def run(seed, arguments):
    """Returns the outcome of the seed's run and the lines to print of it."""
    command = [str(arguments.build / "corkmux-scale-test"), str(arguments.plan), "--seed", str(seed),
               "--random-faults", str(arguments.faults)]
    if arguments.workers:
        command += ["--workers", str(arguments.workers)]
    try:
        done = subprocess.run(command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True, timeout=RUN_TIMEOUT_S)
    except (OSError, subprocess.TimeoutExpired) as error:
        return NOT_RUN, [str(error)]
    if done.returncode == 0:
        return PASSED, []
    outcome = FAILED if done.returncode == 1 else NOT_RUN
    problems = [line.strip() for line in done.stdout.splitlines() if line.lstrip().startswith(("WRONG", "not run"))]
    return outcome, (problems or done.stdout.splitlines()[-3:]) + [f"log: {keep_log(seed, done.stdout, arguments.logs)}"]


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build", type=pathlib.Path, default=ROOT / "target" / "test", help="folder with the programs")
    parser.add_argument("--plan", type=pathlib.Path, default=PLAN)
    parser.add_argument("--seeds", type=seeds_of, default=range(1, 51))
    parser.add_argument("--jobs", type=int, default=3, help="runs at a time")
    parser.add_argument("--faults", type=int, default=10, help="faults a run")
    parser.add_argument("--workers", type=int, default=0, help="workers, instead of the plan's")
    parser.add_argument("--logs", type=pathlib.Path, default=ROOT / "target" / "soak")
    arguments = parser.parse_args()

    counts = {PASSED: 0, FAILED: 0, NOT_RUN: 0}
    with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
        results = {pool.submit(run, seed, arguments): seed for seed in arguments.seeds}
        for future in concurrent.futures.as_completed(results):
            outcome, lines = future.result()
            counts[outcome] += 1
            print(f"seed {results[future]}: {outcome}", *lines, sep="\n  ", flush=True)
    print(f"{counts[PASSED]} passed, {counts[FAILED]} failed, {counts[NOT_RUN]} not run")
    return 1 if counts[FAILED] else 2 if counts[NOT_RUN] else 0


if __name__ == "__main__":
    sys.exit(main())
