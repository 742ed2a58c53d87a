"""Targets: one that runs what it is given until it is stopped, and one whose answers
have no end."""
import socketserver
import threading

import processes


class HoldingTarget(processes.Target):
    def __init__(self, address, identity):
        self.running = {}
        super().__init__(address, identity)

    def answer(self, path, body):
        task = body.get("task")
        if path == "/v1/run-start":
            with self.lock:
                self.running[task] = body["run-id"]
            return {"clock-ms": self.clock_ms()}
        if path == "/v1/run-stop":
            with self.lock:
                run = self.running.pop(task, None)
                if run is not None:
                    self.count += 1
                    self.ends.append([self.count, task, run, "stopped", ""])
        reply = super().answer(path, body)
        if path == "/v1/hold":
            with self.lock:
                reply["running-tasks"] = [[t, r, "", 100] for t, r in self.running.items()]
        return reply


class EndlessTarget(socketserver.ThreadingTCPServer):
    """Answers every request with a HEAD and then PIECE without end."""
    allow_reuse_address = True
    daemon_threads = True

    def __init__(self, address, head, piece):
        self.head = head
        self.piece = piece
        super().__init__((address, processes.TARGET), EndlessHandler)
        threading.Thread(target=self.serve_forever, daemon=True).start()


class EndlessHandler(socketserver.BaseRequestHandler):
    def handle(self):
        try:
            self.request.recv(65536)
            self.request.sendall(self.server.head)
            while True:
                self.request.sendall(self.server.piece)
        except OSError:
            pass
