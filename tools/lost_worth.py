#!/usr/bin/env python3
"""Tells where the worth of days was lost: by cause, by kind of request and by
the trouble at the time.

usage: tools/lost_worth.py SITE LOG REPORT [LOG REPORT ...]

LOG and REPORT are of one play: fleetbench run SITE DAY --log all --report
REPORT > LOG.  Figures are shares of the worth owed on all days, in percent.
Requests that left no line in our logs (their VM had no power, was killed or cut
off) are counted from the report.  Exit status 2 on bad input.
"""
import sys
from collections import defaultdict

import day_log

SETTLE_S = 3.0  # a trouble's losses go on for so long after it
QUIET_KINDS = ("config_change", "config_race", "config_storm", "bad_config", "big_config",
               "ack_lost", "disk_stall", "after_ack_wipe", "after_ack_kill")
CLOSING = "closing"


def refusal_cause(job):
    last = job.refusals[-1]
    if last.reason in ("share", "overload", "full"):
        best = max(r.fitting for r in job.refusals)
        total = sum({r.vm: r.fitting for r in job.refusals}.values())
        if best >= job.tasks:
            where = "free cores in one place"
        elif total >= job.tasks:
            where = "free cores in several places"
        else:
            where = "no free cores"
        return f"refused, {last.reason}, {where}"
    return f"refused, {last.reason}"


def late_cause(job):
    if job.stalled:
        return "late, slow or hung target"
    if job.not_started:
        return "late, start not answered"
    if job.waited_ms > job.slack_ms:
        return "late, all tasks waited for cores"
    if job.placed_ms > job.slack_ms:
        return "late, some tasks waited for cores"
    if job.placed_ms > job.slack_ms / 2:
        return "late, waited over half of its slack"
    return "late, ran longer than expected"


def cause_of(job, kind):
    """The cause of JOB's loss, or None if it was on time."""
    if job.status == 200 and job.why == "done":
        return late_cause(job) if day_log.is_late(job, kind) else None
    if job.why == "caller_gone":
        return "caller gone"
    if job.status == 503:
        return refusal_cause(job) if job.refusals else f"refused by the entry, {job.why}"
    return f"failed, {job.why or 'no answer'}"


def trouble_at(report, at_s):
    """The kind of the trouble in force at AT_S; of several the last to begin."""
    best = None
    for e in report["events"]:
        kind = e["kind"].split()[0]
        if kind == CLOSING and at_s >= e["at_s"] - 0.5:
            return CLOSING if at_s < e["at_s"] + 5 else "after the final fault"
        if kind in QUIET_KINDS or not e["at_s"] <= at_s <= e["to_s"] + SETTLE_S:
            continue
        if best is None or e["at_s"] >= best["at_s"]:
            best = e
    return best["kind"] if best else "none"


def add_day(day, lost):
    """Adds the day's losses to LOST[table][row].  Returns the worth owed."""
    worth = day_log.worths(day)
    kinds = day_log.kind_of_queues(day)
    seen = defaultdict(int)
    for job in day.jobs:
        cause = cause_of(job, kinds.get(job.queue))
        kind = kinds[job.queue].name if job.queue in kinds else "unknown"
        seen[kind] += 1
        if cause is None or job.key not in worth and job.status == 404:
            continue
        value = worth.get(job.key)
        if value is None:
            value = sum(k.worth for k in day.kinds) / len(day.kinds) * 0.3
        loss = value * (1 - day_log.LATE_SHARE if cause.startswith("late") else 1)
        lost["cause"][cause] += loss
        lost["kind of request"][kind] += loss
        lost["trouble"][trouble_at(day.report, job.arrived_s)] += loss
        lost["cause and trouble"][f"{cause} / {trouble_at(day.report, job.arrived_s)}"] += loss
        lost["count"][cause] += 1
    owed = 0
    for c in day.report["classes"]:
        kind = next(k for k in day.kinds if k.name == c["name"])
        owed += kind.worth * c["n"]
        missing = max(0, c["n"] - seen[kind.name])
        lost["cause"]["no line in our logs"] += kind.worth * missing
        lost["count"]["no line in our logs"] += missing
    return owed


def print_table(title, rows, owed, limit=40):
    print(f"\nlost worth by {title}, % of what was owed")
    for name, value in sorted(rows.items(), key=lambda r: -r[1])[:limit]:
        print(f"{100 * value / owed:8.2f}  {name}")
    print(f"{100 * sum(rows.values()) / owed:8.2f}  sum")


def main():
    args = sys.argv[1:]
    if len(args) < 3 or len(args) % 2 == 0:
        print(__doc__)
        return 2
    lost = defaultdict(lambda: defaultdict(float))
    owed = 0
    try:
        kinds = day_log.read_kinds(args[0])
        for log, report in zip(args[1::2], args[2::2]):
            day = day_log.read_day(log, report, kinds)
            of_queue = day_log.kind_of_queues(day)
            late = sum(day_log.is_late(j, of_queue.get(j.queue)) for j in day.jobs)
            print(f"{log}: worth {day.report['G']:.3f}; late by the report "
                  f"{day.report['all']['late']}, by our estimates {late}")
            owed += add_day(day, lost)
    except day_log.InputError as error:
        print(f"lost_worth: {error}", file=sys.stderr)
        return 2
    counts = lost.pop("count")
    for title, rows in lost.items():
        print_table(title, rows, owed)
    print("\nrequests by cause")
    for name, value in sorted(counts.items(), key=lambda r: -r[1]):
        print(f"{value:8.0f}  {name}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
