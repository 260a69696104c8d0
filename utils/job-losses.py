#!/usr/bin/env python3
"""Prints which jobs were not served, when and why, from the log lines of all instances of a deployment.

Usage: utils/job-losses.py [--window SECONDS] [--id JOB] [LOG...]

Reads JSON lines, with or without a prefix before the first brace, from files or standard input. Lines of other kinds are ignored.
With --id it prints the lines of one job instead, in the order of time.
"""

import argparse
import collections
import datetime
import fileinput
import json
import sys

ANSWERED = "job answered"
ROUTED = "job routed"
TOO_LATE = "job too late"


class Job:
    """What the instances logged about one job."""

    def __init__(self):
        self.priority = "?"
        self.routes = 0
        self.late_estimates = 0
        self.arrived_at = None
        self.outcome = None
        self.reason = ""
        self.took_ms = 0
        self.retry_ms = 0


def read_entries(lines):
    """Yields the decoded JSON objects of log lines."""
    for line in lines:
        begin = line.find("{")
        if begin < 0 or '"message"' not in line:
            continue
        try:
            entry = json.loads(line[begin:])
        except json.JSONDecodeError:
            continue  # Other text that contains a brace, such as a report printed between the lines.
        if isinstance(entry, dict) and "message" in entry and "time" in entry:
            yield entry


def seconds(entry):
    return datetime.datetime.fromisoformat(entry["time"].replace("Z", "+00:00")).timestamp()


def collect_jobs(entries):
    """Returns the jobs by identifier."""
    jobs = collections.defaultdict(Job)
    for entry in entries:
        message = entry["message"]
        if message not in (ROUTED, TOO_LATE, ANSWERED):
            continue
        job = jobs[entry["job"]]
        if message == ROUTED:
            job.routes += 1
            job.priority = entry["priority"]
            job.arrived_at = job.arrived_at or seconds(entry)
        elif message == TOO_LATE:
            job.late_estimates += 1
        else:
            job.outcome = entry["outcome"]
            job.reason = entry["reason"]
            job.took_ms = int(entry["took_ms"])
            job.retry_ms = int(entry["retry_ms"])
            job.arrived_at = job.arrived_at or seconds(entry) - job.took_ms / 1000
    return jobs


def quantile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def quantiles(values):
    return "/".join(str(quantile(values, share)) for share in (0.05, 0.5, 0.95))


def print_outcomes(jobs, out):
    groups = collections.defaultdict(list)
    for job in jobs:
        groups[job.priority, job.outcome, job.reason].append(job)
    heads = ("priority", "outcome", "reason", "jobs", "ms to answer", "Retry-After ms", "routes/job", "estimates/job")
    print("{:8} {:10} {:16} {:>6}  {:>16} {:>16} {:>10} {:>13}".format(*heads), file=out)
    for key, group in sorted(groups.items()):
        print(
            "{:8} {:10} {:16} {:6}  {:>16} {:>16} {:10.2f} {:13.2f}".format(
                *key,
                len(group),
                quantiles([job.took_ms for job in group]),
                quantiles([job.retry_ms for job in group]),
                sum(job.routes for job in group) / len(group),
                sum(job.late_estimates for job in group) / len(group),
            ),
            file=out,
        )


def print_windows(jobs, window, out):
    start = min(job.arrived_at for job in jobs)
    rows = collections.defaultdict(collections.Counter)
    columns = collections.Counter()
    for job in jobs:
        label = job.outcome if job.outcome == "complete" else f"{job.outcome}:{job.reason}"
        rows[int((job.arrived_at - start) / window)][label] += 1
        columns[label] += 1
    names = [name for name, _ in columns.most_common()]
    print("\narrived in second".ljust(19), "  ".join(names), file=out)
    for row in sorted(rows):
        counts = "  ".join(str(rows[row][name]).rjust(len(name)) for name in names)
        print(str(row * window).ljust(18), counts, file=out)


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--window", type=float, default=2, help="length of a row of the second table, in seconds")
    parser.add_argument("--id", help="print the lines of this job only")
    parser.add_argument("logs", nargs="*")
    options = parser.parse_args()
    with fileinput.input(options.logs or ("-",), errors="replace") as lines:
        entries = read_entries(lines)
        if options.id:
            found = [it for it in entries if it.get("job") == options.id or options.id in it.get("attempt", "")]
            for entry in sorted(found, key=lambda it: it["time"]):
                print(json.dumps(entry))
            return 0 if found else 1
        jobs = [job for job in collect_jobs(entries).values() if job.outcome]
    if not jobs:
        print("no line says how a job was answered", file=sys.stderr)
        return 1
    print_outcomes(jobs, sys.stdout)
    print_windows(jobs, options.window, sys.stdout)
    return 0


if __name__ == "__main__":
    sys.exit(main())
