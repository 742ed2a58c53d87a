"""Spoils requests: bytes that are no UTF-8, JSON that can't be read, and values
that are out of range."""
import json

# Byte strings that are no UTF-8, or that a reader may cut within a character.
ODD_BYTES = [b"\xff", b"\xc3", b"\xc3(", b"\xe2\x82", b"\xed\xa0\x80", b"\xc0\xaf",
             b"\xf4\x90\x80\x80", b"\\\xc3\xa9", b"\\u00", b"\\ud800", b"\\u0000",
             b"\x00", b"\x01", b'"', b"\\", b"%ff", b"%00", b"\xc3\xa9" * 200,
             b"\xe2\x82\xac" * 90]

# Sequences at which the message of a JSON reader ends within a character.
CUT_BYTES = [b"\\\xc3\xa9", b"\\\xe2\x82\xac", b"\\\xf0\x9f\x98\x80"]

ODD_VALUES = [None, True, -1, 0, 1.5, 1e308, 2**31, 2**53, 2**63 - 1, -2**63, 2**64,
              "", "x" * 5000, "\u00e9" * 300, "\u20ac" * 100, [], {}, [[]], [{}],
              "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:-1", "1.2.3:80", ":1"]

ODD_TEXTS = [b"", b"{", b"[]", b"null", b'""', b"1e400", b"\xef\xbb\xbf{}", b"{}\x00",
             b'{"a":1,"a":2}', b'{"version":1e400}']

DEPTHS = [10, 500, 2049, 60000]


class Spoiler:
    def __init__(self, random):
        self.random = random

    def cut_in(self, data, odd):
        """DATA with ODD at a random place, instead of the bytes there or
        between them."""
        at = self.random.randint(0, len(data))
        return data[:at] + odd + data[at + self.random.randint(0, 2):]

    def bytes(self, data):
        kind = self.random.randint(0, 3)
        if kind == 0:
            return data[:self.random.randint(0, len(data))]
        if kind == 1 and data:
            at = self.random.randrange(len(data))
            return data[:at] + bytes([self.random.randrange(256)]) + data[at + 1:]
        return self.cut_in(data, self.random.choice(ODD_BYTES))

    def path(self, path):
        """PATH as bytes of a request line, usually with odd ones in it."""
        if self.random.random() < 0.4:
            return path
        odd = self.random.choice(ODD_BYTES)
        return self.cut_in(path, odd).replace(b"\x00", b"%00").replace(b"\n", b"")

    def value(self, value, odd):
        """A copy of VALUE with one place of it replaced by ODD."""
        if isinstance(value, dict) and value and self.random.random() < 0.85:
            name = self.random.choice(sorted(value))
            changed = dict(value)
            if self.random.random() < 0.15:
                del changed[name]
            elif self.random.random() < 0.15:
                changed[name + "\u00e9" * self.random.randint(1, 200)] = odd
            else:
                changed[name] = self.value(value[name], odd)
            return changed
        if isinstance(value, list) and value and self.random.random() < 0.85:
            changed = list(value)
            at = self.random.randrange(len(value))
            changed[at] = self.value(value[at], odd)
            return changed
        return odd

    def body(self, value):
        """The JSON text of VALUE, spoilt."""
        kind = self.random.randint(0, 9)
        if kind == 0:
            return self.random.choice(ODD_TEXTS)
        if kind == 1:
            depth = self.random.choice(DEPTHS)
            return self.random.choice([b"[" * depth + b"]" * depth,
                                       b'{"a":' * depth + b"1" + b"}" * depth])
        if kind <= 4:
            odd = self.random.choice(ODD_VALUES)
            value = self.value(value, odd)
        text = json.dumps(value, ensure_ascii=False).encode()
        if kind <= 3:
            return text
        if kind <= 6 and b'": "' in text:
            places = [i for i in range(len(text)) if text.startswith(b'": "', i)]
            at = self.random.choice(places) + 4 + self.random.randint(0, 2)
            odd = self.random.choice(self.random.choice([ODD_BYTES, CUT_BYTES]))
            return text[:at] + odd + text[at:]
        return self.bytes(text)
