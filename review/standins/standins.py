"""Stand-ins for the platform, the workers, the operator and the clients of a
small deployment on loopback addresses, for the scripts in review/N/.

The project's own program runs as separate processes, started with the command
of deploy/system.toml (target/ragwort-node) and settings that are made from the
template platform/node.json.in.  Only the standard library is used.
"""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import shutil
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = "target/ragwort-node"

# The bounds of the sites vlsb-ragwort and sofnets.
BOUNDS = {
    "contact-ms": 3000, "ack-ms": 4000, "catch-up-s": 4, "drain-ms": 2000,
    "grace-s": 6, "max-hold-ms": 1000, "stop-ms": 50, "cancel_ms": 3000,
    "visible_ms": 3000, "resend-ms": 1300, "far-factor": 1.5,
}
HEARTBEAT_S = 1.5

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_COULD_NOT_RUN = 2


def now_ms():
    return time.monotonic() * 1000


class Record:
    """The file record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.begin = now_ms()

    def add(self, what, **fields):
        line = "%9.1f %-12s %s" % (
            now_ms() - self.begin, what,
            " ".join("%s=%s" % item for item in fields.items()))
        self.file.write(line + "\n")
        self.file.flush()


# ---------------------------------------------------------------- HTTP


async def read_message(reader):
    """Reads one HTTP message; returns (first line, headers, body)."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


class Answer:
    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body or b"null")


class Channel:
    """A client's channel to one address, kept open between calls."""

    def __init__(self, address, source=None):
        self.address = address
        self.source = source
        self.reader = None
        self.writer = None

    async def call(self, method, path, host, body=None, headers=None,
                   timeout_s=2.0):
        return await asyncio.wait_for(
            self._call(method, path, host, body, headers or {}), timeout_s)

    async def _call(self, method, path, host, body, headers):
        if self.writer is None:
            ip, port = self.address.rsplit(":", 1)
            local = (self.source, 0) if self.source else None
            self.reader, self.writer = await asyncio.open_connection(
                ip, int(port), local_addr=local)
        data = b"" if body is None else json.dumps(body).encode()
        text = "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n" % (
            method, path, host, len(data))
        if body is not None:
            text += "Content-Type: application/json\r\n"
        for name, value in headers.items():
            text += "%s: %s\r\n" % (name, value)
        self.writer.write(text.encode() + b"\r\n" + data)
        await self.writer.drain()
        line, answer_headers, answer = await read_message(self.reader)
        return Answer(int(line.split()[1]), answer_headers, answer)

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


async def call_once(address, method, path, host, body=None, headers=None,
                    timeout_s=2.0, source=None):
    channel = Channel(address, source)
    try:
        return await channel.call(method, path, host, body, headers, timeout_s)
    finally:
        channel.close()


# ------------------------------------------------------------- workers


class Run:
    def __init__(self, task, number, need, duration_ms):
        self.task = task
        self.number = number
        self.need = need
        self.duration_ms = duration_ms
        self.began_ms = now_ms()
        self.timer = None
        self.stopping = False
        self.end_record = None


class Worker:
    """A worker as PROTOCOL.md, "Running tasks" and "Service discovery", has
    it.  NEEDS tells what a task needs and how long it works; a start call does
    not carry that."""

    def __init__(self, world, name, ip, port, zone, service, cpu, slots=64,
                 labels=(), enforces=True):
        self.world = world
        self.name = name
        self.ip = ip
        self.port = port
        self.zone = zone
        self.service = service
        self.cpu = cpu
        self.slots = slots
        self.labels = list(labels)
        self.enforces = enforces
        self.state = "ready"
        self.sequence = 0
        self.server = None
        self.channels = set()
        self.life = 0
        self.heartbeat_address = None
        self.begin_life()

    def begin_life(self):
        self.life += 1
        self.start_ms = now_ms() - random.randint(1000, 5000)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs = {}
        self.blocked = {}
        self.ended = []
        self.end_count = 0
        self.fence = 0
        self.lease_until = 0
        self.changed = asyncio.Event()

    def clock_ms(self):
        return int(now_ms() - self.start_ms)

    def cpu_used(self):
        return sum(r.need["cpu"] for r in self.runs.values())

    # Leases and ends.

    def take_lease(self, until):
        if isinstance(until, int):
            until = min(until, self.clock_ms() + BOUNDS["max-hold-ms"])
            self.lease_until = max(self.lease_until, until)

    def end_run(self, run, how):
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        if run.timer is not None:
            run.timer.cancel()
        self.blocked[run.task] = max(run.number, self.blocked.get(run.task, 0))
        self.end_count += 1
        self.ended.append([self.end_count, run.task, run.number, how, ""])
        self.world.task_ended(self, run, how)
        self.changed.set()
        self.changed = asyncio.Event()

    async def watch_leases(self):
        while True:
            await asyncio.sleep(0.005)
            if self.runs and self.clock_ms() > self.lease_until:
                for run in list(self.runs.values()):
                    self.end_run(run, "lapsed")

    # Calls.

    def run_start(self, body):
        task, number = body["task"], body["run-id"]
        fence, until = body.get("fence-token", 0), body["until-ms"]
        if fence < self.fence:
            return 409, {"reason": "fence"}
        self.fence = fence
        if until <= self.clock_ms():
            return 409, {"reason": "late"}
        known = self.runs.get(task)
        if known is not None and known.number == number:
            return 200, {}
        if known is not None or number <= self.blocked.get(task, 0):
            self.take_lease(until)
            return 409, {"reason": "old"}
        need = self.world.need_of(task)
        if self.enforces and (self.cpu_used() + need["cpu"] > self.cpu):
            self.take_lease(until)
            return 409, {"reason": "room"}
        self.take_lease(until)
        run = Run(task, number, need, need["work-ms"])
        self.runs[task] = run
        run.timer = asyncio.get_running_loop().call_later(
            run.duration_ms / 1000, self.end_run, run, "done")
        self.world.task_started(self, run, body)
        return 200, {}

    def run_stop(self, body):
        task, number = body["task"], body["run-id"]
        fence = body.get("fence-token", 0)
        if fence < self.fence:
            return 409, {"reason": "fence"}
        self.fence = fence
        self.blocked[task] = max(number, self.blocked.get(task, 0))
        run = self.runs.get(task)
        if run is not None and run.number <= number and not run.stopping:
            run.stopping = True
            asyncio.get_running_loop().call_later(
                0.02, self.end_run, run, "stopped")
        return 200, {}

    async def hold(self, body):
        fence = body.get("fence-token", 0)
        if fence < self.fence:
            return 409, {"reason": "fence"}
        self.fence = fence
        self.take_lease(body.get("until-ms"))
        seen = body.get("last-seen", 0)
        self.ended = [e for e in self.ended if e[0] > seen]
        wait_s = body.get("wait-ms", 0) / 1000
        if wait_s and not self.ended:
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), wait_s)
            except asyncio.TimeoutError:
                pass
        rows = []
        for run in self.runs.values():
            share = (now_ms() - run.began_ms) / run.duration_ms
            rows.append([run.task, run.number, "", min(99, int(share * 100)), 0])
        return 200, {"running-tasks": rows, "ended": self.ended[:500],
                     "born": self.born}

    async def serve(self, reader, writer):
        self.channels.add(writer)
        life = self.life
        try:
            while True:
                line, headers, data = await read_message(reader)
                method, path = line.split()[:2]
                expected = headers.get("x-ragwortline-expect-instance")
                if expected is not None and expected != self.name:
                    status, body = 421, {}
                elif path == "/v1/run-start":
                    status, body = self.run_start(json.loads(data))
                elif path == "/v1/run-stop":
                    status, body = self.run_stop(json.loads(data))
                elif path == "/v1/hold":
                    status, body = await self.hold(json.loads(data))
                else:
                    status, body = 404, {}
                if life != self.life:
                    return
                body["clock-ms"] = self.clock_ms()
                text = json.dumps(body).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json"
                             b"\r\nContent-Length: %d\r\n\r\n%s"
                             % (status, len(text), text))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.channels.discard(writer)
            writer.close()

    # Heartbeats.

    async def heartbeat(self):
        self.sequence += 1
        body = {"service": self.service, "address": "%s:%d" % (self.ip, self.port),
                "zone": self.zone, "version": "v1", "slots": self.slots,
                "state": self.state, "cold-remaining-ms": 0,
                "capacity": {"cpu": self.cpu, "mem-mb": 131072, "gpu": 0},
                "labels": self.labels, "clock-ms": self.clock_ms(),
                "born": self.born, "seq": self.sequence}
        addresses = list(self.world.controls)
        random.shuffle(addresses)
        if self.heartbeat_address:
            addresses.insert(0, self.heartbeat_address)
        for address in addresses[:3]:
            try:
                a = await call_once(address, "PUT", "/v1/instances/" + self.name,
                                    address, body, timeout_s=1.0)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                self.heartbeat_address = None
                continue
            if a.status // 100 == 2:
                self.heartbeat_address = a.json().get("heartbeat-url")
                return True
            self.heartbeat_address = None
        return False

    async def send_heartbeats(self):
        while True:
            await self.heartbeat()
            await asyncio.sleep(HEARTBEAT_S * random.uniform(0.95, 1.05))

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        self.world.background(self.watch_leases())
        self.world.background(self.send_heartbeats())


# ------------------------------------------------------- the deployment


class World:
    """A small deployment: keepers, entries and workers in zones."""

    def __init__(self, folder, zones, entries_per_zone, keepers=3):
        self.folder = folder
        self.record = Record(os.path.join(folder, "record.txt"))
        self.zones = zones
        self.net = "127.%d.%d" % (random.randint(20, 250), random.randint(1, 250))
        self.data = tempfile.mkdtemp(prefix="ragwort-review-")
        self.processes = {}
        self.tasks = []
        self.workers = []
        self.jobs = {}
        self.starts = []
        self.ends = []
        self.ports = self.free_ports(5)
        self.keepers = ["%s.%d" % (self.net, 10 + i) for i in range(keepers)]
        self.controls = ["%s:%d" % (k, self.ports[3]) for k in self.keepers]
        self.entries = {}
        n = 30
        for zone in zones:
            for _ in range(entries_per_zone):
                self.entries["%s.%d" % (self.net, n)] = zone
                n += 1
        self.next_worker_ip = 100
        self.config = None

    def free_ports(self, count):
        sockets = [socket.socket() for _ in range(count)]
        for s in sockets:
            s.bind((self.net + ".1", 0))
        ports = [s.getsockname()[1] for s in sockets]
        for s in sockets:
            s.close()
        return ports

    def background(self, coroutine):
        self.tasks.append(asyncio.ensure_future(coroutine))

    # The provider: settings and processes.

    def settings(self, ip, zone, keeper, first_start):
        peer, callers, ready, control, metrics = self.ports
        return {
            "vm": ("core-" if keeper else "front-") + ip,
            "role": "keeper" if keeper else "entry",
            "environment": "platform", "address": ip, "domain": zone,
            "peer_port": peer,
            "peer_secret": "between-vms-of-one-deployment",
            "callers": "" if keeper else "%s:%d" % (ip, callers),
            "readiness": "" if keeper else "%s:%d" % (ip, ready),
            "control": "%s:%d" % (ip, control) if keeper else "",
            "metrics_port": metrics, "seeds": self.controls[:3],
            "first_start": first_start, "lost_keepers": 1,
            "catch_up_s": BOUNDS["catch-up-s"],
            "data_folder": os.path.join(self.data, ip) if keeper else None,
            "descriptors": 4096, "lease_limit_ms": BOUNDS["max-hold-ms"],
            "caller_retry_ms": BOUNDS["resend-ms"],
            "far_factor": BOUNDS["far-factor"],
            "stop_grace_s": BOUNDS["grace-s"], "log_level": "info"}

    def start_process(self, ip, first_start=True):
        keeper = ip in self.keepers
        zone = (self.zones[self.keepers.index(ip) % len(self.zones)] if keeper
                else self.entries[ip])
        path = os.path.join(self.data, ip + ".json")
        with open(path, "w") as f:
            json.dump(self.settings(ip, zone, keeper, first_start), f)
        if keeper:
            os.makedirs(os.path.join(self.data, ip), exist_ok=True)
        environment = {"PATH": os.environ.get("PATH", "/usr/bin:/bin"),
                       "HOME": self.data, "RAGWORTLINE_BOOT": path}
        log = open(os.path.join(self.data, ip + ".log"), "a")
        self.processes[ip] = subprocess.Popen(
            [PROGRAM], cwd=ROOT, env=environment, stdout=log, stderr=log,
            stdin=subprocess.DEVNULL)
        log.close()
        self.record.add("process", ip=ip, role="keeper" if keeper else "entry",
                        zone=zone)

    def signal(self, ip, number):
        self.record.add("signal", ip=ip, signal=signal.Signals(number).name)
        self.processes[ip].send_signal(number)

    def front(self, ip):
        return "%s:%d" % (ip, self.ports[1])

    async def is_ready(self, ip):
        try:
            a = await call_once("%s:%d" % (ip, self.ports[2]), "GET",
                                "/v1/ready", ip, timeout_s=0.5)
            return a.status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    # The operator.

    async def put_config(self, config, within_s=10):
        end = now_ms() + within_s * 1000
        while now_ms() < end:
            address = random.choice(self.controls)
            path = "/v1/config"
            try:
                for _ in range(3):
                    a = await call_once(address, "PUT", path, address, config,
                                        timeout_s=1.0)
                    if a.status != 307:
                        break
                    address = a.headers["location"].split("/")[2]
                if a.status == 200:
                    self.config = config
                    self.record.add("config-ack", version=config["version"])
                    return True
                if a.status in (400, 409, 412, 413, 422):
                    self.record.add("config-refused", status=a.status)
                    return False
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)
        return False

    # Workers.

    def add_worker(self, zone, service, cpu, **more):
        ip = "%s.%d" % (self.net, self.next_worker_ip)
        self.next_worker_ip += 1
        w = Worker(self, "i-%08x" % random.getrandbits(32), ip, self.ports[1],
                   zone, service, cpu, **more)
        self.workers.append(w)
        return w

    def need_of(self, task):
        key, _, step, _ = task.split(".")
        if key not in self.jobs:
            return {"cpu": 0, "work-ms": 100}
        s = self.jobs[key]["steps"][int(step)]
        return {"cpu": s["cpu"], "work-ms": s["work-ms"]}

    def task_started(self, worker, run, body):
        self.starts.append((now_ms(), worker, run, body))
        self.record.add("start", task=run.task, run=run.number,
                        worker=worker.name, fence=body.get("fence-token"))

    def task_ended(self, worker, run, how):
        self.ends.append((now_ms(), worker, run, how))
        self.record.add("end", task=run.task, run=run.number,
                        worker=worker.name, how=how)

    # Jobs.

    def new_job(self, steps, spec="text"):
        """STEPS: the fields of the protocol, with "work-ms", which only the
        workers use.  Returns the id and the body of the submission."""
        key = "%016x" % random.getrandbits(64)
        self.jobs[key] = {"steps": steps}
        sent = [{n: v for n, v in s.items() if n != "work-ms"} for s in steps]
        return key, {"spec": spec, "best-effort": True, "steps": sent}

    # Start and stop.

    async def start(self, config, settle_s=12):
        for ip in self.keepers:
            self.start_process(ip)
        for ip in self.entries:
            self.start_process(ip)
        for w in self.workers:
            await w.start()
        if not await self.put_config(config):
            return False
        end = now_ms() + settle_s * 1000
        while now_ms() < end:
            ready = [await self.is_ready(ip) for ip in self.entries]
            if all(ready):
                await asyncio.sleep(2)
                self.record.add("ready")
                return True
            await asyncio.sleep(0.2)
        return False

    def stop(self):
        for t in self.tasks:
            t.cancel()
        for p in self.processes.values():
            if p.poll() is None:
                p.send_signal(signal.SIGCONT)
                p.kill()
        for p in self.processes.values():
            p.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.data, keep, dirs_exist_ok=True)
        shutil.rmtree(self.data, ignore_errors=True)

    def ended_processes(self):
        return [ip for ip, p in self.processes.items() if p.poll() is not None]


def simple_config(version, host, prefix, service, max_attempts=3):
    return {
        "version": version,
        "routes": [{"name": "r-1", "host": host, "path-prefix": prefix,
                    "type": "unsafe", "timeout-ms": 1500,
                    "target-duration-ms": 60, "priority": 0,
                    "service": service, "max-attempts": max_attempts,
                    "stretch": 1.6}],
        "services": [{"name": service, "health-path": "/health",
                      "max-conns": 64, "protocol": "h1", "tls": False,
                      "enforces-capacity": True, "standby": False}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144,
                   "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}


def run_case(folder, play, limit_s=110):
    """Runs PLAY (record folder, trouble) and exits with its verdict."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def limited():
        return await asyncio.wait_for(play(folder, trouble), limit_s)

    def ended(number, frame):
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, ended)   # so that all processes are ended
    try:
        if not os.access(os.path.join(ROOT, PROGRAM), os.X_OK):
            print("%s is not built" % PROGRAM)
            sys.exit(EXIT_COULD_NOT_RUN)
        status = asyncio.run(limited())
    except (Exception, KeyboardInterrupt) as e:
        print("could not run: %s: %s" % (type(e).__name__, e))
        status = EXIT_COULD_NOT_RUN
    sys.exit(status)
