#!/usr/bin/env python3
"""Evacuations with real processes: an order by ragwortctl at any keeper, nothing
started in the domain until its end, the keepers' leader killed after the
acknowledgement, and an entry that restarts meanwhile.

usage: tests/evacuation.py BUILD [NET]

Run from the root of the repository; NET is a loopback network, 127.a.b.  Ends
with "evacuation: N passed, N failed", counted in checks."""
import json
import os
import subprocess
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "spoilt"))
import processes
from processes import CALLERS, CONTROL

WAIT_S = 15.0
HEARTBEAT_S = 0.4
IN_FORCE_S = 5.0
CONFIG = {
    "version": 7,
    "routes": [{"name": "r", "host": "h", "path-prefix": "/s/", "type": "unsafe",
                "timeout-ms": 1500, "target-duration-ms": 60, "priority": 0,
                "service": "s", "max-attempts": 3, "stretch": 1.6}],
    "services": [{"name": "s", "health-path": "/health", "enforces-capacity": True}]}
JOB = {"spec": "x", "best-effort": True,
       "steps": [{"count": 2, "cpu": 500, "mem-mb": 16, "estimate-ms": 10}]}


class Run:
    def __init__(self, build, net):
        self.build = build
        self.deployment = processes.Deployment(build, net)
        self.targets = {"shop": processes.Target(net + ".40", 1),
                        "oven": processes.Target(net + ".41", 2)}
        self.stopping = False
        self.job_count = 0
        self.passed = 0
        self.failed = 0
        threading.Thread(target=self.send_heartbeats, daemon=True).start()

    def send_heartbeats(self):
        sequence = 0
        while not self.stopping:
            sequence += 1
            for domain, target in self.targets.items():
                body = {"service": "s", "zone": domain, "slots": 8, "state": "ready",
                        "address": "%s:%d" % (target.server_address[0], processes.TARGET),
                        "born": target.identity, "seq": sequence,
                        "capacity": {"cpu": 16000, "mem-mb": 1000}}
                for keeper in self.deployment.keepers:
                    path = b"/v1/instances/i-" + domain.encode()
                    if self.deployment.call(keeper, CONTROL, b"PUT", path, body)[0] == 200:
                        break
            time.sleep(HEARTBEAT_S)

    def check(self, what, good):
        self.passed += bool(good)
        self.failed += not good
        if not good:
            print("evacuation: %s" % what)

    def tool(self, *arguments):
        command = [os.path.join(self.build, "ragwortctl")] + list(arguments)
        for keeper in self.deployment.keepers:
            command += ["--server", "%s:%d" % (keeper, CONTROL)]
        r = subprocess.run(command, capture_output=True, text=True, check=False)
        return r.returncode, r.stdout

    def job(self, entry):
        self.job_count += 1
        path = b"/s/%016x" % (self.job_count + (os.getpid() << 32))
        return self.deployment.call(entry, CALLERS, b"POST", path, JOB, b"h")[0]

    def wait_served(self):
        """Whether a job is done at each entry within WAIT_S."""
        missing = list(self.deployment.entries)
        end = time.monotonic() + WAIT_S
        while missing and time.monotonic() < end:
            for keeper in self.deployment.keepers:
                self.deployment.call(keeper, CONTROL, b"PUT", b"/v1/config", CONFIG)
            missing = [e for e in missing if self.job(e) != 200]
            time.sleep(0.1)
        return not missing

    def starts_of_jobs(self, domain):
        before = self.targets[domain].count
        for _ in range(20):
            for entry in self.deployment.entries:
                self.job(entry)
        return self.targets[domain].count - before

    def restart(self, address):
        p = self.deployment.processes[address]
        p.process.kill()
        p.process.wait()
        self.deployment.processes[address] = processes.Process(
            address, [self.deployment.node], self.deployment.log,
            {"RAGWORTLINE_BOOT": self.deployment.settings_path(address)})

    def leader(self):
        for keeper in self.deployment.keepers:
            if self.deployment.call(keeper, CONTROL, b"GET", b"/v1/evacuations")[0] == 200:
                return keeper
        return None

    def run(self):
        self.check("no job is done at the start", self.wait_served())
        self.check("the order is not acknowledged", self.tool("evacuate", "shop")[0] == 0)
        leader = self.leader()
        if leader is not None:
            self.restart(leader)
        self.restart(self.deployment.entries[0])
        time.sleep(IN_FORCE_S)
        self.check("no job is done elsewhere", self.wait_served())
        self.check("tasks were started in the domain", self.starts_of_jobs("shop") == 0)
        status, text = self.tool("evacuations", "--json")
        self.check("the list lacks the domain", status == 0 and
                   [e["domain"] for e in json.loads(text)["list"]] == ["shop"])
        self.check("the other domain is refused", self.tool("evacuate", "oven")[0] == 0)
        time.sleep(IN_FORCE_S)
        self.check("tasks were started in an evacuated domain",
                   self.starts_of_jobs("shop") + self.starts_of_jobs("oven") == 0)
        for domain in ("shop", "oven"):
            self.check("the end is not acknowledged",
                       self.tool("evacuate-end", domain)[0] == 0)
        self.check("no job is done after the end", self.wait_served())
        self.check("a process has ended", not self.deployment.ended())

    def close(self):
        self.stopping = True
        self.deployment.close()


def main():
    net = sys.argv[2] if len(sys.argv) > 2 else "127.%d.3" % (71 + os.getpid() % 100)
    run = Run(sys.argv[1], net)
    try:
        run.run()
    finally:
        run.close()
    print("evacuation: %d passed, %d failed" % (run.passed, run.failed))
    return 1 if run.failed else 0


if __name__ == "__main__":
    sys.exit(main())
