"""A small deployment of ragwort-node on loopback addresses, with stand-ins for the
platform: its workers, its operator, its clients and, between the processes, the paths.

Everything but the processes of the project runs in one event loop.  What is sent,
answered and run is written to record.txt, one line an event, with the time in ms since
the start of the script."""
import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
NODE = os.environ.get("NODE", "target/ragwort-node")  # `run` of deploy/system.toml, started in the root
PEER, LISTEN, CALLERS, READY = 7720, 7721, 8161, 8167
CONTROL, METRICS, WORKER = 8166, 9464, 8080

# Of a path that loses packets: the share lost, and how long a sender waits before it
# sends one again (at least, in Linux), each time twice as long.
LOST, RETRANSMIT_S, SYN_AGAIN_S = 0.3, 0.2, 1.0

# From the sheet of vlsb-ragwort in SYSTEM.md.
LEASE_LIMIT_MS, RESEND_MS, CATCH_UP_S, GRACE_S = 1000, 1300, 4, 6
STOP_MS, BEAT_S, CANCEL_MS, CONTACT_MS = 50, 1.5, 3000, 3000

BEGAN = time.monotonic()


def now_ms():
    return int((time.monotonic() - BEGAN) * 1000)


class CannotRun(Exception):
    pass


class Record:
    def __init__(self, path):
        self.file = open(path, "w")

    def add(self, event, **fields):
        text = " ".join("%s=%s" % (k, json.dumps(v) if isinstance(v, (dict, list)) else v)
                        for k, v in fields.items())
        self.file.write("%7d %s %s\n" % (now_ms(), event, text))
        self.file.flush()


def close(writer):
    try:
        writer.close()
    except RuntimeError:
        pass  # the event loop has ended


# --- HTTP -------------------------------------------------------------------


async def read_message(reader):
    """Returns (first line, fields, body), or None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(fields.get("content-length", "0")))
    return lines[0], fields, body


def request_bytes(method, path, host, body, fields=()):
    data = b"" if body is None else json.dumps(body).encode()
    lines = ["%s %s HTTP/1.1" % (method, path), "Host: " + host]
    if body is not None:
        lines.append("Content-Type: application/json")
    lines += ["%s: %s" % f for f in fields]
    lines.append("Content-Length: %d" % len(data))
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + data


async def call(address, port, method, path, body=None, host="h", fields=(), wait_s=5.0):
    """One request on a connection of its own.  Returns (status, fields, JSON);
    status 0 if the connection broke or there was no answer in time."""
    writer = None
    try:
        async def exchange():
            nonlocal writer
            reader, writer = await asyncio.open_connection(address, port)
            writer.write(request_bytes(method, path, host, body, fields))
            await writer.drain()
            return await read_message(reader)
        line, got, data = await asyncio.wait_for(exchange(), wait_s)
        try:
            value = json.loads(data) if data else None
        except ValueError:
            value = None
        return int(line.split()[1]), got, value
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0, {}, None
    finally:
        if writer is not None:
            writer.close()


# --- workers ----------------------------------------------------------------


class Run:
    def __init__(self, task, run, length_ms, need, now):
        self.task, self.run, self.need = task, run, need
        self.began, self.length_ms, self.stop_at = now, length_ms, None


class Worker:
    """A sound worker as PROTOCOL.md tells.  The spec of its tasks says how many ms one
    takes.  NEEDS, if given, tells the cpu of a task by its name."""

    def __init__(self, cluster, address, identity, zone, rack, cpu=8000, slots=8):
        self.cluster, self.address, self.id = cluster, address, identity
        self.zone, self.rack, self.cpu, self.slots = zone, rack, cpu, slots
        self.enforces = True
        self.state = "ready"
        self.gate = None  # coroutine function that may delay or drop a call
        self.lossy_to = None  # the machine to which its path loses packets
        self.cut_off = False  # it reaches no keeper
        self.writers = set()
        self.reset()
        self.beat_at = None

    def reset(self):
        self.born = int(time.time() * 1000)
        self.clock_began = time.monotonic()
        self.runs, self.ends, self.count = {}, [], 0
        self.remembered = {}
        self.fence, self.lease_ms, self.seq = 0, 0, 0
        self.changed = asyncio.Event()

    def crash(self):
        """Everything that runs ends; the worker starts again under its id."""
        for r in list(self.runs.values()):
            self.cluster.ended(self, r.task, r.run, "crashed")
        for w in list(self.writers):
            w.transport.abort()
        self.reset()
        self.cluster.record.add("worker-restarts", worker=self.id)

    def clock(self):
        return int((time.monotonic() - self.clock_began) * 1000)

    def ids(self):
        return {"clock-ms": self.clock(), "born": self.born}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address, WORKER)
        self.tasks = [asyncio.create_task(self.tick()), asyncio.create_task(self.beats())]

    def loses(self, caller):
        return caller is not None and caller == self.lossy_to

    async def lose(self, caller):
        """Waits as long as a packet takes on a path that loses some."""
        wait = RETRANSMIT_S
        while self.loses(caller) and self.cluster.random.random() < LOST:
            await asyncio.sleep(wait)
            wait *= 2

    async def serve(self, reader, writer):
        peer = writer.get_extra_info("peername")
        self.writers.add(writer)
        try:
            # A lost SYN, or the answer to it, is repeated after a second only: the
            # system has given up on the connection before it sent a request.
            caller = None
            if self.lossy_to is not None:
                caller = self.cluster.caller_of(peer, (self.address, WORKER))
            if self.loses(caller) and self.cluster.random.random() < 1 - (1 - LOST) ** 2:
                await asyncio.sleep(SYN_AGAIN_S)
                return
            while True:
                line, fields, data = await read_message(reader)
                await self.lose(caller)
                path = line.split()[1]
                body = json.loads(data) if data else {}
                if self.gate is not None and not await self.gate(self, path, body, peer):
                    continue
                status, reply = await self.handle(path, fields, body, peer)
                text = json.dumps(reply).encode()
                await self.lose(caller)
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            close(writer)

    def conflict(self, reason):
        return 409, dict(self.ids(), reason=reason)

    def extend(self, until):
        until = min(until, self.clock() + LEASE_LIMIT_MS)
        self.lease_ms = max(self.lease_ms, until)

    def free_cpu(self):
        return self.cpu - sum(r.need for r in self.runs.values())

    async def handle(self, path, fields, body, peer):
        if fields.get("x-ragwortline-expect-instance", self.id) != self.id:
            return 421, self.ids()
        if path == "/health":
            return 200, self.ids()
        fence = body.get("fence-token", 0)
        if fence < self.fence:
            return self.conflict("fence")
        self.fence = fence
        if path == "/v1/run-start":
            return self.start_run(body, peer)
        if path == "/v1/run-stop":
            return self.stop_run(body)
        if path == "/v1/hold":
            return await self.hold(body)
        return 400, self.ids()

    def start_run(self, body, peer):
        task, run, until = body["task"], body["run-id"], body["until-ms"]
        if until <= self.clock():
            return self.conflict("late")
        self.extend(until)
        if run <= self.remembered.get(task, 0):
            return self.conflict("old")
        known = self.runs.get(task)
        if known is not None and known.run == run:
            return 200, self.ids()
        need = self.cluster.need(task)
        if self.enforces and (need > self.free_cpu() or len(self.runs) >= self.slots):
            return self.conflict("room")
        self.runs[task] = Run(task, run, int(body["spec"].split()[0]), need, time.monotonic())
        self.cluster.started(self, task, run, body, peer)
        return 200, self.ids()

    def stop_run(self, body):
        task, run = body["task"], body["run-id"]
        self.remembered[task] = max(run, self.remembered.get(task, 0))
        r = self.runs.get(task)
        if r is not None and r.run <= run and r.stop_at is None:
            r.stop_at = time.monotonic() + STOP_MS / 2000
        return 200, self.ids()

    async def hold(self, body):
        seen = body.get("last-seen", 0)
        self.ends = [e for e in self.ends if e[0] > seen]
        if "until-ms" in body:
            self.extend(body["until-ms"])
        wait = min(body.get("wait-ms", 0), 2000) / 1000
        if wait and not self.ends:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), wait)
            except asyncio.TimeoutError:
                pass
        now = time.monotonic()
        rows = [[r.task, r.run, "", min(99, int((now - r.began) * 100000 / (r.length_ms + 1)))]
                for r in self.runs.values()]
        return 200, dict(self.ids(), **{"running-tasks": rows, "ended": self.ends[:500]})

    def end(self, r, how):
        del self.runs[r.task]
        self.count += 1
        self.ends.append([self.count, r.task, r.run, how, ""])
        self.remembered[r.task] = max(r.run, self.remembered.get(r.task, 0))
        self.cluster.ended(self, r.task, r.run, how)
        self.changed.set()

    async def tick(self):
        while True:
            now = time.monotonic()
            for r in list(self.runs.values()):
                if self.clock() >= self.lease_ms:
                    self.end(r, "lapsed")
                elif r.stop_at is not None and now >= r.stop_at:
                    self.end(r, "stopped")
                elif (now - r.began) * 1000 >= r.length_ms:
                    self.end(r, "done")
            await asyncio.sleep(0.004)

    def report(self):
        self.seq += 1
        return {"service": "work", "address": "%s:%d" % (self.address, WORKER),
                "zone": self.zone, "version": "v1", "slots": self.slots, "state": self.state,
                "cold-remaining-ms": 0,
                "capacity": {"cpu": self.cpu, "mem-mb": 32768, "gpu": 0},
                "labels": ["a", self.rack], "clock-ms": self.clock(), "born": self.born,
                "seq": self.seq}

    async def beat(self):
        """Sends one heartbeat.  Returns whether it was acknowledged."""
        if self.cut_off:
            return False
        keepers = [k.address for k in self.cluster.keepers]
        first = self.beat_at or keepers[hash(self.id) % len(keepers)]
        for address in [first] + [k for k in keepers if k != first]:
            status, _, value = await call(address, CONTROL, "PUT", "/v1/instances/" + self.id,
                                          self.report(), wait_s=1.0)
            if status // 100 == 2:
                url = (value or {}).get("heartbeat-url")
                self.beat_at = url.split(":")[0] if url else address
                return True
            self.beat_at = None
        return False

    async def beats(self):
        while True:
            await self.beat()
            await asyncio.sleep(BEAT_S)


# --- paths between the processes ----------------------------------------------


class PeerPath:
    """The path to the peer port of NODE.  The side that connects names itself in its
    first frame, so that a path between two processes can be cut: what is sent is held
    until the cut ends."""

    def __init__(self, cluster, node):
        self.cluster, self.node = cluster, node

    async def start(self):
        self.server = await asyncio.start_server(self.accept, self.node.address, PEER)

    async def open_path(self, other):
        while self.cluster.is_cut(self.node.address, other):
            await asyncio.sleep(0.01)

    async def pump(self, reader, writer, other):
        while True:
            data = await reader.read(65536)
            if not data:
                return
            await self.open_path(other)
            writer.write(data)
            await writer.drain()

    async def accept(self, reader, writer):
        onward = None
        try:
            first = await reader.read(65536)
            name = re.search(rb"127\.\d+\.\d+\.\d+", first)
            other = name.group().decode() if name else ""
            await self.open_path(other)
            back, onward = await asyncio.open_connection(self.node.address, LISTEN)
            onward.write(first)
            pumps = [asyncio.create_task(self.pump(reader, onward, other)),
                     asyncio.create_task(self.pump(back, writer, other))]
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            for p in pumps:
                p.cancel()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            close(writer)
            if onward is not None:
                close(onward)


# --- processes ----------------------------------------------------------------


class Node:
    def __init__(self, cluster, address, zone, keeper):
        self.cluster, self.address, self.zone, self.keeper = cluster, address, zone, keeper
        self.process = None
        self.path = os.path.join(cluster.folder, address + ".json")

    def settings(self, first):
        c = self.cluster
        data = os.path.join(c.folder, "data-" + self.address)
        return {
            "vm": "vm-" + self.address, "role": "keeper" if self.keeper else "entry",
            "environment": "platform", "address": self.address, "domain": self.zone,
            "domains": {z: "friesland" for z in c.zones}, "peer_port": PEER,
            "peer_listen_port": LISTEN, "peer_secret": "between-vms-of-one-deployment",
            "callers": "" if self.keeper else "%s:%d" % (self.address, CALLERS),
            "readiness": "" if self.keeper else "%s:%d" % (self.address, READY),
            "control": "%s:%d" % (self.address, CONTROL) if self.keeper else "",
            "metrics_port": METRICS,
            "seeds": ["%s:%d" % (k.address, CONTROL) for k in c.keepers[:3]],
            "first_start": first, "lost_keepers": 1, "catch_up_s": CATCH_UP_S,
            "data_folder": data if self.keeper else None, "descriptors": 4096,
            "lease_limit_ms": LEASE_LIMIT_MS, "caller_retry_ms": RESEND_MS,
            "far_factor": 3, "stop_grace_s": GRACE_S, "memory_mb": 256,
            "log_level": "info"}

    def start(self, first=False):
        with open(self.path, "w") as f:
            json.dump(self.settings(first), f)
        log = open(os.path.join(self.cluster.folder, self.address + ".log"), "ab")
        self.process = subprocess.Popen([NODE], cwd=ROOT, stdout=log, stderr=log,
                                        env=dict(os.environ, RAGWORTLINE_BOOT=self.path))
        log.close()
        self.cluster.record.add("process-starts", node=self.address)

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self.cluster.record.add("signal", node=self.address,
                                    signal=signal.Signals(number).name)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def log_text(self):
        with open(os.path.join(self.cluster.folder, self.address + ".log"),
                  errors="replace") as f:
            return f.read()


def choose_net():
    """A /24 of the loopback range on which the ports are free."""
    for i in range(200):
        net = "127.%d.%d" % (60 + (os.getpid() + i) % 150, 1 + (os.getpid() // 7 + i) % 250)
        try:
            for host, port in (("10", CONTROL), ("10", PEER), ("10", LISTEN), ("20", CALLERS),
                               ("20", READY), ("20", METRICS), ("100", WORKER)):
                with socket.socket() as s:
                    s.bind(("%s.%s" % (net, host), port))
            return net
        except OSError:
            continue
    raise CannotRun("no free loopback net")


def socket_inode(local, remote):
    """The inode of the connection from LOCAL to REMOTE, or 0."""
    def packed(address):
        return socket.inet_aton(address) + bytes(12)
    ports = struct.pack(">HH", local[1], remote[1])
    body = struct.pack("=BBBBI", socket.AF_INET, socket.IPPROTO_TCP, 0, 0, 0xFFFFFFFF)
    body += ports + packed(local[0]) + packed(remote[0]) + bytes(4) + b"\xff" * 8
    head = struct.pack("=IHHII", 16 + len(body), 20, 1, 0, 0)  # SOCK_DIAG_BY_FAMILY
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, 4) as s:  # NETLINK_SOCK_DIAG
        s.send(head + body)
        reply = s.recv(4096)
    if struct.unpack_from("=H", reply, 4)[0] != 20:
        return 0
    return struct.unpack_from("=I", reply, 16 + 4 + 48 + 16)[0]


class Cluster:
    def __init__(self, record, entries=6, keepers=4, workers=8, cpu=8000):
        if not os.access(os.path.join(ROOT, NODE), os.X_OK):
            raise CannotRun(NODE + " has not been built")
        self.record = record
        self.zones = ["werkplaats", "oven", "winkel", "magazijn"]
        self.folder = tempfile.mkdtemp(prefix="ragwort-review-")
        self.net = choose_net()
        self.cuts = set()
        self.keepers = [Node(self, "%s.%d" % (self.net, 10 + i), self.zones[i % 4], True)
                        for i in range(keepers)]
        self.entries = [Node(self, "%s.%d" % (self.net, 20 + i), self.zones[i % 4], False)
                        for i in range(entries)]
        self.nodes = self.keepers + self.entries
        self.workers = [Worker(self, "%s.%d" % (self.net, 100 + i), "i-%08x" % (i + 1),
                               self.zones[i % 4], "r%d" % (i % 4), cpu)
                        for i in range(workers)]
        self.starts, self.finished = [], []
        self.needs = {}
        self.names_callers = False  # a look at the sockets, about a ms for each start
        self.random = random.Random(1)

    def need(self, task):
        """The cpu that a task of a job asks for."""
        job, _, step, _ = task.split(".")
        return self.needs.get((job, int(step)), self.needs.get(job, 1000))

    def cut(self, one, other):
        self.cuts.add(frozenset((one, other)))

    def is_cut(self, one, other):
        return frozenset((one, other)) in self.cuts

    def started(self, worker, task, run, body, peer):
        who = "-"
        if self.names_callers:
            who = self.caller_of(peer, (worker.address, WORKER))
        self.starts.append((now_ms(), worker, task, run, who))
        self.record.add("worker-starts", worker=worker.id, task=task, run=run,
                        fence=body["fence-token"], by=who)

    def ended(self, worker, task, run, how):
        self.finished.append((now_ms(), worker, task, run, how))
        self.record.add("worker-ends", worker=worker.id, task=task, run=run, how=how)

    def caller_of(self, peer, at):
        """The process that holds the connection from PEER to AT: the machine that a
        platform would see as its sender."""
        inode = socket_inode(peer, at)
        for n in self.nodes:
            if inode == 0 or n.process is None or n.process.poll() is not None:
                continue
            folder = "/proc/%d/fd" % n.process.pid
            try:
                for fd in os.listdir(folder):
                    if os.readlink("%s/%s" % (folder, fd)) == "socket:[%d]" % inode:
                        return n.address
            except OSError:
                continue
        return "unknown"

    def config(self, version=1, enforces=True, **route):
        rule = {"name": "r-main", "host": "nony24.example", "path-prefix": "/lohu930/",
                "type": "unsafe", "timeout-ms": 1500, "target-duration-ms": 60, "priority": 0,
                "service": "work", "max-attempts": 3, "stretch": 1.6}
        rule.update(route)
        return {"version": version, "routes": [rule],
                "services": [{"name": "work", "health-path": "/health", "max-conns": 64,
                              "protocol": "h1", "tls": False, "enforces-capacity": enforces,
                              "standby": False}],
                "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144,
                           "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}

    async def put_config(self, config, within_s=15.0):
        end = time.monotonic() + within_s
        i = 0
        while time.monotonic() < end:
            address = self.keepers[i % len(self.keepers)].address
            for _ in range(3):
                status, fields, _ = await call(address, CONTROL, "PUT", "/v1/config", config,
                                               wait_s=1.0)
                if status != 307:
                    break
                address = fields["location"].split("//")[1].split(":")[0]
            if status == 200:
                self.record.add("config-acked", version=config["version"], by=address)
                return
            if 400 <= status < 500:
                raise CannotRun("the desired state was refused: %d" % status)
            i += 1
            await asyncio.sleep(0.2)
        raise CannotRun("the desired state was not acknowledged")

    async def submit(self, entry, job, steps, spec, deadline_ms=1500, what="POST"):
        """POSTs a best-effort job.  Returns its status and body."""
        body = {"spec": spec, "best-effort": True, "steps": steps}
        self.record.add("client-" + what, job=job, entry=entry.address)
        status, _, value = await call(entry.address, CALLERS, "POST", "/lohu930/" + job, body,
                                      host="nony24.example",
                                      fields=[("X-Ragwortline-Deadline-Ms", deadline_ms)],
                                      wait_s=deadline_ms / 1000)
        self.record.add("answer-" + what, job=job, entry=entry.address, status=status,
                        body=value)
        return status, value

    async def cancel(self, entry, job):
        self.record.add("client-DELETE", job=job, entry=entry.address)
        status, _, value = await call(entry.address, CALLERS, "DELETE", "/lohu930/" + job,
                                      host="nony24.example", wait_s=2.0)
        self.record.add("answer-DELETE", job=job, entry=entry.address, status=status,
                        body=value)
        return status

    async def start(self, config=None):
        self.record.add("net", net=self.net)
        for n in self.nodes:
            await PeerPath(self, n).start()
        for n in self.nodes:
            n.start(first=True)
        for w in self.workers:
            await w.start()
        await self.put_config(config or self.config())
        await self.ready(self.entries)

    async def ready(self, entries, within_s=15.0):
        """Waits until ENTRIES report that they are ready and a job was served by each."""
        end = time.monotonic() + within_s
        for i, n in enumerate(entries):
            while True:
                status, _, _ = await call(n.address, READY, "GET", "/v1/ready", wait_s=1.0)
                if status == 200:
                    status, _ = await self.submit(
                        n, "%016x" % (0xAAAA0000 + now_ms() * 16 + i),
                        [{"count": 1, "cpu": 500, "mem-mb": 16, "estimate-ms": 20}], "20",
                        what="probe")
                if status == 200:
                    break
                if time.monotonic() > end:
                    raise CannotRun(n.address + " does not serve")
                await asyncio.sleep(0.1)

    def close(self):
        for n in self.nodes:
            if n.process is not None and n.process.poll() is None:
                n.process.kill()
        for n in self.nodes:
            if n.process is not None:
                n.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(folder, scenario, limit_s=110, **options):
    """Runs SCENARIO (cluster, trouble), a coroutine function that returns a list of what
    broke the rule.  Exits with 1 if there is any, with 0 if the rule held and with 2 if
    the case could not run."""
    record = Record(os.path.join(folder, "record.txt"))
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))  # by way of finally
    trouble = os.environ.get("TROUBLE", "1") != "0"
    cluster = None

    async def play():
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        return await asyncio.wait_for(scenario(cluster, trouble), limit_s)

    try:
        cluster = Cluster(record, **options)
        broken = asyncio.run(play())
        ended = [n.address for n in cluster.nodes
                 if n.process is not None and n.process.poll() not in (None, -9)]
        if ended:
            raise CannotRun("ended by itself: %s" % ended)
        status = 1 if broken else 0
    except Exception as e:  # not 1, which says that the rule was broken
        record.add("cannot-run", why=repr(e))
        print("cannot run: %r" % e)
        broken, status = [], 2
    finally:
        if cluster is not None:
            cluster.close()
    for line in broken:
        record.add("broken", what=line)
        print("broken: " + line)
    record.add("result", trouble=int(trouble), exit=status)
    print("trouble=%d exit=%d" % (trouble, status))
    sys.exit(status)
