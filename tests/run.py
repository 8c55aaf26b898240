"""Runs features in parallel and counts passed and failed scenarios.

``python -m tests.run [NAME...]`` runs the jobs whose paths or faults contain
one of the names. Scenarios listed in KNOWN-RED.txt are skipped and printed.
"""

import concurrent.futures
import json
import os
import pathlib
import re
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).parent.parent
MAX_PARALLEL = 6
FAULT_BATCH = 4
ROW_BATCH = 3
# Keeps the errors readable in the last lines of a long log.
MAX_ERROR_CHARS = 400
# Marks features that start a site for each row: their rows are split.
ROWS_TAG = "@rows"
# Marks features that measure memory: they run one at a time, after the others.
ALONE_TAG = "@alone"
PROMISES = "tests/promises"


def known_failures():
    """Return the names of scenarios in KNOWN-RED.txt."""
    path = ROOT / "KNOWN-RED.txt"
    lines = path.read_text().splitlines() if path.exists() else []
    return [
        line.partition(":")[2].strip()
        for line in lines
        if line.startswith("test:")
    ]


def _faults():
    """Return the names of faults of the promises."""
    from tests.promises.faults import FAULTS

    return list(FAULTS)


def _row_jobs(path):
    """Yield jobs of ``ROW_BATCH`` example rows of a feature."""
    lines = path.read_text().splitlines()
    if "  @faults" in lines:
        return
    name = path.relative_to(ROOT)
    table = next(
        number
        for number, line in enumerate(lines, start=1)
        if line.strip().startswith("Examples:")
    )
    rows = [
        number
        for number, line in enumerate(lines, start=1)
        if number > table + 1 and line.strip().startswith("|")
    ]
    for start in range(0, len(rows), ROW_BATCH):
        chosen = rows[start : start + ROW_BATCH]
        locations = [f"{name}:{number}" for number in chosen]
        yield " ".join(locations), locations


def jobs():
    """Yield pairs of a name and the arguments of one behave run.

    The promises are grouped by fault, so that one site under one fault serves
    the checks of every promise.
    """
    for feature in sorted((ROOT / "tests").glob("*/*.feature")):
        path = str(feature.relative_to(ROOT))
        if path.startswith(PROMISES):
            continue
        if ROWS_TAG in feature.read_text():
            yield from _row_jobs(feature)
        else:
            yield path, [path]
    faults = _faults()
    for start in range(0, len(faults), FAULT_BATCH):
        names = faults[start : start + FAULT_BATCH]
        pattern = "|".join(f"under: {re.escape(name)} --" for name in names)
        yield f"{PROMISES} {'; '.join(names)}", [PROMISES, "-n", pattern]
    for path in sorted((ROOT / PROMISES).glob("*.feature")):
        yield from _row_jobs(path)


def _describe_failure(scenario):
    """Return place, name and error of a failed scenario of a JSON report."""
    results = [step.get("result", {}) for step in scenario["steps"]]
    lines = [
        line
        for result in results
        for line in _as_lines(result.get("error_message", ""))
    ]
    text = " ".join(" ".join(lines).split())[:MAX_ERROR_CHARS]
    return f"{scenario['location']} {scenario['name']}: {text}"


def _as_lines(message):
    return [message] if isinstance(message, str) else message


def run(job):
    """Run behave once.

    :param job: A pair of :func:`jobs`.
    :returns: Name, number of passed scenarios, names of failed ones, output.
    """
    name, arguments = job
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        completed = subprocess.run(
            [
                sys.executable,
                "-m",
                "behave",
                "--format=json",
                f"--outfile={report.name}",
                "--format=plain",
                "--no-skipped",
                "--no-snippets",
                *arguments,
            ],
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": str(ROOT)},
            capture_output=True,
            text=True,
        )
        text = pathlib.Path(report.name).read_text()
    statuses, failed = [], []
    for feature in json.loads(text) if text.strip() else []:
        for item in feature.get("elements", []):
            if item["type"] == "scenario":
                statuses.append(item["status"])
                if item["status"] not in ("passed", "skipped", "untested"):
                    failed.append(_describe_failure(item))
    passed = statuses.count("passed")
    if completed.returncode and not failed:
        failed = [name]
    return name, passed, failed, completed.stdout + completed.stderr


def _runs_alone(job):
    """Return whether a job is to run with no other one beside it."""
    path = ROOT / job[1][0]
    return path.is_file() and ALONE_TAG in path.read_text()


def _results(chosen):
    """Yield the results of jobs, those that run alone last."""
    alone = [job for job in chosen if _runs_alone(job)]
    together = [job for job in chosen if job not in alone]
    with concurrent.futures.ThreadPoolExecutor(MAX_PARALLEL) as pool:
        yield from pool.map(run, together)
    yield from map(run, alone)


def main():
    """Run the selected jobs and print the counts."""
    wanted = sys.argv[1:]
    chosen = [
        job
        for job in jobs()
        if not wanted or any(word in job[0] for word in wanted)
    ]
    passed, failed = 0, []
    for name, passed_count, failures, output in _results(chosen):
        passed += passed_count
        failed += failures
        print(
            f"{name}: {passed_count} passed, {len(failures)} failed",
            flush=True,
        )
        if failures:
            print(output, flush=True)
    for name in known_failures():
        print(f"known red, passed over: {name}")
    for name in failed:
        print(f"failed: {name}")
    print(f"{passed} passed, {len(failed)} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
