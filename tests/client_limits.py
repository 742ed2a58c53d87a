#!/usr/bin/env python3
"""Clients that don't behave, at each port of ragwort-node that a client can reach:
heads, empty lines, bodies and chunks without end or short of their end, and requests
sent ahead whose answers are not read.  The process lives; what its machine's memory is
charged for (what is resident, and the bytes that have arrived and were not read) and
its open descriptors stay under a bound, and so do the answers that the kernel holds; ordinary requests are answered while the crowd
is still connected, and after it.  Guards against a process that clients drive out of
memory, and against places that they hold without end.

Each kind is played alone and beside ordinary callers.  So are connections at the
peers' port, and targets whose answers have no end.

usage: tests/client_limits.py BUILD [NAME...]

Run from the root of the repository, alone.  Ends with "clients: N passed, N
failed".  Kinds that KNOWN-RED.txt names are printed and not played, unless they
are named as arguments."""
import os
import sys
import threading
import time
from dataclasses import dataclass, replace

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [HERE, os.path.join(HERE, "spoilt")]
import processes
from clients import kinds
from clients.crowd import Crowd
from clients.kinds import ALL, HOST, SLOWLY, Kind
from clients.target import EndlessTarget, HoldingTarget
from clients.watch import STOP_MB, Watch
from processes import CALLERS, CONTROL, METRICS, READY

NET = "127.65.%d" % (os.getpid() % 200 + 1)
START_WAIT_S = 60.0
SERVE_WAIT_S = 30.0
SEND_S = 8.0
HEARTBEAT_S = 0.4
ROUTES = 350  # as many as the users' pages add to a configuration


@dataclass(frozen=True)
class Machines:
    """The machines of a deployment, and the settings of clients."""
    entry_mb: int
    keeper_mb: int
    descriptors: int
    descriptors_maximum: int
    clients: dict


# The smallest entry of the users' pages has 120 MB and 3,075 descriptors, of which 200
# are not for sockets; these machines are scaled by about a quarter.  1,000 descriptors,
# the least that the settings allow, leave 200 to clients; an entry has about 60 open
# with its peers and target.
SMALL = Machines(32, 64, 1000, 320, {
    "header_bytes": 16384, "body_bytes": kinds.BODY_BYTES, "header_timeout_ms": 3000,
    "body_timeout_ms": 5000, "answer_timeout_ms": 3000})
CROWD = 64
IDLE_PER_PORT = 120

# The same memory with descriptors for 600 clients: what each has unread counts.
WIDE = Machines(32, 32, 1600, 1400, SMALL.clients)
WIDE_CROWD = 400

# As many descriptors as a process with 1,000 may open, 200 being for files.
NARROW = Machines(32, 32, 1000, 800, SMALL.clients)
PEER_CROWD = 900

# The smallest entry itself, and as many clients as its descriptors allow.  Keepers of
# the pages have twice this memory.
WHOLE = Machines(120, 120, 3075, 2875, {})
WHOLE_CROWD = 2500
WHOLE_CONTROL_CROWD = 1500

# "sound" runs each task at once, "hold" until it is stopped; targets of "endless" answer
# without end.
SERVICES = ["sound", "hold", "endless"]
ENDLESS = [
    ("targets: bodies without end", b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
     b"10000\r\n" + b"x" * 65536 + b"\r\n"),
    ("targets: bodies of no length", b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 65536),
    ("targets: heads without end", b"HTTP/1.1 200 OK\r\n", b"X-Field: " + b"v" * 1000 + b"\r\n"),
]
ENDLESS_S = 4.0


def route(path, service):
    return {"name": path, "host": HOST.decode(), "path-prefix": "/%s/" % path,
            "type": "unsafe", "timeout-ms": 1500, "target-duration-ms": 60, "priority": 0,
            "service": service, "max-attempts": 3, "stretch": 1.6}


CONFIG = {
    "version": 7,
    "routes": [route(name, name) for name in SERVICES]
              + [route("sound%d" % i, "sound") for i in range(ROUTES)],
    "services": [{"name": name, "health-path": "/health", "enforces-capacity": True}
                 for name in SERVICES],
    "limits": {"max-body-bytes": kinds.BODY_BYTES, "max-header-bytes": kinds.HEAD_BYTES,
               "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}
# The largest job that a caller may send, and many callers with one each.
LARGEST = "ordinary: the largest legal jobs"
LARGEST_STEPS, LARGEST_TASKS = 16, 512
LARGEST_CALLERS = 24
LARGEST_WAIT_S = 60.0

JOB = {"spec": "text", "best-effort": True,
       "steps": [{"count": 2, "cpu": 500, "mem-mb": 16, "estimate-ms": 10}]}


@dataclass(frozen=True)
class Row:
    """A crowd of COUNT clients of a KIND at each of PORTS."""
    name: str
    ports: tuple
    kind: Kind
    count: int = CROWD
    machines: Machines = SMALL


def rows_of(prefix, port, table):
    return [Row("%s: %s" % (prefix, name), (port,), Kind(kind(), **how))
            for name, kind, how in table]


# Kinds that the callers' port shares with the others are played at each.
HEADS = [
    ("many short fields", kinds.short_fields, {}),
    ("many short fields, dripped", kinds.short_fields, {"drip_bytes": 600}),
    ("empty lines", kinds.empty_lines, {}),
    ("empty lines, dripped", kinds.empty_lines, {"drip_bytes": 2}),
    ("incomplete head", kinds.incomplete_head, {}),
]
CHUNKS = [
    ("chunks of one byte", kinds.tiny_chunks, {}),
    ("chunks of one byte, dripped", kinds.tiny_chunks, {"drip_bytes": 600}),
    ("large chunks that stop short", kinds.large_chunks, {}),
]

CALLERS_ROWS = HEADS + CHUNKS + [
    ("endless fields", kinds.endless_fields, {}),
    ("endless fields, dripped", kinds.endless_fields, {"drip_bytes": 1012}),
    ("one field without end", kinds.long_field, {}),
    ("long request line", kinds.long_line, {}),
    ("a head just short of its end", kinds.long_incomplete_head, {}),
    ("whole bodies", kinds.whole_bodies, {}),
    ("bodies that stop short", kinds.short_bodies, {}),
    ("bodies in pieces that stop short", kinds.piecewise_bodies, {}),
    ("bodies that stop short, dripped", kinds.piecewise_bodies, {"drip_bytes": 4096}),
    ("bodies that wait to be asked for", kinds.expecting_head, {}),
    ("huge length", kinds.huge_length, {}),
    ("large chunks that stop short, dripped", kinds.large_chunks, {"drip_bytes": 4096}),
    ("one large chunk that stops short", kinds.one_large_chunk, {}),
    ("chunks without their last line", kinds.unended_chunked, {}),
    ("chunked body without end", kinds.long_chunked, {}),
    ("long extensions of chunks", kinds.long_extensions, {}),
    ("long trailers", kinds.long_trailers, {}),
    ("bodies of small values", kinds.small_job_values, {}),
]
CALLERS_AHEAD_ROWS = [
    ("readiness sent ahead, unread", kinds.ready_ahead, {"repeats": True}),
    ("readiness sent ahead, a byte a second read", kinds.ready_ahead,
     {"repeats": True, "reads": SLOWLY}),
    ("readiness sent ahead, read", kinds.ready_ahead, {"repeats": True, "reads": ALL}),
    ("queues sent ahead, unread", kinds.queue_ahead, {"repeats": True}),
    ("long heads sent ahead, unread", kinds.long_heads_ahead, {"repeats": True}),
    ("jobs sent ahead, unread", kinds.jobs_ahead, {"repeats": True}),
    ("jobs sent ahead, dripped, unread", kinds.jobs_ahead,
     {"repeats": True, "drip_bytes": 16384}),
    ("jobs sent ahead, then the end", kinds.jobs_ahead, {"ends_sending": True}),
    ("long queries sent ahead, unread", kinds.long_queries_ahead, {"repeats": True}),
    ("jobs that wait", kinds.waiting_job, {}),
    ("jobs that wait, with long queries", kinds.waiting_job_with_long_query, {}),
    ("largest jobs that wait", kinds.largest_waiting_job, {}),
]
READY_ROWS = HEADS + CHUNKS + [
    ("bodies that stop short", kinds.short_bodies, {}),
    ("requests sent ahead, unread", kinds.ready_ahead, {"repeats": True}),
    ("requests sent ahead, dripped, unread", kinds.ready_ahead,
     {"repeats": True, "drip_bytes": 4096}),
    ("requests sent ahead, a byte a second read", kinds.ready_ahead,
     {"repeats": True, "reads": SLOWLY}),
    ("requests sent ahead, read", kinds.ready_ahead, {"repeats": True, "reads": ALL}),
    ("requests sent ahead, closed and back", kinds.ready_ahead,
     {"repeats": True, "returns": True}),
    ("requests sent ahead, then the end", kinds.ready_ahead, {"ends_sending": True}),
    ("unknown paths sent ahead, unread", kinds.unknown_ahead, {"repeats": True}),
    ("long heads sent ahead, unread", kinds.long_heads_ahead, {"repeats": True}),
    ("long queries sent ahead, unread", kinds.long_queries_ahead, {"repeats": True}),
]
CONTROL_ROWS = HEADS + CHUNKS + [
    ("bodies that stop short", kinds.control_bodies, {}),
    ("bodies that stop short, dripped", kinds.control_bodies, {"drip_bytes": 16384}),
    ("many chunks of one byte", kinds.tiny_control_chunks, {}),
    ("configurations of small values", kinds.small_config_values, {}),
    ("heartbeats of small values", kinds.small_heartbeat_values, {}),
]
CONTROL_AHEAD_ROWS = [
    ("configurations asked for ahead, unread", kinds.config_ahead, {"repeats": True}),
    ("configurations asked for ahead, dripped, unread", kinds.config_ahead,
     {"repeats": True, "drip_bytes": 1024}),
    ("configurations asked for ahead, a byte a second read", kinds.config_ahead,
     {"repeats": True, "reads": SLOWLY}),
    ("configurations asked for ahead, read", kinds.config_ahead,
     {"repeats": True, "reads": ALL}),
    ("evacuations asked for ahead, unread", kinds.evacuations_ahead, {"repeats": True}),
    ("heartbeats sent ahead, unread", kinds.heartbeats_ahead, {"repeats": True}),
    ("unknown paths sent ahead, unread", kinds.unknown_ahead, {"repeats": True}),
    ("long heads sent ahead, unread", kinds.long_heads_ahead, {"repeats": True}),
]
METRICS_ROWS = HEADS + CHUNKS + [
    ("bodies that stop short", kinds.short_bodies, {}),
    ("requests sent ahead, unread", kinds.metrics_ahead, {"repeats": True}),
    ("requests sent ahead, a byte a second read", kinds.metrics_ahead,
     {"repeats": True, "reads": SLOWLY}),
    ("requests sent ahead, read", kinds.metrics_ahead, {"repeats": True, "reads": ALL}),
    ("unknown paths sent ahead, unread", kinds.unknown_ahead, {"repeats": True}),
]
WHOLE_ROWS = [
    ("idle connections", lambda: [], {}),
    ("a head just short of its end", kinds.long_incomplete_head, {}),
    ("bodies that stop short", kinds.short_bodies, {}),
    ("chunks of one byte", kinds.tiny_chunks, {}),
    ("readiness sent ahead, unread", kinds.ready_ahead, {"repeats": True}),
    ("long heads sent ahead, unread", kinds.long_heads_ahead, {"repeats": True}),
    ("jobs sent ahead, unread", kinds.jobs_ahead, {"repeats": True}),
    ("jobs that wait", kinds.waiting_job, {}),
    ("largest jobs that wait", kinds.largest_waiting_job, {}),
]
WHOLE_CONTROL_ROWS = [
    ("a head just short of its end", kinds.long_incomplete_head, {}),
    ("bodies that stop short", kinds.control_bodies, {}),
    ("chunks of one byte", kinds.tiny_control_chunks, {}),
    ("configurations asked for ahead, unread", kinds.config_ahead, {"repeats": True}),
    ("unknown paths sent ahead, unread", kinds.unknown_ahead, {"repeats": True}),
]

ROWS = rows_of("callers", CALLERS, CALLERS_ROWS)
ROWS += rows_of("readiness", READY, READY_ROWS)
ROWS += rows_of("control", CONTROL, CONTROL_ROWS)
ROWS += rows_of("metrics", METRICS, METRICS_ROWS)
ROWS += [Row("entry: idle connections at all ports", (CALLERS, READY, METRICS), Kind([]),
             IDLE_PER_PORT)]
ROWS += [Row("peers: connections without a hello", (processes.PEER,), Kind([]),
             PEER_CROWD, NARROW)]
ROWS += [Row("peers: hellos that stop short", (processes.PEER,),
             Kind([b"\0\0\2\0", b"x" * 500]), PEER_CROWD, NARROW)]
ROWS += [Row("peers: frames without end", (processes.PEER,),
             Kind([b"\0\0\2\0" * 4096], repeats=True))]
ROWS += [replace(r, count=WIDE_CROWD, machines=WIDE)
         for r in rows_of("callers", CALLERS, CALLERS_AHEAD_ROWS)
         + rows_of("control", CONTROL, CONTROL_AHEAD_ROWS)]
ROWS += [replace(r, count=WHOLE_CROWD, machines=WHOLE)
         for r in rows_of("a whole entry", CALLERS, WHOLE_ROWS)]
ROWS += [Row("a whole entry: requests sent ahead at all ports, unread",
             (CALLERS, READY, METRICS), Kind(kinds.ready_ahead(), repeats=True),
             WHOLE_CROWD // 3, WHOLE)]
ROWS += [replace(r, count=WHOLE_CONTROL_CROWD, machines=WHOLE)
         for r in rows_of("a whole keeper", CONTROL, WHOLE_CONTROL_ROWS)]


class Deployment(processes.Deployment):
    ENTRIES = 1

    def __init__(self, build, net, machines):
        self.machines = machines
        super().__init__(build, net)

    def memory_mb(self, address):
        return (self.machines.keeper_mb if address in self.keepers
                else self.machines.entry_mb)

    def settings(self, address):
        return dict(super().settings(address), memory_mb=self.memory_mb(address),
                    descriptors=self.machines.descriptors, clients=self.machines.clients)


class Callers:
    """Ordinary callers of all kinds, each on a thread of its own, one request after
    the other."""
    PAUSE_S = 0.02

    def __init__(self, calls):
        self.stopping = False
        self.threads = [threading.Thread(target=self.run, args=(call,), daemon=True)
                        for call in calls]
        for thread in self.threads:
            thread.start()

    def run(self, call):
        while not self.stopping:
            call()
            time.sleep(self.PAUSE_S)

    def close(self):
        self.stopping = True
        for thread in self.threads:
            thread.join()


class Run:
    """A deployment of three keepers, an entry and a target."""

    def __init__(self, build, machines):
        self.machines = machines
        self.deployment = Deployment(build, NET, machines)
        self.entry = self.deployment.entries[0]
        self.targets = [processes.Target(NET + ".40", 1), HoldingTarget(NET + ".41", 2)]
        self.announced = ["sound", "hold"]
        self.stopping = False
        self.job_count = 0
        self.lock = threading.Lock()
        self.heartbeats = threading.Thread(target=self.send_heartbeats, daemon=True)
        self.heartbeats.start()

    def send_heartbeats(self):
        sequence = 0
        while not self.stopping:
            sequence += 1
            for i, service in enumerate(list(self.announced)):
                body = {"service": service,
                        "address": "%s.%d:%d" % (NET, 40 + i, processes.TARGET),
                        "zone": "shop", "version": "v1", "slots": 8, "state": "ready",
                        "cold-remaining-ms": 0, "labels": [], "born": 1, "seq": sequence,
                        "capacity": {"cpu": 16000, "mem-mb": 32768, "gpu": 0},
                        "clock-ms": 1}
                self.at_keepers(b"PUT", b"/v1/instances/i-%d" % i, body)
            time.sleep(HEARTBEAT_S)

    def at_keepers(self, method, path, body=None):
        for keeper in self.deployment.keepers:
            if self.deployment.call(keeper, CONTROL, method, path, body)[0] == 200:
                return True
        return False

    def next_path(self):
        with self.lock:
            self.job_count += 1
            return b"/sound/%016x" % (self.job_count + (os.getpid() << 32))

    def job_is_done(self):
        return self.deployment.call(self.entry, CALLERS, b"POST", self.next_path(), JOB,
                                    HOST) == (200, {"state": "done"})

    def is_ready(self):
        return self.deployment.call(self.entry, READY, b"GET", b"/v1/ready")[0] == 200

    def has_metrics(self):
        answer = processes.exchange((self.entry, METRICS), processes.request_bytes(
            b"GET", b"/metrics", [(b"Host", b"h")], b""))
        return answer is not None and answer[0] == 200

    def has_config(self):
        """Whether the keeper that the crowd calls answers, itself or by the leader's
        address."""
        return self.deployment.call(self.leader(), CONTROL, b"GET",
                                    b"/v1/config")[0] in (200, 307)

    def leader(self):
        """The keeper that leads, once this was found; the first one before."""
        return self.deployment.keepers[0] if self.leading is None else self.leading

    leading = None

    def find_leader(self):
        for keeper in self.deployment.keepers:
            if self.deployment.call(keeper, CONTROL, b"GET", b"/v1/config")[0] == 200:
                self.leading = keeper

    def calls(self):
        return [("a job", self.job_is_done), ("readiness", self.is_ready),
                ("metrics", self.has_metrics), ("the configuration", self.has_config)]

    def unserved(self, wait_s=SERVE_WAIT_S):
        """The kinds of ordinary requests that are not answered in WAIT_S."""
        missing = self.calls()
        end = time.monotonic() + wait_s
        while missing and time.monotonic() < end:
            missing = [m for m in missing if not m[1]()]
            if missing:
                time.sleep(0.1)
        return [name for name, _ in missing]

    def start(self):
        end = time.monotonic() + START_WAIT_S
        while not self.at_keepers(b"PUT", b"/v1/config", CONFIG) and time.monotonic() < end:
            time.sleep(0.1)
        missing = self.unserved(START_WAIT_S)
        self.find_leader()
        return missing

    def address(self, port):
        return self.leader() if port == CONTROL else self.entry

    def play(self, row, beside):
        """Plays a row, BESIDE ordinary callers or alone; returns its faults and its
        figures."""
        address = self.address(row.ports[0])
        process = self.deployment.processes[address]
        watch = Watch(process, address)
        callers = Callers([call for _, call in self.calls()] if beside else [])
        crowds = [Crowd((address, port), row.kind, row.count) for port in row.ports]
        watch.start()
        for crowd in crowds:
            crowd.start()
        end = time.monotonic() + SEND_S
        while (time.monotonic() < end and not watch.killed
               and not all(crowd.has_settled() for crowd in crowds)):
            time.sleep(0.02)
        callers.close()
        missing = []
        for when in ("", " afterwards"):
            if not watch.killed and not process.ended():
                missing += [name + when for name in self.unserved()]
            for crowd in crowds:
                crowd.close()
        return self.faults_of(watch, missing), watch.figures()

    def faults_of(self, watch, missing):
        """The faults that WATCH saw, and the ordinary requests that are MISSING."""
        watch.finish()
        bound_mb = self.deployment.memory_mb(watch.address)
        faults = ["not answered: " + name for name in missing]
        if watch.killed:
            faults.append("killed by this test beyond %d MB" % STOP_MB)
        elif watch.process.ended():
            faults.append("the process ended")
        if watch.peak_mb > bound_mb:
            faults.append("memory over %d MB" % bound_mb)
        if watch.unsent_mb > bound_mb:
            faults.append("unsent over %d MB" % bound_mb)
        if watch.descriptors > self.machines.descriptors_maximum:
            faults.append("more than %d descriptors" % self.machines.descriptors_maximum)
        return faults

    def play_endless(self, head, piece):
        """A target whose answers have no end, beside ordinary callers."""
        watch = Watch(self.deployment.processes[self.entry], self.entry)
        target = EndlessTarget(NET + ".42", head, piece)
        callers = Callers([call for _, call in self.calls()])
        watch.start()
        self.announced.append("endless")
        end = time.monotonic() + ENDLESS_S
        while time.monotonic() < end and not watch.killed:
            self.deployment.call(self.entry, CALLERS, b"POST",
                                 self.next_path().replace(b"sound", b"endless"), JOB, HOST)
        callers.close()
        self.announced.remove("endless")
        faults = self.faults_of(watch, self.unserved())
        target.shutdown()
        target.server_close()
        return faults, watch.figures()

    def client_counters(self):
        """What the entry counted of refusals and closings by the limits of clients."""
        answer = processes.exchange((self.entry, METRICS), processes.request_bytes(
            b"GET", b"/metrics", [(b"Host", b"h")], b""))
        if answer is None:
            return None
        return [line for line in answer[2].decode().split("\n")
                if line.startswith("ragwort_clients_")]

    def largest_job_is_done(self, steps, tasks):
        """Whether a largest job is done in time, if need be at another try: a refusal
        for lack of targets is no limit of clients."""
        end = time.monotonic() + LARGEST_WAIT_S
        while time.monotonic() < end:
            answer = processes.exchange((self.entry, CALLERS), kinds.largest_legal_job(
                self.next_path(), steps, tasks), LARGEST_WAIT_S)
            if answer is None or answer[0] != 503:
                return answer is not None and answer[0] == 200 and b'"done"' in answer[2]
            time.sleep(0.2)
        return False

    def play_largest_jobs(self):
        """The largest legal jobs, in calm: one, and one of each of many callers."""
        before = self.client_counters()
        faults = []
        if not self.largest_job_is_done(LARGEST_STEPS, LARGEST_TASKS):
            faults.append("the largest job is not done")
        done = []
        callers = [threading.Thread(
            target=lambda: done.append(self.largest_job_is_done(1, 2)))
            for _ in range(LARGEST_CALLERS)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        if done.count(True) != LARGEST_CALLERS:
            faults.append("%d of %d large jobs are done" % (done.count(True),
                                                            LARGEST_CALLERS))
        if before is None or self.client_counters() != before:
            faults.append("limits of clients were met: %s" % self.client_counters())
        return faults, "%d jobs of %d bytes" % (len(done) + 1, kinds.BODY_BYTES)

    def close(self):
        self.stopping = True
        self.heartbeats.join()
        for target in self.targets:
            target.shutdown()
            target.server_close()
        self.deployment.close()


def known_red():
    """The names of the kinds that KNOWN-RED.txt lists."""
    prefix = "test: tests/client_limits.py "
    try:
        with open("KNOWN-RED.txt") as f:
            return {line[len(prefix):].split(";")[0].strip() for line in f
                    if line.startswith(prefix)}
    except OSError:
        return set()


class Report:
    def __init__(self):
        self.passed = self.failed = 0

    def add(self, name, faults, figures):
        print("%s %s: %s" % ("FAIL" if faults else "ok  ", name,
                             "; ".join(faults + [figures])), flush=True)
        self.passed += not faults
        self.failed += bool(faults)


def plays_of(names):
    """(name, machines, what plays it) of each row that is to be played."""
    red = set() if names else known_red()
    table = [(row.name, row.machines, [
        (", alone", lambda run, row=row: run.play(row, False)),
        (", beside callers", lambda run, row=row: run.play(row, True))]) for row in ROWS]
    table += [(name, SMALL, [("", lambda run, how=how: run.play_endless(*how))])
              for name, *how in ENDLESS]
    table.append((LARGEST, WHOLE, [("", Run.play_largest_jobs)]))
    for name, machines, plays in table:
        if names and name not in names:
            continue
        if name in red:
            print("known red, not played: " + name)
            continue
        for how, play in plays:
            yield name + how, machines, play


def main():
    build = sys.argv[1]
    report = Report()
    run = None
    for name, machines, play in plays_of(sys.argv[2:]):
        if run is not None and run.machines is not machines:
            run.close()
            run = None
        if run is None:
            run = Run(build, machines)
            missing = run.start()
            if missing:
                report.add("start", ["not answered: " + what for what in missing], "")
                break
        faults, figures = play(run)
        report.add(name, faults, figures)
        if faults:  # its memory is of no use for the next kind
            run.close()
            run = None
    if run is not None:
        run.close()
    print("clients: %d passed, %d failed" % (report.passed, report.failed))
    return 1 if report.failed else 0


if __name__ == "__main__":
    sys.exit(main())
