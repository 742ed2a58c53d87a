#!/usr/bin/env python3
"""A seeded run of spoilt bytes at each port, path, header and body, in frames of
peers, answers of a target, settings, stored files and arguments: no process ends
by it, each answer is JSON, and sound callers are served on.

usage: tests/spoilt_bytes.py BUILD [ROUNDS] [SEED...]

Run from the root of the repository.  Ends with "spoilt: N passed, N failed",
counted in parts of a seed."""
import json
import os
import random
import shutil
import subprocess
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "spoilt"))
import frames
import processes
from processes import CALLERS, CONTROL, METRICS, PEER, READY
from spoiler import ODD_BYTES, Spoiler

HOST = b"jobs.example"
SERVE_WAIT_S = 15.0
HEARTBEAT_S = 0.4
SIGNALLED = 128

CONFIG = {
    "version": 7,
    "routes": [{"name": "r-" + s, "host": HOST.decode(), "path-prefix": "/%s/" % s,
                "type": "unsafe", "timeout-ms": 1500, "target-duration-ms": 60,
                "priority": 0, "service": s, "max-attempts": 3, "stretch": 1.6}
               for s in ("sound", "odd")],
    "services": [{"name": s, "health-path": "/health", "enforces-capacity": True}
                 for s in ("sound", "odd")],
    "limits": {"max-body-bytes": 262144}}
JOB = {"spec": "text", "best-effort": True,
       "steps": [{"count": 2, "cpu": 500, "mem-mb": 16, "estimate-ms": 10,
                  "data-rack": "r1", "required-label": "a", "anti-affinity": 2}]}

# Numbers of frames that a peer may send without claiming to lead, to vote or to
# own: a peer that lies is not what is tried here.
ODD_NUMBERS = [0, 1, 2**31, 2**32 + 1, 2**53, 2**63 - 1]
FRAME_TEXTS = [b"", b"vm", "\u00e9".encode(), b"[]", b"null", b'["\xc3\xa9"]',
               b'{"whole":[{"id":"a","address":"1.2.3.4:5"}],"heard":["a",-1,5],"left":[1]}',
               b'[{"id":"a","address":"1.2.3.4:5","fence":1,"labels":[{}]}]',
               json.dumps(JOB).encode()]
JOB_MESSAGES = ("job.", "job_end.", "job_cancel.", "keepalive.", "capacity.", "task_run.")


def heartbeat(target, service):
    return {"service": service, "address": "%s:%d" % (target.server_address[0], processes.TARGET),
            "zone": "shop", "version": "v1", "slots": 8, "state": "ready",
            "cold-remaining-ms": 0, "labels": ["a", "r1"], "born": target.identity,
            "capacity": {"cpu": 16000, "mem-mb": 32768, "gpu": 0}, "clock-ms": 1}


class Run:
    """One seed."""

    def __init__(self, build, seed, rounds):
        self.build = build
        self.rounds = rounds
        self.random = random.Random(seed)
        self.spoiler = Spoiler(self.random)
        self.net = "127.%d.%d" % (71 + os.getpid() % 100, seed % 250 + 1)
        self.deployment = processes.Deployment(build, self.net)
        self.sound = processes.Target(self.net + ".40", 1)
        self.odd = processes.Target(self.net + ".41", 2, self.odd_answer)
        self.answer_random = Spoiler(random.Random(seed + 1))
        self.stopping = False
        self.job_count = 0
        threading.Thread(target=self.send_heartbeats, daemon=True).start()

    # The sound target, operator and caller.

    def odd_answer(self, reply):
        reply.setdefault("running-tasks", [["t.0.0.0", 1, "", 5, 0]])
        return self.answer_random.body(reply)

    def send_heartbeats(self):
        sequence = 0
        while not self.stopping:
            sequence += 1
            for target, service in ((self.sound, "sound"), (self.odd, "odd")):
                body = dict(heartbeat(target, service), seq=sequence)
                path = b"/v1/instances/i-" + service.encode()
                for keeper in self.deployment.keepers:
                    if self.deployment.call(keeper, CONTROL, b"PUT", path, body)[0] == 200:
                        break
            time.sleep(HEARTBEAT_S)

    def config_call(self, method, body=None):
        for keeper in self.deployment.keepers:
            status, answer = self.deployment.call(keeper, CONTROL, method, b"/v1/config", body)
            if status == 200:
                return answer
        return None

    def job_is_done(self, entry):
        self.job_count += 1
        path = b"/sound/%016x" % (self.job_count + (os.getpid() << 32))
        return self.deployment.call(entry, CALLERS, b"POST", path, JOB, HOST) == (
            200, {"state": "done"})

    def is_served(self):
        """Whether the desired state reads as it was sent, and a sound job is done
        at each entry, within SERVE_WAIT_S."""
        missing = list(self.deployment.entries)
        end = time.monotonic() + SERVE_WAIT_S
        config = None
        while time.monotonic() < end and (missing or config != CONFIG):
            config = self.config_call(b"GET")
            missing = [e for e in missing if not self.job_is_done(e)]
            if missing or config != CONFIG:
                time.sleep(0.1)
        if config != CONFIG:
            return "the desired state reads %s" % json.dumps(config)[:200]
        return "no job is done at %s" % missing if missing else ""

    def start(self):
        end = time.monotonic() + SERVE_WAIT_S
        while self.config_call(b"PUT", CONFIG) is None and time.monotonic() < end:
            time.sleep(0.1)
        return self.is_served()

    # Spoilt requests.

    def headers(self, host=HOST):
        odd = self.random.choice(ODD_BYTES).replace(b"\x00", b"").replace(b"\r", b"")
        lines = [(b"Host", host)]
        kind = self.random.randint(0, 5)
        if kind == 0:
            lines = [(b"Host", self.spoiler.cut_in(host, odd).replace(b"\x00", b""))]
        elif kind == 1:
            lines.append((b"X-Ragwortline-Deadline-Ms", self.random.choice(
                [odd, b"-1", b"1e9", b"9" * 40, b"", b"0x10"])))
        elif kind == 2:
            lines.append((b"Authorization", b"Bearer " + odd))
        elif kind == 3:
            lines.append((odd or b"x", odd))
        return lines

    def send_spoilt(self, process, address, lines, authorization=None):
        """Sends one spoilt request out of LINES: (method, path, body).  Returns a
        fault, or ""."""
        method, path, value = self.random.choice(lines)
        body = b"" if value is None else self.spoiler.body(value)
        headers = self.headers()
        if authorization is not None:
            headers.append((b"Authorization", authorization))
        data = processes.request_bytes(method, self.spoiler.path(path), headers, body)
        if self.random.random() < 0.05:
            data = self.spoiler.bytes(data)
        process.note(data)
        wait_s = 0.3 if self.random.random() < 0.9 else processes.ANSWER_S
        answer = processes.exchange(address, data, wait_s)
        if answer is None or answer[0] == 100 or path.startswith(b"/metrics"):
            return ""
        try:
            json.loads(answer[2] or b"null")
        except ValueError:
            return "answer %d is not JSON: %r, to %r" % (answer[0], answer[2][:200], data[:300])
        return ""

    def spoil_requests(self, addresses, lines):
        """Sends ROUNDS spoilt requests to ADDRESSES, (address, port) of nodes."""
        for _ in range(self.rounds):
            address, port = self.random.choice(addresses)
            fault = self.send_spoilt(self.deployment.processes[address], (address, port), lines)
            if fault:
                return fault
            if self.deployment.ended():
                break
        return ""

    def spoil_control(self):
        target = dict(heartbeat(self.sound, "sound"), seq=1, service="none")
        # One change must not make a sound document of a later version, which would
        # replace the desired state: it is older, and its routes' services unknown.
        config = dict(CONFIG, version=6, services=CONFIG["services"][:1])
        return self.spoil_requests(
            [(k, CONTROL) for k in self.deployment.keepers],
            [(b"PUT", b"/v1/instances/i-odd1", target), (b"DELETE", b"/v1/instances/i-odd1", None),
             (b"PUT", b"/v1/config", config), (b"GET", b"/v1/config", None),
             (b"POST", b"/v1/wave-start", {"wave": 1, "machines": ["m"]}),
             (b"GET", b"/v1/wave-get/1", None)])

    def spoil_callers(self):
        lines = [(method, b"/%s/00000000000000%02x" % (route, i), JOB if method == b"POST" else None)
                 for method in (b"POST", b"GET", b"DELETE") for i in range(3)
                 for route in (b"sound", b"odd")]
        return self.spoil_requests([(e, CALLERS) for e in self.deployment.entries],
                                   lines + [(b"PUT", b"/sound/", None), (b"GET", b"/sound/", None)])

    def spoil_readiness(self):
        nodes = self.deployment.keepers + self.deployment.entries
        return self.spoil_requests(
            [(e, READY) for e in self.deployment.entries] + [(n, METRICS) for n in nodes],
            [(b"GET", b"/v1/ready", None), (b"GET", b"/metrics", None), (b"POST", b"/metrics", JOB)])

    # Spoilt frames of peers.

    def frame(self, fields):
        values = []
        for kind, name in fields:
            if kind in "BT":
                text = self.random.choice(FRAME_TEXTS)
                values.append(self.spoiler.bytes(text) if self.random.random() < 0.4 else text)
            elif name.endswith(".leaving"):
                values.append(1)
            elif name.startswith(JOB_MESSAGES):
                values.append(self.random.choice(ODD_NUMBERS))
            elif name == "call.method":
                values.append(self.random.randint(0, 12))
            else:
                values.append(0)
        return values

    def wrong_length(self, payload):
        """PAYLOAD cut short, or with more behind it.  Other bytes in its place could
        be a claim to lead: a seal says that the peer has sent them."""
        if self.random.random() < 0.5:
            return payload[:self.random.randrange(len(payload))]
        return payload + self.random.choice(ODD_BYTES)

    def spoil_frames(self):
        formats = frames.read_formats()
        nodes = self.deployment.keepers + self.deployment.entries
        for i in range(self.rounds // 3):
            address = self.random.choice(nodes)
            process = self.deployment.processes[address]
            vm = self.random.choice([self.net + ".99", self.net + ".98", "\u00e9\u00e9"]).encode()
            if i % 5 == 0:
                vm = self.spoiler.bytes(vm)
            try:
                link = frames.PeerLink((address, PEER), self.net + ".99", b"platform", vm,
                                       processes.PEER_SECRET)
                for _ in range(6):
                    kind = self.random.choice(sorted(formats))
                    payload = frames.pack_message(kind, self.frame(formats[kind]))
                    if self.random.random() < 0.1:
                        payload = self.wrong_length(payload)
                    process.note(payload)
                    link.send(payload)
                link.close()
            except OSError:
                pass
            if i % 4 == 0:
                processes.exchange((address, PEER), self.random.randbytes(40), 0.05)
            if self.deployment.ended():
                break
        return ""

    # Answers of the target whose service is "odd".

    def spoil_answers(self):
        threads = []
        for i in range(min(self.rounds // 4, 100)):
            entry = self.random.choice(self.deployment.entries)
            path = b"/odd/%016x" % (i + (1 << 40))
            threads.append(threading.Thread(
                target=self.deployment.call,
                args=(entry, CALLERS, b"POST", path, JOB, HOST)))
            threads[-1].start()
            time.sleep(0.02)
        for t in threads:
            t.join()
        return ""

    # Files and arguments.

    def spoil_settings(self):
        """Settings that change under a running process."""
        nodes = self.deployment.entries + self.deployment.keepers[:1]
        for _ in range(2):
            for address in nodes:
                self.deployment.write_settings(address, self.spoiler.body)
            time.sleep(1.3)
        for address in nodes:
            self.deployment.write_settings(address)
        time.sleep(1.1)
        return ""

    def run_program(self, command, environment=None, wait_s=2.0):
        """Runs COMMAND for at most WAIT_S; returns a fault if a signal that was not
        ours ended it."""
        program = subprocess.Popen(command, env=dict(os.environ, **(environment or {})),
                                   stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
        try:
            status = program.wait(wait_s)
        except subprocess.TimeoutExpired:
            program.kill()
            program.wait()
            return ""
        if status < 0 or status >= SIGNALLED:
            return "%r ended by signal: status %d" % (command, status)
        return ""

    def spoil_checked_files(self):
        """Settings and documents that the programs check, and arguments."""
        folder = self.deployment.folder
        path = os.path.join(folder, "checked.json")
        node = self.deployment.settings(self.deployment.keepers[0])
        ragwortd = json.load(open("examples/sofia/keeper.json"))
        document = json.load(open("examples/sofia/document.json"))
        tool = os.path.join(self.build, "ragwortctl")
        commands = [([self.deployment.node, "--check", path], node),
                    ([os.path.join(self.build, "ragwortd"), "--check", path], ragwortd),
                    ([tool, "config", "check", path, "--environment=production"], document),
                    ([tool, "submit", path, "--server", self.net + ".1:9"], {"tasks": [JOB]})]
        for _ in range(self.rounds // 10):
            command, value = self.random.choice(commands)
            with open(path, "wb") as f:
                f.write(self.spoiler.body(value))
            fault = self.run_program(command)
            if fault:
                return "%s, file %r" % (fault, open(path, "rb").read()[:300])
        for odd in [b"\xff", b"k\xc3", b"\xc3\xa9" * 200]:
            for option in [b"--key=", b"--operator=", b"--token=", b"--request-id="]:
                for words in ([b"submit"], [b"config", b"accept"]):
                    fault = self.run_program([tool.encode(), *words, b"examples/sofia/document.json",
                                              option + odd, b"--server", b"127.0.0.1:9"])
                    if fault:
                        return fault
        return ""

    def spoil_stored_files(self):
        """A keeper that starts with spoilt copies of its files."""
        source = self.deployment.settings(self.deployment.keepers[0])["data_folder"]
        address = self.net + ".60"
        folder = os.path.join(self.deployment.folder, "spoilt-data")
        path = os.path.join(self.deployment.folder, "spoilt-data.json")
        settings = dict(self.deployment.settings(self.deployment.keepers[0]),
                        address=address, control="%s:%d" % (address, CONTROL),
                        data_folder=folder, first_start=False,
                        seeds=["%s:%d" % (address, CONTROL)])
        with open(path, "w") as f:
            json.dump(settings, f)
        for _ in range(max(self.rounds // 40, 3)):
            shutil.rmtree(folder, ignore_errors=True)
            shutil.copytree(source, folder)
            for name in os.listdir(folder):
                file = os.path.join(folder, name)
                data = open(file, "rb").read()
                with open(file, "wb") as f:
                    f.write(self.spoiler.bytes(data))
            fault = self.run_program([self.deployment.node], {"RAGWORTLINE_BOOT": path}, 0.3)
            if fault:
                return fault
        return ""

    # ragwortd, whose entry and keeper serve other paths.

    def start_ragwortd(self, name, port):
        """A process of examples/sofia on this run's network, on port PORT."""
        path = os.path.join(self.deployment.folder, "ragwortd-%s.json" % name)
        text = open("examples/sofia/%s.json" % name).read()
        text = text.replace("192.0.2.", self.net + ".").replace(
            "/var/lib/ragwort", os.path.join(self.deployment.folder, "ragwortd-data"))
        with open(path, "w") as f:
            f.write(text)
        program = os.path.join(self.build, "ragwortd")
        if name == "keeper":
            subprocess.run([program, "--init-store", path], check=True, stdout=subprocess.DEVNULL)
        process = processes.Process("ragwortd " + name, [program, path], self.deployment.log)
        self.deployment.processes["ragwortd-" + name] = process
        return process, (self.net + ".111", port)

    def spoil_ragwortd(self):
        announce = {"target": "t1", "address": self.net + ".42", "port": 9, "domain": "sofia",
                    "slots": 1}
        document = json.load(open("examples/sofia/document.json"))
        accept = {"request_id": "r", "operator": "o", "expect": 0, "document": document}
        submission = {"key": "sofia.1.1.a", "deadline_ms": 500,
                      "tasks": [{"kind": "k", "payload": {"a": "b"}}]}
        lines = [(b"POST", b"/v1/jobs", submission), (b"POST", b"/v1/requests", submission),
                 (b"GET", b"/v1/jobs/sofia.1.1.a", None), (b"DELETE", b"/v1/jobs/a", None),
                 (b"POST", b"/v1/targets/announce", announce), (b"GET", b"/v1/targets", None),
                 (b"POST", b"/v1/targets/leave", announce), (b"GET", b"/v1/config", None),
                 (b"POST", b"/v1/config/accept", accept), (b"GET", b"/v1/status", None),
                 (b"GET", b"/v1/events?key=a&limit=5", None), (b"GET", b"/v1/counters", None)]
        tokens = [None, b"Bearer operator-token", b"Bearer target-token", b"Bearer t\xff"]
        started = [self.start_ragwortd("keeper", 8101), self.start_ragwortd("entry", 8100)]
        end = time.monotonic() + 5
        while time.monotonic() < end and any(
                processes.exchange(address, b"GET /v1/health HTTP/1.1\r\nHost: h\r\n\r\n", 0.2) is None
                for _, address in started):
            time.sleep(0.05)
        for _ in range(self.rounds):
            process, address = self.random.choice(started)
            fault = self.send_spoilt(process, address, lines, self.random.choice(tokens))
            if fault or process.ended():
                return fault
        return ""

    PARTS = [("control", spoil_control), ("callers", spoil_callers),
             ("readiness and metrics", spoil_readiness), ("frames of peers", spoil_frames),
             ("answers of a target", spoil_answers), ("settings", spoil_settings),
             ("checked files", spoil_checked_files), ("stored files", spoil_stored_files),
             ("ragwortd", spoil_ragwortd)]

    def play(self, part):
        """Plays PART; returns what failed, or ""."""
        fault = part(self)
        ended = self.deployment.ended()
        if ended:
            return "; ".join("%s ended by itself with %d after %r" % (
                p.name, p.process.returncode, p.sent) for p in ended)
        return fault or self.is_served()

    def play_all(self):
        """Plays the parts in turn up to the first fault, as later ones build on
        the same processes.  Returns the number of passed parts and the fault."""
        fault = self.start()
        if fault:
            return 0, "start: " + fault
        for i, (name, part) in enumerate(self.PARTS):
            fault = self.play(part)
            if fault:
                return i, "%s: %s" % (name, fault)
        return len(self.PARTS), ""

    def close(self):
        self.stopping = True
        for target in (self.sound, self.odd):
            target.shutdown()
            target.server_close()
        self.deployment.close()


def main():
    build = sys.argv[1]
    rounds = int(sys.argv[2]) if len(sys.argv) > 2 else 300
    seeds = [int(s) for s in sys.argv[3:]] or [1]
    passed = failed = 0
    for seed in seeds:
        run = Run(build, seed, rounds)
        try:
            count, fault = run.play_all()
        finally:
            run.close()
        passed += count
        failed += len(run.PARTS) - count
        if fault:
            print("FAIL spoilt bytes, seed %d, %d rounds: %s" % (seed, rounds, fault))
    print("spoilt: %d passed, %d failed" % (passed, failed))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
