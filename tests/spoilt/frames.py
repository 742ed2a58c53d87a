"""Sealed frames between VMs, as src/net/frame_seal.h and peer_message.h have
them: the length, the seal, and a msgpack array of type, clock and fields."""
import hashlib
import hmac
import os
import re
import socket
import struct

SEAL_BYTES = 16
NONCE_BYTES = 16
CONNECTOR, ACCEPTOR, SESSION = 0, 1, 2


def read_formats():
    """The fields of each type: type number -> [(kind, name)], kind U (unsigned),
    I (signed), B (bytes) or T (text), read from the program's own tables."""
    header = open("src/net/peer_message.h").read()
    names = re.findall(r"PEER_[A-Z_]+", header.split("enum peer_message_type")[1].split("};")[0])
    number = {name: i + 1 for i, name in enumerate(dict.fromkeys(names))}
    table = open("src/net/peer_message.c").read().split("formats[PEER_MESSAGE_TYPES]")[1]
    formats = {}
    for name, row in re.findall(r"\[(PEER_[A-Z_]+)\]\s*=\s*(.*?\} \})", table, re.S):
        formats[number[name]] = re.findall(r"([UIBT]) \(([a-z_.]+)\)", row)
    return formats


def pack_integer(value):
    if value < 0:
        return b"\xd3" + struct.pack(">q", value)
    return b"\xcf" + struct.pack(">Q", value)


def pack_bytes(data):
    return b"\xc6" + struct.pack(">I", len(data)) + data


def pack_message(kind, fields):
    values = [pack_integer(kind), pack_integer(1)]
    values += [pack_bytes(f) if isinstance(f, bytes) else pack_integer(f) for f in fields]
    return b"\xdc" + struct.pack(">H", len(values)) + b"".join(values)


class PeerLink:
    """A connection to a process's peer port, from a VM of the deployment."""

    def __init__(self, address, source, environment, vm, secret):
        self.key = secret
        self.sequence = 0
        self.socket = socket.create_connection(address, 2, source_address=(source, 0))
        nonce = os.urandom(NONCE_BYTES)
        self.send(pack_message(1, [4, environment, vm, 7, nonce]))
        answer = self.read_frame()
        # The nonce is the last field of the answer's hello.
        self.key = self.digest(SESSION, 0, nonce + answer[-NONCE_BYTES:])
        self.sequence = 1

    def digest(self, direction, sequence, payload):
        head = bytes([direction]) + struct.pack("=Q", sequence)
        return hmac.new(self.key, head + payload, hashlib.sha256).digest()

    def send(self, payload):
        seal = self.digest(CONNECTOR, self.sequence, payload)[:SEAL_BYTES]
        self.sequence += 1
        self.socket.sendall(struct.pack(">I", len(payload) + SEAL_BYTES) + seal + payload)

    def read_exactly(self, count):
        data = b""
        while len(data) < count:
            part = self.socket.recv(count - len(data))
            if not part:
                raise ConnectionError("closed")
            data += part
        return data

    def read_frame(self):
        length = struct.unpack(">I", self.read_exactly(4))[0]
        return self.read_exactly(length)[SEAL_BYTES:]

    def close(self):
        self.socket.close()
