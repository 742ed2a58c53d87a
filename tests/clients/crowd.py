"""A crowd of connections that send and read as their kind says, on a thread."""
import itertools
import os
import select
import socket
import threading
import time

from clients.kinds import ALL, ID, SLOWLY

SETTLE_S = 0.5  # all that is taken was sent once nothing was taken for so long
DRIP_S = 0.1
SLOW_READ_S = 1.0
CONNECT_S = 5.0
POLL_MS = 50
AT_ONCE_BYTES = 65536
ENDED = select.POLLHUP | select.POLLERR | select.POLLNVAL | select.POLLRDHUP


job_ids = itertools.count((os.getpid() << 32) + (1 << 24))


class Client:
    """A connection that sends its pieces as far as it is let, and stays open."""

    def __init__(self, address, kind):
        self.kind = kind
        self.socket = socket.create_connection(address, CONNECT_S)
        self.socket.setblocking(False)
        self.next = 0
        self.at = 0
        self.piece = self.make_piece()

    def make_piece(self):
        piece = self.kind.pieces[self.next] if self.has_more() else b""
        return piece.replace(ID, b"%016x" % next(job_ids)) if ID in piece[:64] else piece

    def has_more(self):
        return self.next < len(self.kind.pieces)

    def events(self):
        """What this client waits for; the end of its connection is always told."""
        events = select.POLLRDHUP if self.kind.returns else 0
        if self.has_more() and not self.kind.drip_bytes:
            events |= select.POLLOUT
        if self.kind.reads == ALL:
            events |= select.POLLIN
        return events

    def send_piece(self):
        """Sends some of the next piece; returns the number of bytes."""
        end = self.at + (self.kind.drip_bytes or len(self.piece))
        n = self.socket.send(self.piece[self.at:end])
        self.at += n
        if self.at == len(self.piece):
            self.next, self.at = self.next + 1, 0
            if self.kind.repeats:
                self.next %= len(self.kind.pieces)
            self.piece = self.make_piece()
        return n

    def send(self):
        """Sends what is taken now; returns the number of bytes.  Raises OSError if
        the connection has ended."""
        sent = 0
        try:
            while self.has_more() and sent < AT_ONCE_BYTES:
                sent += self.send_piece()
                if self.kind.drip_bytes:
                    break
            if not self.has_more() and self.kind.ends_sending:
                self.socket.shutdown(socket.SHUT_WR)
        except BlockingIOError:
            pass
        return sent

    def read(self):
        """Reads as its kind does; returns whether the connection has ended."""
        try:
            return not self.socket.recv(1 if self.kind.reads == SLOWLY else AT_ONCE_BYTES)
        except BlockingIOError:
            return False
        except OSError:
            return True


class Crowd(threading.Thread):
    """COUNT connections of a KIND to ADDRESS.  Ends with close."""

    def __init__(self, address, kind, count):
        super().__init__(daemon=True)
        self.address = address
        self.kind = kind
        self.poll = select.poll()
        self.clients = {}
        self.missing = count
        self.sent_bytes = 0
        self.sent_s = self.dripped_s = self.read_s = time.monotonic()
        self.stopping = False

    def connect(self):
        try:
            client = Client(self.address, self.kind)
        except OSError:
            return
        self.clients[client.socket.fileno()] = client
        self.poll.register(client.socket, client.events())
        self.missing -= 1

    def drop(self, client):
        self.poll.unregister(client.socket)
        del self.clients[client.socket.fileno()]
        client.socket.close()
        self.missing += self.kind.returns

    def send(self, client):
        try:
            n = client.send()
        except OSError:
            self.drop(client)
            return
        if n:
            self.sent_bytes += n
            self.sent_s = time.monotonic()
        if not client.has_more():
            self.poll.modify(client.socket, client.events())

    def answer(self, client, events):
        if events & select.POLLIN:
            if client.read():
                self.drop(client)
                return
        elif events & ENDED:
            self.drop(client)
            return
        if events & select.POLLOUT:
            self.send(client)

    def keep_time(self):
        """Sends and reads what is sent and read with pauses."""
        now = time.monotonic()
        if self.kind.drip_bytes and now - self.dripped_s >= DRIP_S:
            self.dripped_s = now
            for client in list(self.clients.values()):
                if client.has_more():
                    self.send(client)
        if self.kind.reads == SLOWLY and now - self.read_s >= SLOW_READ_S:
            self.read_s = now
            for client in list(self.clients.values()):
                if client.read():
                    self.drop(client)

    def run(self):
        while not self.stopping:
            for _ in range(self.missing):
                if not self.stopping:
                    self.connect()
            if not self.kind.returns:
                self.missing = 0
            for fd, events in self.poll.poll(POLL_MS):
                if fd in self.clients:
                    self.answer(self.clients[fd], events)
            self.keep_time()

    def has_settled(self):
        """Whether all is sent that is to be, or of what has no end, that is taken."""
        if self.missing != 0 or time.monotonic() - self.sent_s < SETTLE_S:
            return False
        return self.kind.repeats or not any(
            client.has_more() for client in list(self.clients.values()))

    def close(self):
        self.stopping = True
        self.join()
        for client in self.clients.values():
            client.socket.close()
