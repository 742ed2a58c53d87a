#!/usr/bin/env python3
"""Plays days with each decision of tests/mechanisms.tsv switched off, against
the same days and seeds with all of them, and prints what each one is worth.

usage: tools/ablation.py BENCH SITE [--tree DIR] [--only TEXT] [--days A,B]
                         [--seeds N] [--first S] [--jobs J] [--csv FILE]

BENCH  the users' benchmark program; SITE one of its site files
--tree the sources to play (default: the current folder)
--only the mechanisms whose names contain TEXT, or one of "TEXT|TEXT"
--days names of days or TOML files; default: the trouble-* and scale-* days of
       SITE.  "mix" is a day drawn from the seed
--seeds plays a day, seeds S..S+N-1 (default 3; --first 1)
--jobs plays at a time (default 4)

A figure is the mean over all pairs of the worth without the mechanism less the
worth with it, and the standard error of that mean: a negative figure is what
the mechanism earns.  All rows share the plays with all mechanisms, and with
them their luck: the row "nothing" is the same code played once more, and what
it shows is noise.  Processor time is not charged.  New journal entries are
copied into ./journal.  Exit status: 1 if a rule was broken, 2 on bad input.
"""
import argparse
import concurrent.futures
import csv
import json
import math
import os
import re
import shutil
import subprocess
import sys
import tempfile

TABLE = "tests/mechanisms.tsv"
FIELDS = ("kind", "name", "file", "edit", "test", "seeds")
ALL_ON = "all mechanisms"
CONTROL = "nothing"
PLAYED_FOLDERS = ("src", "platform", "deploy")


class InputError(Exception):
    pass


def read_mechanisms(tree, only):
    """The decisions of the table whose names contain ONLY, or one of several
    texts that it lists, separated by "|"."""
    path = os.path.join(tree, TABLE)
    rows = []
    with open(path, encoding="utf-8") as table:
        for number, line in enumerate(table, 1):
            if line.startswith("#") or not line.strip():
                continue
            fields = line.rstrip("\n").split("\t")
            if len(fields) != len(FIELDS):
                raise InputError(f"{TABLE}:{number}: {len(fields)} fields, not {len(FIELDS)}")
            row = dict(zip(FIELDS, fields), line=number)
            if row["kind"] == "decision" and any(o in row["name"] for o in only.split("|")):
                rows.append(row)
    if not rows:
        raise InputError(f"{TABLE}: no decision has {only!r} in its name")
    return rows


def copy_tree(tree, where):
    """Copies what the benchmark program builds, and nothing else: each journal
    entry lists all files of its tree."""
    for folder in PLAYED_FOLDERS:
        shutil.copytree(os.path.join(tree, folder), os.path.join(where, folder))
    shutil.copy(os.path.join(tree, "Makefile"), where)
    os.makedirs(where + "/journal")
    subprocess.run("git init -q && git add -A && git -c user.name=ablation "
                   "-c user.email=ablation@localhost commit -qm ablation",
                   shell=True, cwd=where, check=True)


def disable(mechanism, where):
    """Applies the edit of MECHANISM to the sources in WHERE."""
    place = f"{TABLE}:{mechanism['line']}: {mechanism['name']}"
    path = os.path.join(where, mechanism["file"])
    if not os.path.exists(path):
        raise InputError(f"{place}: no file {mechanism['file']}")
    before = open(path, encoding="utf-8").read()
    edit = subprocess.run(["sed", mechanism["edit"], path], capture_output=True, text=True)
    if edit.returncode:
        raise InputError(f"{place}: {edit.stderr.strip()}")
    if edit.stdout == before:
        raise InputError(f"{place}: the edit changes nothing in {mechanism['file']}")
    with open(path, "w", encoding="utf-8") as out:
        out.write(edit.stdout)


def build(bench, where, name):
    done = subprocess.run([bench, "build"], cwd=where, capture_output=True, text=True)
    if done.returncode:
        raise InputError(f"{name}: does not build: {(done.stdout + done.stderr)[-600:]}")


def play(bench, site, where, name, day, seed, report):
    command = [bench, "run", site, day, "--seed", str(seed), "--no-cpu", "--report", report,
               "--why", f"ablation (trial): without {name}"]
    done = subprocess.run(command, cwd=where, capture_output=True, text=True)
    try:
        with open(report, encoding="utf-8") as text:
            return json.load(text)
    except (OSError, ValueError) as error:
        raise InputError(f"{report}: no whole report of {day} seed {seed} without {name} "
                         f"({error}): {(done.stdout + done.stderr)[-300:]}") from error


def figures(report):
    parts = {name: value for name, _, value in report["parts"]}
    return {"worth": report["G"], "whole": parts.get("whole day", 0),
            "windows": parts.get("worst windows", 0), "kind": parts.get("worst class", 0),
            "domain": parts.get("worst zone", 0), "refused": report["refused"],
            "late": report["all"]["late"] / max(1, report["all"]["n"])}


def mean_and_error(values):
    mean = sum(values) / len(values)
    if len(values) < 2:
        return mean, math.nan
    spread = sum((v - mean) ** 2 for v in values) / (len(values) - 1)
    return mean, math.sqrt(spread / len(values))


def trouble_days(site):
    text = open(site, encoding="utf-8").read()
    return sorted(set(re.findall(r'^name = "((?:trouble|scale)-\d+)"', text, re.M)))


def keep_journal(where):
    for entry in os.listdir(where + "/journal"):
        source = f"{where}/journal/{entry}"
        if os.path.isfile(source) and not os.path.exists("journal/" + entry):
            shutil.copy(source, "journal/" + entry)


def play_all(options, trees, pairs, top):
    """Plays PAIRS on all TREES.  Returns figures by (name, pair), and the broken
    rules."""
    results, broken = {}, []
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        waiting = {}
        for name, where in trees.items():
            for day, seed in pairs:
                report = f"{top}/{os.path.basename(where)}-{os.path.basename(day)}-{seed}.json"
                waiting[pool.submit(play, options.bench, options.site, where, name, day, seed,
                                    report)] = (name, day, seed)
        for done in concurrent.futures.as_completed(waiting):
            name, day, seed = waiting[done]
            report = done.result()
            results[name, (day, seed)] = figures(report)
            if report.get("breaks") or report.get("fault"):
                broken.append((name, day, seed, report.get("breaks") or report.get("fault")))
    return results, broken


def print_table(results, names, pairs):
    columns = list(figures_of(results, ALL_ON, pairs)[0])
    base = mean_and_error([f["worth"] for f in figures_of(results, ALL_ON, pairs)])[0]
    print(f"{ALL_ON}: worth {base:.4f} over {len(pairs)} plays")
    print(f"{'without':50}" + "".join(f"{c:>17}" for c in columns))
    for name in names:
        line = f"{name:50}"
        for column in columns:
            mean, error = mean_and_error([results[name, p][column] - results[ALL_ON, p][column]
                                          for p in pairs])
            line += f"  {mean:+.4f}\u00b1{error:.4f}"
        print(line)


def figures_of(results, name, pairs):
    return [results[name, p] for p in pairs]


def write_csv(path, results):
    with open(path, "w", encoding="utf-8", newline="") as out:
        rows = csv.writer(out)
        columns = list(next(iter(results.values())))
        rows.writerow(["without", "day", "seed"] + columns)
        for (name, (day, seed)), f in sorted(results.items()):
            rows.writerow([name, day, seed] + [f"{f[c]:.5f}" for c in columns])


def run(options, top):
    options.bench = os.path.abspath(options.bench)
    options.site = os.path.abspath(options.site)
    mechanisms = read_mechanisms(options.tree, options.only)
    days = trouble_days(options.site)
    if options.days:
        days = [os.path.abspath(d) if d.endswith(".toml") else d for d in options.days.split(",")]
    pairs = [(d, s) for d in days for s in range(options.first, options.first + options.seeds)]
    trees = {ALL_ON: f"{top}/base", CONTROL: f"{top}/control"}
    for number, mechanism in enumerate(mechanisms):
        trees[mechanism["name"]] = f"{top}/{number}"
    copy_tree(options.tree, trees[ALL_ON])
    build(options.bench, trees[ALL_ON], ALL_ON)
    for name, where in trees.items():
        if name != ALL_ON:
            # With the objects, so that only what an edit changes is compiled.
            shutil.copytree(trees[ALL_ON], where)
    for mechanism in mechanisms:
        disable(mechanism, trees[mechanism["name"]])
    for name, where in trees.items():
        build(options.bench, where, name)
    try:
        results, broken = play_all(options, trees, pairs, top)
    finally:
        if os.path.isdir("journal"):
            for where in trees.values():
                keep_journal(where)
    print_table(results, [CONTROL] + [m["name"] for m in mechanisms], pairs)
    for line in sorted(broken, key=str):
        print("BROKEN", *line)
    if options.csv:
        write_csv(options.csv, results)
    return 1 if any(line[0] == ALL_ON for line in broken) else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("bench")
    parser.add_argument("site")
    parser.add_argument("--tree", default=".")
    parser.add_argument("--only", default="")
    parser.add_argument("--days")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--csv")
    options = parser.parse_args()
    for path in (options.bench, options.site):
        if not os.path.isfile(path):
            parser.error(f"{path}: no such file")
    top = tempfile.mkdtemp(prefix="ablation-")
    try:
        return run(options, top)
    except InputError as error:
        print(f"ablation: {error}", file=sys.stderr)
        return 2
    finally:
        shutil.rmtree(top, ignore_errors=True)


if __name__ == "__main__":
    sys.exit(main())
