#!/usr/bin/env python3
"""Tests of the tools that read days of the users' benchmark.  Run from the root
of the repository.  Ends with "N passed, N failed"."""
import itertools
import json
import os
import random
import subprocess
import sys
import tempfile
import unittest

sys.path.insert(0, "tools")
import ablation
import day_log
import lost_worth
import worth_bound

KIND = day_log.Kind("quick", 1.0, 100, 1.6, 60)
SITE = """
[[services]]
speeds = [1.0, 2.0]
servers = [{ zone = "a", count = 2 }, { zone = "b", count = 1 }]
node = { cpu = 10000, sizes = [1.0, 1.5] }
[[classes]]
name = "quick"
worth = 1.0
aim_ms = 60.0
work_ms = { mean = 100 }
jobs = { stretch = 1.6 }
"""
LINES = {
    "ended": "name=DISPATCH_ENDED vm=a key={key} result=done reason=none queue=q tasks=2 waited_ms={waited} "
             "placed_ms={placed} total_ms=100 slack_ms=120 objective_ms=220 work=2000 part=0",
    "answered": "name=CALLER_ANSWERED vm=a key={key} status={status} why={why} total_ms={total}",
    "refused": "name=DISPATCH_REFUSED vm={vm} key={key} reason={why} queue=q tasks=2 ahead_ms=0 cpu=1 "
               "retry_ms=1 fitting={fitting} work=2000 path_ms=100 age_ms=0 part=0",
}


def line(kind, at_s, vm="a", **fields):
    return f"  {at_s:.4f} {vm} t=1 level=info event=1 " + LINES[kind].format(vm=vm, **fields)


class Files(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)

    def write(self, name, text):
        path = os.path.join(self.folder.name, name)
        with open(path, "w", encoding="utf-8") as out:
            out.write(text)
        return path

    def log(self, *lines):
        return self.write("day.log", "\n".join(lines) + "\nsnapshot 1\n")

    def jobs(self, *lines):
        return {j.key: j for j in day_log.read_jobs(self.log(*lines))}


class DayLog(Files):
    def test_job_is_read(self):
        job = self.jobs(line("ended", 1.1, key="k", waited=0, placed=10),
                        line("answered", 1.1, key="k", status=200, why="done", total=100))["k"]
        self.assertAlmostEqual(job.arrived_s, 1.0)
        self.assertEqual((job.queue, job.tasks, job.work, job.objective_ms), ("q", 2, 2000, 220))
        self.assertFalse(day_log.is_late(job, KIND))

    def test_delegated_part_is_no_job(self):
        answered = line("answered", 1.2, key="k", status=200, why="done", total=200)
        ended = line("ended", 1.1, key="k", waited=0, placed=10)
        for part, tasks in [("1.4+2", 2), ("1", 2), ("-", 9), ("0", 9)]:
            other = ended.replace("part=0", f"part={part}").replace("tasks=2", "tasks=9")
            self.assertEqual(self.jobs(ended, other, answered)["k"].tasks, tasks, part)

    def test_late(self):
        job = self.jobs(line("ended", 1.5, key="k", waited=0, placed=400),
                        line("answered", 1.5, key="k", status=200, why="done", total=500))["k"]
        self.assertTrue(day_log.is_late(job, KIND))
        self.assertEqual(lost_worth.cause_of(job, KIND), "late, some tasks waited for cores")

    def test_truncated_log(self):
        path = self.write("cut.log", line("answered", 1, key="k", status=200, why="done", total=1) + "\n")
        with self.assertRaisesRegex(day_log.InputError, "cut.log:1: truncated"):
            day_log.read_jobs(path)

    def test_line_without_a_field(self):
        bad = line("answered", 1, key="k", status="", why="done", total=1)
        with self.assertRaisesRegex(day_log.InputError, "day.log:1"):
            day_log.read_jobs(self.log(bad))

    def test_missing_report(self):
        with self.assertRaisesRegex(day_log.InputError, "none.json"):
            day_log.read_report(os.path.join(self.folder.name, "none.json"))

    def test_not_a_report(self):
        with self.assertRaisesRegex(day_log.InputError, "no field classes"):
            day_log.read_report(self.write("r.json", "{}"))


class Causes(Files):
    def refused(self, *fitting):
        lines = [line("refused", 1, vm=f"v{i}", key="k", why="share", fitting=n)
                 for i, n in enumerate(fitting)]
        return self.jobs(*lines, line("answered", 1, key="k", status=503, why="share", total=0))["k"]

    def test_where_cores_were_free(self):
        for fitting, where in (((0, 1), "no free cores"), ((1, 1), "free cores in several places"),
                               ((2, 0), "free cores in one place")):
            self.assertEqual(lost_worth.cause_of(self.refused(*fitting), KIND), "refused, share, " + where)

    def test_trouble_at(self):
        report = {"events": [{"kind": "burst", "at_s": 5, "to_s": 8},
                             {"kind": "closing (power)", "at_s": 40, "to_s": 50}]}
        rows = ((4, "none"), (6, "burst"), (10, "burst"), (12, "none"), (41, "closing"),
                (48, "after the final fault"))
        for at_s, name in rows:
            self.assertEqual(lost_worth.trouble_at(report, at_s), name)


def is_feasible(jobs, capacity, slots):
    """Whether all of JOBS can be on time: by the earliest last slot first."""
    left = [capacity] * slots
    for o in sorted(jobs, key=lambda o: o.last):
        work = o.work
        for s in range(o.first, o.last + 1):
            done = min(work, left[s])
            work, left[s] = work - done, left[s] - done
        if work > 1e-9:
            return False
    return True


class Bound(Files):
    def best(self, jobs, capacity, slots):
        """The highest worth of any set of jobs that fits, tried one by one."""
        sets = itertools.chain.from_iterable(itertools.combinations(jobs, n) for n in range(len(jobs) + 1))
        return max(sum(o.value for o in some) for some in sets if is_feasible(some, capacity, slots))

    def divisible(self, jobs, capacity, slots):
        """The highest worth if a part of a job earns that part of its worth: the
        densest jobs first, as much of each as fits."""
        taken, worth = [], 0.0
        for o in sorted(jobs, key=lambda o: -o.value / o.work):
            low, high = 0.0, float(o.work)
            for _ in range(40):
                part = (low + high) / 2
                more = worth_bound.Option(o.value, part, o.first, o.last)
                low, high = (part, high) if is_feasible(taken + [more], capacity, slots) else (low, part)
            taken.append(worth_bound.Option(o.value, low, o.first, o.last))
            worth += o.value * low / o.work
        return worth

    def test_against_brute_force(self):
        source = random.Random(7)
        for _ in range(25):
            slots = 6
            jobs = []
            for _ in range(8):
                first = source.randrange(slots)
                jobs.append(worth_bound.Option(source.randint(1, 9), source.randint(1, 6), first,
                                               min(slots - 1, first + source.randrange(3))))
            best = self.best(jobs, 4, slots)
            bound = worth_bound.lowest_bound([[o] for o in jobs], 4, slots, steps=2000)
            self.assertGreaterEqual(bound, best - 1e-9)
            exact = self.divisible(jobs, 4, slots)
            self.assertGreaterEqual(bound, exact - 1e-6)
            self.assertLessEqual(bound, 1.05 * exact)

    def test_any_prices_give_a_bound(self):
        jobs = [[worth_bound.Option(3, 4, 0, 1)], [worth_bound.Option(2, 4, 0, 1)]]
        for prices in ([0, 0], [0.1, 0.9], [5, 5]):
            self.assertGreaterEqual(worth_bound.dual(jobs, 2, prices)[0], 3)

    def test_cores(self):
        self.assertAlmostEqual(worth_bound.cores(self.write("s.toml", SITE)), 10 + 30 + 10)

    def test_command_refuses_bad_input(self):
        site = self.write("s.toml", SITE)
        for tool in ("worth_bound", "lost_worth"):
            done = subprocess.run([sys.executable, f"tools/{tool}.py", site, "none.log", "none.json"],
                                  capture_output=True, text=True, check=False)
            self.assertEqual(done.returncode, 2)
            self.assertIn("none.json", done.stderr)


class Ablation(Files):
    def setUp(self):
        super().setUp()
        os.makedirs(self.folder.name + "/tests")
        self.write("a.c", "int a = 1;\n")

    def table(self, *rows):
        self.write(ablation.TABLE, "\n".join("\t".join(r) for r in rows) + "\n")

    def test_edit_is_applied(self):
        self.table(("decision", "one", "a.c", "s/1/2/", "unit", "1"), ("promise", "two", "a.c", "s/1/3/", "unit", "1"))
        rows = ablation.read_mechanisms(self.folder.name, "")
        self.assertEqual([r["name"] for r in rows], ["one"])
        ablation.disable(rows[0], self.folder.name)
        with open(self.folder.name + "/a.c", encoding="utf-8") as text:
            self.assertEqual(text.read(), "int a = 2;\n")

    def test_edit_that_changes_nothing(self):
        self.table(("decision", "one", "a.c", "s/7/2/", "unit", "1"))
        row = ablation.read_mechanisms(self.folder.name, "")[0]
        with self.assertRaisesRegex(ablation.InputError, "mechanisms.tsv:1: one: the edit changes nothing"):
            ablation.disable(row, self.folder.name)

    def test_row_with_missing_fields(self):
        self.table(("decision", "one", "a.c"))
        with self.assertRaisesRegex(ablation.InputError, "mechanisms.tsv:1: 3 fields"):
            ablation.read_mechanisms(self.folder.name, "")

    def test_the_projects_own_table(self):
        for row in ablation.read_mechanisms(".", ""):
            done = subprocess.run(["sed", row["edit"], row["file"]], capture_output=True, text=True, check=True)
            with open(row["file"], encoding="utf-8") as text:
                self.assertNotEqual(done.stdout, text.read(), row["name"])

    def test_mean_and_error(self):
        mean, error = ablation.mean_and_error([1.0, 3.0])
        self.assertEqual((mean, error), (2.0, 1.0))


def main():
    suite = unittest.defaultTestLoader.loadTestsFromModule(sys.modules[__name__])
    result = unittest.TextTestRunner(stream=sys.stderr, verbosity=0).run(suite)
    failed = len(result.failures) + len(result.errors)
    print(f"tools: {result.testsRun - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
