"""Reads a day of the users' benchmark: its report and the logs of our processes.

A log is the output of "fleetbench run SITE DAY --log all"; a report is what
its --report wrote.  Both are of one play.
"""
import json
import re
import tomllib
from dataclasses import dataclass, field

LINE = re.compile(r"^\s*(-?\d+\.\d+) (\S+) t=\d+ level=\w+ event=\d+ name=(\w+) vm=\S+ key=(\S+) ?(.*)$")
PAIR = re.compile(r"(\w+)=(\S*)")
LATE_SHARE = 0.2  # of a job's worth, if it ends late
MIN_WORTH_SHARE = 0.3  # of its kind's mean, for a job without work
MAX_WORTH_FACTOR = 4


class InputError(Exception):
    """A file that cannot be used; the text names the file and the line."""


@dataclass
class Refusal:
    """A dispatcher's refusal of a whole job."""
    at_s: float
    vm: str
    reason: str
    fitting: int  # tasks for which it had free capacity


@dataclass
class Job:
    key: str
    arrived_s: float = None
    answered_s: float = None
    status: int = None  # HTTP status; None if the caller got no answer
    why: str = ""
    queue: str = ""
    tasks: int = 0
    work: int = 0  # core ms
    objective_ms: int = None  # expected, by the dispatcher
    slack_ms: int = None
    waited_ms: int = None  # until its first task was started
    placed_ms: int = None  # until its last task was started
    refusals: list = field(default_factory=list)
    stalled: bool = False
    not_started: bool = False

    @property
    def total_ms(self):
        return (self.answered_s - self.arrived_s) * 1000


@dataclass
class Kind:
    name: str
    worth: float
    run_ms: float
    stretch: float  # of the objective
    floor_ms: float


@dataclass
class Day:
    name: str
    report: dict
    jobs: list
    kinds: list


def read_report(path):
    try:
        with open(path, encoding="utf-8") as text:
            report = json.load(text)
    except (OSError, ValueError) as error:
        raise InputError(f"{path}: {error}") from error
    for name in ("classes", "events", "all", "G"):
        if name not in report:
            raise InputError(f"{path}: no field {name}: not a report of a day")
    return report


def read_kinds(path):
    """The kinds of request in a site file."""
    try:
        with open(path, "rb") as text:
            site = tomllib.load(text)
        return [Kind(c["name"], c["worth"], c["work_ms"]["mean"], c["jobs"]["stretch"],
                     c["aim_ms"]) for c in site["classes"]]
    except (OSError, KeyError, tomllib.TOMLDecodeError) as error:
        raise InputError(f"{path}: {error!r}: not a site file") from error


def _read_line(jobs, match):
    at, vm, name, key, rest = match.groups()
    at_s = float(at)
    fields = dict(PAIR.findall(rest))
    key = key.split(".")[0].rsplit("/", 1)[-1]
    if name in ("DISPATCH_ENDED", "DISPATCH_REFUSED") and fields["part"] not in ("0", "-"):
        return
    job = jobs.setdefault(key, Job(key))
    if name in ("CALLER_ANSWERED", "CALLER_REFUSED"):
        job.answered_s = at_s
        job.status = int(fields["status"])
        job.why = fields["why"]
        if job.arrived_s is None or "total_ms" in fields:
            job.arrived_s = at_s - int(fields.get("total_ms", 0)) / 1000
    elif name == "DISPATCH_ENDED":
        job.queue, job.tasks = fields["queue"], int(fields["tasks"])
        job.work = int(fields["work"])
        job.objective_ms, job.slack_ms = int(fields["objective_ms"]), int(fields["slack_ms"])
        job.waited_ms, job.placed_ms = int(fields["waited_ms"]), int(fields["placed_ms"])
    elif name == "DISPATCH_REFUSED":
        job.queue, job.tasks = fields["queue"], int(fields["tasks"])
        job.work = job.work or int(fields["work"])
        job.refusals.append(Refusal(at_s, vm, fields["reason"], int(fields["fitting"])))
    elif name == "CALLER_GONE":
        job.why = job.why or "caller_gone"
        job.arrived_s = at_s - int(fields["after_ms"]) / 1000
    elif name == "RUN_STALLED":
        job.stalled = True
    elif name == "RUN_NOT_STARTED":
        job.not_started = True


EVENTS_READ = {"CALLER_ANSWERED", "CALLER_REFUSED", "DISPATCH_ENDED", "DISPATCH_REFUSED", "CALLER_GONE",
               "RUN_STALLED", "RUN_NOT_STARTED"}


def read_jobs(path):
    jobs = {}
    ended = False
    with open(path, encoding="utf-8", errors="replace") as text:
        for number, line in enumerate(text, 1):
            ended = ended or line.startswith("snapshot ")
            match = LINE.match(line)
            if match is None or match.group(3) not in EVENTS_READ:
                continue
            try:
                _read_line(jobs, match)
            except (KeyError, ValueError) as error:
                raise InputError(f"{path}:{number}: no usable field {error}") from error
    if not jobs:
        raise InputError(f"{path}: no log line of a job: played without --log all?")
    if not ended:
        raise InputError(f"{path}:{number}: truncated: the last line is not the snapshot's")
    return [j for j in jobs.values() if j.arrived_s is not None]


def read_day(log, report, kinds):
    report = read_report(report)
    return Day(report.get("short") or log, report, read_jobs(log), kinds)


def kind_of_queues(day):
    """The kind of each queue: the one with the nearest run time, judged by the
    queue's mean objective."""
    objectives = {}
    for j in day.jobs:
        if j.objective_ms:
            objectives.setdefault(j.queue, []).append(j.objective_ms)
    found = {}
    for queue, values in objectives.items():
        mean = sum(values) / len(values)
        found[queue] = min(day.kinds,
                           key=lambda k: abs(k.run_ms * k.stretch + k.floor_ms - mean))
    return found


def worths(day):
    """The worth of each job that has a known queue, by key."""
    kinds = kind_of_queues(day)
    work = {}
    for j in day.jobs:
        work.setdefault(j.queue, []).append(j.work)
    mean = {q: max(1, sum(w) / len(w)) for q, w in work.items()}
    worth = {}
    for j in day.jobs:
        if j.queue not in kinds:
            continue
        factor = MIN_WORTH_SHARE + (1 - MIN_WORTH_SHARE) * j.work / mean[j.queue]
        worth[j.key] = kinds[j.queue].worth * min(MAX_WORTH_FACTOR, factor)
    return worth


def is_late(job, kind):
    """Whether a job that was done ended after its objective.  The longest run is
    taken to be the longer of the expected one and the time from its last start
    to its end."""
    if job.status != 200 or job.placed_ms is None or kind is None:
        return False
    expected_ms = job.objective_ms - job.slack_ms
    run_ms = max(expected_ms, job.total_ms - max(0, job.placed_ms))
    return job.total_ms > kind.stretch * run_ms + kind.floor_ms
