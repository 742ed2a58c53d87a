"""The programs under test as processes on loopback addresses, with a target and
callers of their own."""
import http.server
import json
import os
import shutil
import socket
import subprocess
import tempfile
import threading
import time

PEER, CALLERS, READY, CONTROL, METRICS, TARGET = 7720, 8161, 8167, 8166, 9464, 8080
PEER_SECRET = b"between-vms-of-one-deployment"
DOMAINS = ["oven", "shop", "shop"]
ANSWER_S = 2.0


class Process:
    """A process that is not to end by itself."""

    def __init__(self, name, command, log, environment=None):
        self.name = name
        self.sent = []  # the latest requests, for the report of an end
        self.process = subprocess.Popen(command, stdout=log, stderr=subprocess.STDOUT,
                                        env=dict(os.environ, **(environment or {})))

    def note(self, what):
        self.sent = self.sent[-4:] + [what[:300]]

    def ended(self):
        return self.process.poll() is not None


class Target(http.server.ThreadingHTTPServer):
    """Runs every task at once.  SPOIL, if set, changes the bytes of its
    answers."""
    daemon_threads = True

    def __init__(self, address, identity, spoil=None):
        super().__init__((address, TARGET), TargetHandler)
        self.identity = identity
        self.spoil = spoil
        self.ends = []
        self.count = 0
        self.lock = threading.Lock()
        self.started = time.monotonic()
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def handle_error(self, request, client_address):
        pass

    def clock_ms(self):
        return int((time.monotonic() - self.started) * 1000)

    def answer(self, path, body):
        reply = {"clock-ms": self.clock_ms()}
        with self.lock:
            if path == "/v1/run-start":
                self.count += 1
                self.ends.append([self.count, body["task"], body["run-id"], "done", ""])
            elif path == "/v1/hold":
                self.ends = [e for e in self.ends if e[0] > body.get("last-seen", 0)]
                reply.update({"running-tasks": [], "ended": list(self.ends)})
        return reply


class TargetHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_POST(self):
        text = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        if self.path == "/v1/hold":
            time.sleep(0.01)
        reply = self.server.answer(self.path, json.loads(text))
        data = json.dumps(reply).encode()
        if self.server.spoil is not None:
            data = self.server.spoil(reply)
        self.send_response(200)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def log_message(self, *arguments):
        pass


def request_bytes(method, path, headers, body):
    lines = [method + b" " + path + b" HTTP/1.1"]
    lines += [name + b": " + value for name, value in headers]
    lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def exchange(address, data, wait_s=ANSWER_S):
    """Sends DATA and returns (status, headers, body), or None if the connection
    ended, or wait_s passed, without an answer."""
    try:
        with socket.create_connection(address, wait_s) as s:
            s.settimeout(wait_s)
            s.sendall(data)
            got = b""
            while b"\r\n\r\n" not in got:
                part = s.recv(65536)
                if not part:
                    return None
                got += part
            head, _, body = got.partition(b"\r\n\r\n")
            fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:]
                          if b": " in line)
            length = int(fields.get(b"content-length", b"0"))
            while len(body) < length:
                part = s.recv(65536)
                if not part:
                    break
                body += part
            # Bytes behind a spoilt request are another one, with its own answer.
            return int(head.split()[1]), fields, body[:length]
    except OSError:
        return None


class Deployment:
    """Three keepers and two entries of ragwort-node."""
    ENTRIES = 2

    def __init__(self, build, net):
        self.folder = tempfile.mkdtemp(prefix="ragwort-spoilt-")
        self.log = open(os.path.join(self.folder, "log"), "wb")
        self.net = net
        self.node = os.path.join(build, "ragwort-node")
        self.keepers = ["%s.%d" % (net, 10 + i) for i in range(3)]
        self.entries = ["%s.%d" % (net, 20 + i) for i in range(self.ENTRIES)]
        self.processes = {}
        for address in self.keepers + self.entries:
            self.write_settings(address)
            self.processes[address] = Process(
                address, [self.node], self.log,
                {"RAGWORTLINE_BOOT": self.settings_path(address)})

    def settings_path(self, address):
        return os.path.join(self.folder, address + ".json")

    def settings(self, address):
        keeper = address in self.keepers
        return {
            "vm": "vm-" + address, "role": "keeper" if keeper else "entry",
            "environment": "platform", "address": address,
            "domain": DOMAINS[int(address.split(".")[-1]) % len(DOMAINS)],
            "peer_port": PEER, "peer_secret": PEER_SECRET.decode(),
            "callers": "" if keeper else "%s:%d" % (address, CALLERS),
            "readiness": "" if keeper else "%s:%d" % (address, READY),
            "control": "%s:%d" % (address, CONTROL) if keeper else "",
            "metrics_port": METRICS,
            "seeds": ["%s:%d" % (k, CONTROL) for k in self.keepers],
            "first_start": True, "lost_keepers": 1, "catch_up_s": 4,
            "data_folder": os.path.join(self.folder, "data-" + address) if keeper else None,
            "descriptors": 4096, "lease_limit_ms": 1000, "caller_retry_ms": 1300,
            "far_factor": 1.5, "stop_grace_s": 6, "log_level": "info"}

    def write_settings(self, address, spoil=None):
        value = self.settings(address)
        data = json.dumps(value).encode() if spoil is None else spoil(value)
        path = self.settings_path(address)
        with open(path + ".new", "wb") as f:
            f.write(data)
        os.rename(path + ".new", path)

    def call(self, address, port, method, path, body=None, host=b"h"):
        """Sends a sound request; returns the status and the JSON of the answer,
        or (0, None)."""
        data = b"" if body is None else json.dumps(body).encode()
        answer = exchange((address, port),
                          request_bytes(method, path, [(b"Host", host)], data))
        if answer is None:
            return 0, None
        return answer[0], json.loads(answer[2] or b"null")

    def ended(self):
        return [p for p in self.processes.values() if p.ended()]

    def close(self):
        for p in self.processes.values():
            if not p.ended():
                p.process.kill()
            p.process.wait()
        self.log.close()
        shutil.rmtree(self.folder, ignore_errors=True)
