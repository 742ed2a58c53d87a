#!/usr/bin/env python3
"""Clients that send heads, bodies and chunks without end, or stop short of their
end, at each port of ragwort-node: the process lives, its peak memory and its open
descriptors stay under a bound, and ordinary requests are answered while the crowd
is still connected.  Guards against a process that clients drive out of memory.

usage: tests/client_limits.py BUILD [NAME...]

Run from the root of the repository, alone.  Ends with "clients: N passed, N
failed".  Kinds that KNOWN-RED.txt names are printed and not played, unless they
are named as arguments."""
import os
import select
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "spoilt"))
import processes
from processes import CALLERS, CONTROL, METRICS, READY

NET = "127.65.%d" % (os.getpid() % 200 + 1)
HOST = b"jobs.example"
START_WAIT_S = 60.0
SERVE_WAIT_S = 30.0
SEND_S = 8.0
HEARTBEAT_S = 0.4

# The memory of the machines of this test, and the bounds.  The smallest entry has
# 120 MB and is sent to by about 1,000 clients; these are scaled by about a quarter.
ENTRY_MB = 32
KEEPER_MB = 64
STOP_MB = 300  # the test kills the process itself beyond that

CROWD = 64
IDLE_PER_PORT = 120

# 1,000 descriptors, the least that the settings allow, leave 200 to clients; an
# entry has about 60 open with its peers and target.
DESCRIPTORS = 1000
OPEN_MAXIMUM = 320

BODY_BYTES = 262144
CONTROL_BODY_BYTES = 1 << 20
SENT_BYTES = 1 << 20

CLIENTS = {"header_bytes": 16384, "body_bytes": BODY_BYTES, "header_timeout_ms": 3000,
           "body_timeout_ms": 5000}
CONFIG = {
    "version": 7,
    "routes": [{"name": "r", "host": HOST.decode(), "path-prefix": "/sound/",
                "type": "unsafe", "timeout-ms": 1500, "target-duration-ms": 60,
                "priority": 0, "service": "sound", "max-attempts": 3, "stretch": 1.6}],
    "services": [{"name": "sound", "health-path": "/health", "enforces-capacity": True}],
    "limits": {"max-body-bytes": BODY_BYTES, "max-header-bytes": 16384,
               "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}
JOB = {"spec": "text", "best-effort": True,
       "steps": [{"count": 2, "cpu": 500, "mem-mb": 16, "estimate-ms": 10}]}


class Deployment(processes.Deployment):
    ENTRIES = 1

    def settings(self, address):
        keeper = address in self.keepers
        return dict(super().settings(address), descriptors=DESCRIPTORS, clients=CLIENTS,
                    memory_mb=KEEPER_MB if keeper else ENTRY_MB)


# What a client sends, in pieces.

LINE = b"POST /sound/00000000000000aa HTTP/1.1\r\nHost: " + HOST + b"\r\n"


def endless_fields():
    return [LINE] + [b"X-%06d: %s\r\n" % (i, b"v" * 1000) for i in range(SENT_BYTES // 1012)]


def short_fields():
    return [LINE] + [b"a: b\r\n" * 1000] * (SENT_BYTES // 6000)


def long_line():
    return [b"GET /"] + [b"a" * 16384] * (SENT_BYTES // 16384)


def empty_lines():
    return [b"\r\n" * 8192] * (SENT_BYTES // 16384)


def body(length, sent, piece):
    head = LINE + b"Content-Length: %d\r\n\r\n" % length
    return [head] + [b"x" * min(piece, sent - at) for at in range(0, sent, piece)]


def whole_bodies():
    return body(BODY_BYTES, BODY_BYTES, BODY_BYTES)


def short_bodies():
    return body(BODY_BYTES, BODY_BYTES - 8192, BODY_BYTES)


def piecewise_bodies():
    return body(BODY_BYTES, BODY_BYTES - 8192, 4096)


def control_bodies():
    return body(CONTROL_BODY_BYTES, CONTROL_BODY_BYTES - 8192, 16384)


def small_values(line, length):
    """A whole body of values that take 79 times their bytes when decoded."""
    text = (b'{"routes":[' + b"{}," * (length // 3))[:length - 4] + b"{}]}"
    return [line + b"Host: " + HOST + b"\r\nContent-Length: %d\r\n\r\n" % len(text), text]


def small_job_values():
    return small_values(b"POST /sound/00000000000000aa HTTP/1.1\r\n", BODY_BYTES)


def small_config_values():
    return small_values(b"PUT /v1/config HTTP/1.1\r\n", CONTROL_BODY_BYTES)


def small_heartbeat_values():
    return small_values(b"PUT /v1/instances/i-2 HTTP/1.1\r\n", CONTROL_BODY_BYTES)


def huge_length():
    return body(1 << 40, SENT_BYTES, 65536)


def chunks(size, count):
    head = LINE + b"Transfer-Encoding: chunked\r\n\r\n"
    chunk = b"%x\r\n%s\r\n" % (size, b"x" * size)
    batch = max(1, 16384 // len(chunk))
    return [head] + [chunk * batch] * (count // batch)


def large_chunks():
    return chunks(16384, (BODY_BYTES - 16384) // 16384)


def tiny_chunks():
    return chunks(1, BODY_BYTES // 2)


def long_chunked():
    return chunks(16384, SENT_BYTES // 16384)


def incomplete_head():
    return [LINE + b"X-Rest: "]


# (name, port, what each client sends).  Kinds on a port that need no body of the
# callers' port are played there too.
KINDS = [("callers: " + name, CALLERS, kind) for name, kind in [
    ("endless fields", endless_fields), ("many short fields", short_fields),
    ("long request line", long_line), ("empty lines", empty_lines),
    ("whole bodies", whole_bodies), ("bodies that stop short", short_bodies),
    ("bodies in pieces that stop short", piecewise_bodies), ("huge length", huge_length),
    ("large chunks that stop short", large_chunks), ("chunks of one byte", tiny_chunks),
    ("chunked body without end", long_chunked), ("incomplete head", incomplete_head),
    ("bodies of small values", small_job_values)]]
KINDS += [("readiness: " + name, READY, kind) for name, kind in [
    ("many short fields", short_fields), ("empty lines", empty_lines),
    ("bodies that stop short", short_bodies), ("chunks of one byte", tiny_chunks)]]
KINDS += [("control: " + name, CONTROL, kind) for name, kind in [
    ("many short fields", short_fields), ("empty lines", empty_lines),
    ("bodies that stop short", control_bodies), ("chunks of one byte", tiny_chunks),
    ("configurations of small values", small_config_values),
    ("heartbeats of small values", small_heartbeat_values)]]
KINDS += [("metrics: " + name, METRICS, kind) for name, kind in [
    ("many short fields", short_fields), ("empty lines", empty_lines),
    ("bodies that stop short", short_bodies), ("chunks of one byte", tiny_chunks)]]
KINDS += [("entry: idle connections at all ports", None, None)]


def memory_mb(process, field):
    """The figure FIELD of a process's status in MB, 0 if it has ended."""
    try:
        with open("/proc/%d/status" % process.process.pid) as f:
            for line in f:
                if line.startswith(field + ":"):
                    return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0


def open_descriptors(process):
    try:
        return len(os.listdir("/proc/%d/fd" % process.process.pid))
    except OSError:
        return 0


class Watch(threading.Thread):
    """Follows a process's memory and descriptors, and kills it beyond STOP_MB."""

    def __init__(self, process):
        super().__init__(daemon=True)
        self.process = process
        self.peak_mb = 0
        self.descriptors = 0
        self.killed = False
        self.stopping = False

    def look(self):
        self.peak_mb = max(self.peak_mb, memory_mb(self.process, "VmHWM"))
        self.descriptors = max(self.descriptors, open_descriptors(self.process))
        if memory_mb(self.process, "VmRSS") > STOP_MB:
            self.killed = True
            self.process.process.kill()

    def run(self):
        while not self.stopping:
            self.look()
            time.sleep(0.01)

    def finish(self):
        self.stopping = True
        self.join()
        self.look()


class Client:
    """A connection that sends its pieces as far as it is let, and stays open."""

    def __init__(self, address, pieces):
        self.socket = socket.create_connection(address, 5)
        self.socket.setblocking(False)
        self.pieces = pieces
        self.next = 0
        self.at = 0

    def step(self):
        """Sends what is taken now; returns whether more is to be sent."""
        try:
            while self.next < len(self.pieces):
                self.at += self.socket.send(self.pieces[self.next][self.at:])
                if self.at < len(self.pieces[self.next]):
                    return True
                self.next, self.at = self.next + 1, 0
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False


def connect_crowd(address, pieces, count):
    crowd = []
    for _ in range(count):
        try:
            crowd.append(Client(address, pieces))
        except OSError:
            pass
    return crowd


def send_crowd(crowd, watch):
    """Sends until all have sent what they have, or nothing more is taken."""
    sending = list(crowd)
    end = time.monotonic() + SEND_S
    while sending and time.monotonic() < end and not watch.killed:
        _, writable, _ = select.select([], [c.socket for c in sending], [], 0.2)
        sending = [c for c in sending if c.socket not in writable or c.step()]


class Run:
    """A deployment of three keepers, an entry and a target."""

    def __init__(self, build):
        self.deployment = Deployment(build, NET)
        self.entry = self.deployment.entries[0]
        self.target = processes.Target(NET + ".40", 1)
        self.stopping = False
        self.job_count = 0
        self.heartbeats = threading.Thread(target=self.send_heartbeats, daemon=True)
        self.heartbeats.start()

    def send_heartbeats(self):
        sequence = 0
        while not self.stopping:
            sequence += 1
            body = {"service": "sound", "address": "%s.40:%d" % (NET, processes.TARGET),
                    "zone": "shop", "version": "v1", "slots": 8, "state": "ready",
                    "cold-remaining-ms": 0, "labels": [], "born": 1, "seq": sequence,
                    "capacity": {"cpu": 16000, "mem-mb": 32768, "gpu": 0}, "clock-ms": 1}
            self.at_keepers(b"PUT", b"/v1/instances/i-1", body)
            time.sleep(HEARTBEAT_S)

    def at_keepers(self, method, path, body=None):
        for keeper in self.deployment.keepers:
            if self.deployment.call(keeper, CONTROL, method, path, body)[0] == 200:
                return True
        return False

    def job_is_done(self):
        self.job_count += 1
        path = b"/sound/%016x" % (self.job_count + (os.getpid() << 32))
        return self.deployment.call(self.entry, CALLERS, b"POST", path, JOB, HOST) == (
            200, {"state": "done"})

    def is_ready(self):
        return self.deployment.call(self.entry, READY, b"GET", b"/v1/ready")[0] == 200

    def has_metrics(self):
        answer = processes.exchange((self.entry, METRICS), processes.request_bytes(
            b"GET", b"/metrics", [(b"Host", b"h")], b""))
        return answer is not None and answer[0] == 200

    def has_config(self):
        """Whether the keeper that the crowd calls answers, itself or by the leader's
        address."""
        return self.deployment.call(self.deployment.keepers[0], CONTROL, b"GET",
                                    b"/v1/config")[0] in (200, 307)

    def unserved(self, wait_s=SERVE_WAIT_S):
        """The kinds of ordinary requests that are not answered in WAIT_S."""
        missing = [("a job", self.job_is_done), ("readiness", self.is_ready),
                   ("metrics", self.has_metrics), ("the configuration", self.has_config)]
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
        return self.unserved(START_WAIT_S)

    def connect(self, port, kind):
        if port is None:
            return [c for p in (CALLERS, READY, METRICS)
                    for c in connect_crowd((self.entry, p), [], IDLE_PER_PORT)]
        address = self.deployment.keepers[0] if port == CONTROL else self.entry
        return connect_crowd((address, port), kind(), CROWD)

    def play(self, port, kind):
        """Plays a kind of client; returns its faults and its figures."""
        address = self.deployment.keepers[0] if port == CONTROL else self.entry
        bound_mb = KEEPER_MB if port == CONTROL else ENTRY_MB
        process = self.deployment.processes[address]
        watch = Watch(process)
        watch.start()
        crowd = self.connect(port, kind)
        send_crowd(crowd, watch)
        time.sleep(0.3)  # what the kernel holds for the process is read by then
        faults = []
        if not watch.killed and not process.ended():
            faults += ["not answered: " + name for name in self.unserved()]
        for c in crowd:
            c.socket.close()
        watch.finish()
        if watch.killed:
            faults.append("killed by this test beyond %d MB" % STOP_MB)
        elif process.ended():
            faults.append("the process ended")
        if watch.peak_mb > bound_mb:
            faults.append("memory over %d MB" % bound_mb)
        if watch.descriptors > OPEN_MAXIMUM:
            faults.append("more than %d descriptors" % OPEN_MAXIMUM)
        return faults, "%.0f MB, %d descriptors" % (watch.peak_mb, watch.descriptors)

    def close(self):
        self.stopping = True
        self.heartbeats.join()
        self.target.shutdown()
        self.target.server_close()
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


def main():
    build, names = sys.argv[1], sys.argv[2:]
    red = set() if names else known_red()
    passed = failed = 0
    run = None
    for name, port, kind in KINDS:
        if names and name not in names:
            continue
        if name in red:
            print("known red, not played: " + name)
            continue
        if run is None:
            run = Run(build)
            missing = run.start()
            if missing:
                print("FAIL start: not answered: %s" % ", ".join(missing))
                failed += 1
                break
        faults, figures = run.play(port, kind)
        print("%s %s: %s" % ("FAIL" if faults else "ok  ", name,
                             "; ".join(faults + [figures])), flush=True)
        passed += not faults
        failed += bool(faults)
        if faults:  # its memory is of no use for the next kind
            run.close()
            run = None
    if run is not None:
        run.close()
    print("clients: %d passed, %d failed" % (passed, failed))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
