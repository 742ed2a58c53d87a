"""Stand-ins for the workers, the clients, the operator and the provider, and
the processes of a small deployment, for the scripts of review/6 to review/10.

The system's programs run as the deploy file says: target/ragwort-node in the
repository root, with the path of its settings in RAGWORTLINE_BOOT.  The
settings are those that platform/node.json.in gives for the site vlsb-ragwort:
6 front machines and 4 core machines in 4 zones."""
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

import paths

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PEER, FRONT, READY, CONTROL, METRICS, WORKER = 7720, 8161, 8167, 8166, 9464, 8080
ZONES = ["werkplaats", "oven", "winkel", "magazijn"]
HOST, PREFIX, SERVICE = "nony24.example", "/lohu930/", "huvo11a"

# Bounds of the site.
BOUNDS = {"cancel_ms": 3000, "stop_ms": 50, "drain_ms": 2000, "ack_ms": 4000,
          "contact_ms": 3000, "config_apply_ms": 2000, "resend_ms": 1300,
          "max_hold_ms": 1000, "heartbeat_ms": 1500}


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, what, **fields):
        text = " ".join("%s=%s" % (k, json.dumps(v)) for k, v in fields.items())
        self.file.write("%8.3f %s %s\n" % (self.now(), what, text))
        self.file.flush()


def parse_head(head):
    lines = head.decode("latin-1").split("\r\n")
    fields = dict(line.lower().split(": ", 1) for line in lines[1:] if ": " in line)
    return lines[0].split(" "), fields


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    start, fields = parse_head(head[:-4])
    body = await reader.readexactly(int(fields.get("content-length", "0")))
    return start, fields, body


async def call(address, method, path, body=None, timeout_s=1.0, headers=()):
    """One request on a channel of its own.  Returns (status, JSON, headers), or
    (0, None, {}) after a failure or no response."""
    host, port = address.rsplit(":", 1)
    data = b"" if body is None else (body if isinstance(body, bytes)
                                     else json.dumps(body).encode())
    lines = ["%s %s HTTP/1.1" % (method, path), "Host: " + HOST,
             "Content-Type: application/json", "Content-Length: %d" % len(data)]
    lines += ["%s: %s" % h for h in headers]
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
        start, fields, text = await read_message(reader)
        try:
            value = json.loads(text) if text else None
        except ValueError:
            value = None
        return int(start[1]), value, fields

    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, None, {}
    finally:
        if writer is not None:
            writer.close()


class Run:
    def __init__(self, task, number, spec, began, ends):
        self.task, self.number, self.spec = task, number, spec
        self.began, self.ends, self.stops = began, ends, None


class Worker:
    """A sound worker, as PROTOCOL.md says.  The spec of a task is how many
    milliseconds it works."""
    slots, cpu = 8, 16000

    def __init__(self, record, address, zone, number):
        self.record, self.address, self.zone, self.number = record, address, zone, number
        self.id = "i-%08x" % random.getrandbits(32)
        self.born = int(time.time() * 1000)
        self.steady = time.monotonic()
        self.fence = self.seq = self.end_number = 0
        self.lease_ms = 0
        self.runs, self.ends, self.gone, self.waiters = {}, [], {}, []
        self.state, self.up = "ready", True
        self.starts = []  # (time, task, run) of each task that began
        self.beat_url = None
        self.server = None
        self.reaches = lambda node: True  # whether a path leads to the node

    def clock(self):
        return int((time.monotonic() - self.steady) * 1000)

    async def open(self):
        host = self.address.rsplit(":", 1)[0]
        self.server = await asyncio.start_server(self.serve, host, WORKER)
        asyncio.ensure_future(self.tick())

    async def serve(self, reader, writer):
        try:
            while True:
                start, fields, body = await read_message(reader)
                status, value = 421, {}
                if fields.get("x-ragwortline-expect-instance") == self.id:
                    status, value = await self.handle(start[1], json.loads(body))
                value.update({"clock-ms": self.clock(), "born": self.born})
                data = json.dumps(value).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(data)) + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def extend(self, until):
        if until is not None:
            self.lease_ms = max(self.lease_ms,
                                min(until, self.clock() + BOUNDS["max_hold_ms"]))

    async def handle(self, path, m):
        if m.get("fence-token", 0) < self.fence:
            return 409, {"reason": "fence"}
        self.fence = m.get("fence-token", 0)
        if path == "/v1/run-start":
            return self.start(m)
        if path == "/v1/run-stop":
            return self.stop(m)
        return await self.hold(m)

    def start(self, m):
        task, number = m["task"], m["run-id"]
        if m["until-ms"] <= self.clock():
            return 409, {"reason": "late"}
        self.extend(m["until-ms"])
        if (task, number) in self.runs:
            return 200, {}
        if number <= self.gone.get(task, 0):
            return 409, {"reason": "old"}
        if len(self.runs) >= self.slots:
            return 409, {"reason": "room"}
        now = time.monotonic()
        run = Run(task, number, m["spec"], now, now + int(m["spec"]) / 1000)
        self.runs[task, number] = run
        self.starts.append((self.record.now(), task, number))
        self.record("start", worker=self.number, task=task, run=number, spec=m["spec"])
        return 200, {}

    def stop(self, m):
        run = self.runs.get((m["task"], m["run-id"]))
        self.gone[m["task"]] = max(self.gone.get(m["task"], 0), m["run-id"])
        if run is not None and run.stops is None:
            run.stops = time.monotonic() + random.uniform(0, 0.03)
        return 200, {}

    async def hold(self, m):
        self.extend(m.get("until-ms"))
        self.ends = [e for e in self.ends if e[0] > m.get("last-seen", 0)]
        wait = min(m.get("wait-ms", 0), 2000)
        if wait and not self.ends:
            waiter = asyncio.get_running_loop().create_future()
            self.waiters.append(waiter)
            await asyncio.wait([waiter], timeout=wait / 1000)
        now = time.monotonic()
        rows = [[r.task, r.number, "",
                 min(99, int((now - r.began) * 100 / (r.ends - r.began + 0.001))), 2000]
                for r in self.runs.values()]
        return 200, {"running-tasks": rows, "ended": self.ends[:500]}

    def end(self, run, how):
        del self.runs[run.task, run.number]
        self.gone[run.task] = max(self.gone.get(run.task, 0), run.number)
        self.end_number += 1
        self.ends.append([self.end_number, run.task, run.number, how, ""])
        self.record("end", worker=self.number, task=run.task, run=run.number, how=how)
        for w in self.waiters:
            if not w.done():
                w.set_result(None)
        self.waiters = []

    async def tick(self):
        while self.up:
            now = time.monotonic()
            for run in list(self.runs.values()):
                if self.clock() > self.lease_ms:
                    self.end(run, "lapsed")
                elif now >= run.ends:
                    self.end(run, "done")
                elif run.stops is not None and now >= run.stops:
                    self.end(run, "stopped")
            await asyncio.sleep(0.004)

    def close(self):
        """Everything that runs here ends with the worker."""
        for run in list(self.runs.values()):
            self.record("end", worker=self.number, task=run.task, run=run.number,
                        how="worker gone")
        self.runs, self.up = {}, False
        if self.server is not None:
            self.server.close()

    def beat_body(self):
        self.seq += 1
        return {"service": SERVICE, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": self.state,
                "cold-remaining-ms": 0, "born": self.born, "seq": self.seq,
                "capacity": {"cpu": self.cpu, "mem-mb": 32768, "gpu": 0},
                "labels": ["a", "r1-%d" % (self.number // 6)],
                "clock-ms": self.clock()}

    async def report(self, controls, method="PUT"):
        """Sends a heartbeat, or that it leaves, until a node acknowledges it.
        Returns the node."""
        nodes = ([self.beat_url] if self.beat_url else []) + random.sample(
            controls, len(controls))
        body = self.beat_body() if method == "PUT" else None
        for node in nodes:
            if not self.reaches(node):
                await asyncio.sleep(1.0)
                continue
            status, value, _ = await call(node, method, "/v1/instances/" + self.id, body)
            if 200 <= status < 300:
                if method == "PUT":
                    self.beat_url = (value or {}).get("heartbeat-url")
                return node
            self.beat_url = None
        return None

    async def beats(self, controls):
        while self.up and self.state == "ready":
            await self.report(controls)
            await asyncio.sleep(BOUNDS["heartbeat_ms"] / 1000 * random.uniform(0.95, 1.05))


class Deployment:
    def __init__(self, record, workers=12, with_paths=False):
        self.record = record
        self.paths = paths.Paths(self.zone_of) if with_paths else None
        self.net = self.free_net()
        self.folder = tempfile.mkdtemp(prefix="ragwort-review-")
        self.cores = ["%s.%d" % (self.net, 10 + i) for i in range(4)]
        self.fronts = ["%s.%d" % (self.net, 20 + i) for i in range(6)]
        self.processes = {}
        self.workers = [Worker(record, "%s.%d:%d" % (self.net, 100 + i, WORKER),
                               ZONES[i % 4], i) for i in range(workers)]
        self.controls = ["%s:%d" % (c, CONTROL) for c in self.cores]
        if with_paths:
            for w in self.workers:
                w.reaches = lambda node, w=w: not self.paths.is_cut(
                    w.zone, self.zone_of(node.split(":")[0]))
        self.log = open(os.path.join(self.folder, "log"), "wb")
        self.tasks = []

    @staticmethod
    def zone_of(address):
        return ZONES[int(address.rsplit(".", 1)[1]) % 4]

    @staticmethod
    def free_net():
        for _ in range(50):
            net = "127.%d.%d" % (random.randint(40, 240), random.randint(1, 250))
            try:
                for last, port in ((10, CONTROL), (10, PEER), (20, FRONT), (100, WORKER)):
                    with socket.socket() as s:
                        s.bind(("%s.%d" % (net, last), port))
                return net
            except OSError:
                continue
        raise CannotRun("no free addresses")

    def settings(self, address, seeds, first):
        core = address in self.cores
        number = int(address.rsplit(".", 1)[1])
        return {"vm": ("core-%d" if core else "front-%d") % number,
                "role": "keeper" if core else "entry", "environment": "platform",
                "address": address, "domain": self.zone_of(address), "peer_port": PEER,
                "peer_listen_port": paths.PEER_BEHIND if self.paths else 0,
                "peer_secret": "between-vms-of-one-deployment",
                "callers": "" if core else "%s:%d" % (address, FRONT),
                "readiness": "" if core else "%s:%d" % (address, READY),
                "control": "%s:%d" % (address, CONTROL) if core else "",
                "metrics_port": METRICS, "seeds": seeds, "first_start": first,
                "lost_keepers": 1, "catch_up_s": 4,
                "data_folder": os.path.join(self.folder, address) if core else None,
                "descriptors": 4100, "lease_limit_ms": 1000, "caller_retry_ms": 1300,
                "far_factor": 3, "stop_grace_s": 6, "log_level": "info"}

    def start(self, address, seeds=None, first=False):
        """Starts the process of a machine with the settings in effect now."""
        path = os.path.join(self.folder, address + ".settings")
        with open(path, "w") as f:
            json.dump(self.settings(address, seeds or self.controls[:3], first), f)
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["RAGWORTLINE_BOOT"] = path
        self.processes[address] = subprocess.Popen(
            ["target/ragwort-node"], cwd=ROOT, env=environment,
            stdout=self.log, stderr=subprocess.STDOUT)
        self.record("process-start", machine=address, seeds=seeds or self.controls[:3])

    def signal(self, address, number):
        self.record("signal", machine=address, signal=signal.Signals(number).name)
        self.processes[address].send_signal(number)

    def front(self, i):
        return "%s:%d" % (self.fronts[i], FRONT)

    def config(self, version, routes=None):
        route = {"name": "r-1", "host": HOST, "path-prefix": PREFIX, "type": "unsafe",
                 "timeout-ms": 1500, "target-duration-ms": 60, "priority": 0,
                 "service": SERVICE, "max-attempts": 3, "stretch": 1.6}
        idle = dict(route, name="r-2", host="ficu95.example", **{"path-prefix": "/pufi791/"})
        service = {"name": SERVICE, "health-path": "/health", "max-conns": 64,
                   "protocol": "h1", "tls": False, "enforces-capacity": True,
                   "standby": False}
        return {"version": version, "services": [service],
                "routes": [route, idle] if routes is None else [
                    r for r in (route, idle) if r["name"] in routes],
                "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144,
                           "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}

    async def put_config(self, value, within_s=8.0):
        """The operator: sends a desired state until it is acknowledged."""
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            for node in random.sample(self.controls, len(self.controls)):
                for _ in range(3):
                    status, _, fields = await call(node, "PUT", "/v1/config", value)
                    if status != 307:
                        break
                    node = fields["location"].split("//")[1].split("/")[0]
                if status == 200:
                    self.record("config-acked", version=value["version"], node=node)
                    return
            await asyncio.sleep(0.2)
        raise CannotRun("the desired state was not acknowledged")

    async def open(self):
        if not os.path.exists(os.path.join(ROOT, "target/ragwort-node")):
            raise CannotRun("target/ragwort-node is not built")
        if self.paths:
            await self.paths.open(self.cores + self.fronts)
        for address in self.cores + self.fronts:
            self.start(address, first=True)
        for w in self.workers:
            await w.open()
            self.tasks.append(asyncio.ensure_future(w.beats(self.controls)))
        await self.put_config(self.config(1))
        until = time.monotonic() + 15
        while time.monotonic() < until:
            ready = [await call("%s:%d" % (f, READY), "GET", "/v1/ready") for f in self.fronts]
            if all(r[0] == 200 for r in ready):
                await asyncio.sleep(BOUNDS["contact_ms"] / 1000 + 1)
                return
            await asyncio.sleep(0.2)
        raise CannotRun("the front machines did not become ready")

    def ended(self):
        return [a for a, p in self.processes.items() if p.poll() is not None]

    def close(self):
        for w in self.workers:
            w.close()
        if self.paths:
            self.paths.close()
        for p in self.processes.values():
            if p.poll() is None:
                p.send_signal(signal.SIGCONT)
                p.kill()
            p.wait()
        self.log.close()
        if os.environ.get("KEEP_LOG"):
            shutil.copy(os.path.join(self.folder, "log"), os.environ["KEEP_LOG"])
        shutil.rmtree(self.folder, ignore_errors=True)


def job(count=2, steps=1, work_ms=800, cpu=2000):
    """A job that need not be kept, of STEPS steps, each after the one before."""
    rows = []
    for i in range(steps):
        row = {"count": count, "cpu": cpu, "mem-mb": 64, "estimate-ms": work_ms}
        if i:
            row["after"] = [i - 1]
        rows.append(row)
    return {"spec": str(work_ms), "best-effort": True, "steps": rows}


def new_id():
    return "%016x" % random.getrandbits(64)


async def submit(record, front, key, body, budget_ms):
    """A client's POST.  Returns its status, 0 after no response, and the
    body of the answer."""
    record("POST", job=key, front=front, budget_ms=budget_ms)
    status, value, _ = await call(front, "POST", PREFIX + key, body, budget_ms / 1000,
                                  [("X-Ragwortline-Deadline-Ms", str(budget_ms))])
    record("POST-answer", job=key, status=status, body=value)
    return status, value


def main(folder, play, with_paths=False):
    """Runs PLAY (deployment, record, trouble), which returns the list of breaks
    of the rule; WITH_PATHS: with paths that can be cut.  Exits with 1 if there are any, 0 if none, 2 if it could not
    run."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record("case", folder=os.path.basename(folder), trouble=trouble)

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))

    async def run():
        d = Deployment(record, with_paths=with_paths)
        try:
            await d.open()
            return await asyncio.wait_for(play(d, record, trouble), 90)
        finally:
            d.close()
            for t in asyncio.all_tasks() - {asyncio.current_task()}:
                t.cancel()

    try:
        breaks = asyncio.run(run())
    except (CannotRun, OSError, asyncio.TimeoutError) as e:
        record("cannot-run", why=repr(e))
        print("could not run: %r" % e)
        sys.exit(2)
    for b in breaks:
        record("BREAK", text=b)
        print(b)
    record("result", broken=bool(breaks))
    print("the rule was broken" if breaks else "the rule held")
    sys.exit(1 if breaks else 0)
