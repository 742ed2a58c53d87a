#!/usr/bin/env python3
"""Bounds the worth that a day could have had at best, from its own arrivals.

usage: tools/worth_bound.py SITE LOG REPORT [LOG REPORT ...] [--usable PERCENT]

The day is relaxed: all targets of SITE work all day, their cores form one pool
that can be divided at will, work can be interrupted and moved at no cost, and
everything is known beforehand.  A job then has its worth if its work is done
between its arrival and its objective, and a fifth of it if by three times the
objective.  The dual of this linear program gives a bound for any prices of
core time, one price for each slot of 50 ms:

    sum of capacity * price  +  sum over jobs of the larger of 0 and
    (worth - work * lowest price in the job's time)

No schedule earns more, whatever the prices are; they are improved by steps
along the subgradient and the lowest bound is kept.  --usable is the share of
the cores that can be used; below 100 the figure is an estimate and no bound,
since whole tasks leave cores unused but not a fixed share of them.

Printed: the bound, what we earned by the same worths, and the ratio.  Requests
that left no line in our logs are in neither.  Exit status 2 on bad input.
"""
import argparse
import sys
import tomllib

import day_log

SLOT_MS = 50
LATE_OBJECTIVES = 3
STEPS = 250


class Option:
    """A way to earn VALUE: WORK within the slots FIRST to LAST."""

    def __init__(self, value, work, first, last):
        self.value, self.work, self.first, self.last = value, work, first, last


def argmin_table(prices):
    """A sparse table of the positions of the lowest prices."""
    rows = [list(range(len(prices)))]
    width = 1
    while 2 * width <= len(prices):
        above = rows[-1]
        rows.append([above[i] if prices[above[i]] <= prices[above[i + width]]
                     else above[i + width] for i in range(len(prices) - 2 * width + 1)])
        width *= 2
    return rows


def cheapest_slot(table, prices, first, last):
    level = (last - first + 1).bit_length() - 1
    left, right = table[level][first], table[level][last - (1 << level) + 1]
    return left if prices[left] <= prices[right] else right


def dual(jobs, capacity, prices):
    """The bound for PRICES, and the demand in each slot at these prices."""
    table = argmin_table(prices)
    bound = sum(prices) * capacity
    demand = [0.0] * len(prices)
    for options in jobs:
        best, slot, work = 0.0, None, 0.0
        for o in options:
            s = cheapest_slot(table, prices, o.first, o.last)
            gain = o.value - o.work * prices[s]
            if gain > best:
                best, slot, work = gain, s, o.work
        bound += best
        if slot is not None:
            demand[slot] += work
    return bound, demand


def lowest_bound(jobs, capacity, slots, steps=STEPS):
    """The lowest bound found for JOBS, each a list of options."""
    prices = [0.0] * slots
    lowest = float("inf")
    work = sum(o.work for options in jobs for o in options[:1])
    value = sum(o.value for options in jobs for o in options[:1])
    density = value / max(1, work)
    for step in range(1, steps + 1):
        bound, demand = dual(jobs, capacity, prices)
        lowest = min(lowest, bound)
        size = 0.4 * density / capacity / step ** 0.5
        prices = [max(0.0, p + size * (d - capacity)) for p, d in zip(prices, demand)]
    return lowest


def options_of(job, worth, start_s, slots):
    """The options of a job: on time, and late."""
    first = int((job.arrived_s - start_s) * 1000 / SLOT_MS)
    options = []
    for value, objectives in ((worth, 1), (worth * day_log.LATE_SHARE, LATE_OBJECTIVES)):
        last = first + -(-objectives * job.objective_ms // SLOT_MS)
        options.append(Option(value, job.work, max(0, first), min(slots - 1, last)))
    return options


def cores(site):
    """The cores of all targets, each as fast as one of speed 1."""
    total = 0.0
    with open(site, "rb") as text:
        services = tomllib.load(text)["services"]
    for service in services:
        node = service["node"]
        count = sum(s["count"] for s in service["servers"])
        kinds = list(zip(node["sizes"], service["speeds"]))
        total += sum(node["cpu"] / 1000 * kinds[i % len(kinds)][0] * kinds[i % len(kinds)][1]
                     for i in range(count))
    return total


def complete(day):
    """Gives refused jobs the objective that their queue has on average."""
    known = {}
    for j in day.jobs:
        if j.objective_ms:
            known.setdefault(j.queue, []).append(j.objective_ms)
    for j in day.jobs:
        if j.objective_ms is None and j.queue in known:
            j.objective_ms = sum(known[j.queue]) // len(known[j.queue])


def earned(day, worth):
    kinds = day_log.kind_of_queues(day)
    total = 0.0
    for j in day.jobs:
        if j.key in worth and j.status == 200 and j.why == "done":
            late = day_log.is_late(j, kinds.get(j.queue))
            total += worth[j.key] * (day_log.LATE_SHARE if late else 1)
    return total


def bound_day(day, capacity_cores):
    worth = day_log.worths(day)
    total_earned = earned(day, worth)
    complete(day)
    jobs = [j for j in day.jobs if j.key in worth and j.objective_ms and j.work]
    start_s = min(j.arrived_s for j in jobs)
    end_s = max(j.arrived_s for j in jobs) + 20
    slots = int((end_s - start_s) * 1000 / SLOT_MS)
    options = [options_of(j, worth[j.key], start_s, slots) for j in jobs]
    bound = lowest_bound(options, capacity_cores * SLOT_MS, slots)
    owed = sum(worth[j.key] for j in jobs)
    return bound / owed, total_earned / owed


def main():
    parser = argparse.ArgumentParser(description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("site")
    parser.add_argument("files", nargs="+", metavar="LOG REPORT")
    parser.add_argument("--usable", type=float, default=100)
    options = parser.parse_args()
    if len(options.files) % 2:
        parser.error("each LOG needs its REPORT")
    sums = [0.0, 0.0]
    try:
        kinds = day_log.read_kinds(options.site)
        capacity = cores(options.site) * options.usable / 100
        for log, report in zip(options.files[::2], options.files[1::2]):
            bound, got = bound_day(day_log.read_day(log, report, kinds), capacity)
            print(f"{log}: bound {bound:.3f} earned {got:.3f} share {got / bound:.3f}")
            sums = [sums[0] + bound, sums[1] + got]
    except day_log.InputError as error:
        print(f"worth_bound: {error}", file=sys.stderr)
        return 2
    print(f"all: bound {2 * sums[0] / len(options.files):.3f} "
          f"earned {2 * sums[1] / len(options.files):.3f} share {sums[1] / sums[0]:.3f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
