"""What a machine's memory is charged for a process: what is resident, and the bytes
that have arrived at its address and that it has not read."""
import os
import threading
import time

STOP_MB = 300  # the process is killed beyond that
WATCH_S = 0.02
LISTENING = "0A"
MB = 1 << 20


def proc_address(address):
    """ADDRESS as /proc/net/tcp writes it."""
    return "".join("%02X" % int(part) for part in reversed(address.split(".")))


def queued_bytes(address):
    """The bytes that sockets at ADDRESS have not read, and those that they sent and
    that were not taken."""
    unread = unsent = 0
    local = proc_address(address) + ":"
    with open("/proc/net/tcp") as f:
        for line in f:
            fields = line.split(None, 5)
            if fields[1].startswith(local) and fields[3] != LISTENING:
                sent, _, received = fields[4].partition(":")
                unsent += int(sent, 16)
                unread += int(received, 16)
    return unread, unsent


class Watch(threading.Thread):
    """Follows the memory and the descriptors of the PROCESS at ADDRESS."""

    def __init__(self, process, address):
        super().__init__(daemon=True)
        self.process = process
        self.address = address
        self.peak_mb = self.resident_mb = self.unread_mb = self.unsent_mb = 0
        self.descriptors = 0
        self.killed = False
        self.stopping = False

    def status_mb(self, field):
        """The figure FIELD of the process's status, 0 if it has ended."""
        try:
            with open("/proc/%d/status" % self.process.process.pid) as f:
                for line in f:
                    if line.startswith(field + ":"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0

    def open_descriptors(self):
        try:
            return len(os.listdir("/proc/%d/fd" % self.process.process.pid))
        except OSError:
            return 0

    def look(self):
        unread, unsent = queued_bytes(self.address)
        charged = self.status_mb("VmRSS") + unread / MB
        self.resident_mb = max(self.resident_mb, self.status_mb("VmHWM"))
        self.unread_mb = max(self.unread_mb, unread / MB)
        self.unsent_mb = max(self.unsent_mb, unsent / MB)
        self.peak_mb = max(self.peak_mb, charged, self.resident_mb)
        self.descriptors = max(self.descriptors, self.open_descriptors())
        if charged > STOP_MB:
            self.killed = True
            self.process.process.kill()

    def run(self):
        while not self.stopping:
            self.look()
            time.sleep(WATCH_S)

    def finish(self):
        self.stopping = True
        self.join()
        self.look()

    def figures(self):
        return "%.0f MB (resident %.0f, unread %.0f), unsent %.0f MB, %d descriptors" % (
            self.peak_mb, self.resident_mb, self.unread_mb, self.unsent_mb,
            self.descriptors)
