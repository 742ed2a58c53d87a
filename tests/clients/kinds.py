"""What clients that don't behave send: each kind is the bytes of one connection and
how they are sent and read."""
from dataclasses import dataclass


HOST = b"jobs.example"

HEAD_BYTES = 16384
BODY_BYTES = 262144
CONTROL_BODY_BYTES = 1 << 20
SENT_BYTES = 1 << 20
SHORT_BYTES = 8192  # that a body lacks which stops short of its end
PAYLOAD_BYTES = 4000

# How a client reads what it is answered.
NOTHING, SLOWLY, ALL = "nothing", "a byte a second", "all"


ID = b"ID-OF-A-JOB-HERE"  # each connection and each repeat has one of its own


@dataclass(frozen=True)
class Kind:
    """One connection of a crowd."""
    pieces: list
    repeats: bool = False  # sends its pieces again and again, as far as it is let
    drip_bytes: int = 0  # sends at most so many bytes at a time, with pauses
    reads: str = NOTHING
    returns: bool = False  # connects again when it is closed
    ends_sending: bool = False  # shuts its sending side down after its pieces


LINE = b"POST /sound/00000000000000aa HTTP/1.1\r\nHost: " + HOST + b"\r\n"


# Heads.

def endless_fields():
    return [LINE] + [b"X-%06d: %s\r\n" % (i, b"v" * 1000) for i in range(SENT_BYTES // 1012)]


def short_fields():
    return [LINE] + [b"a: b\r\n" * 1000] * (SENT_BYTES // 6000)


def long_field():
    return [LINE + b"X-Long: "] + [b"v" * 16384] * (SENT_BYTES // 16384)


def long_line():
    return [b"GET /"] + [b"a" * 16384] * (SENT_BYTES // 16384)


def empty_lines():
    return [b"\r\n" * 8192] * (SENT_BYTES // 16384)


def incomplete_head():
    return [LINE + b"X-Rest: "]


def long_incomplete_head():
    """Just below the limit of a head, without its end."""
    fields = (HEAD_BYTES - len(LINE) - 100) // 66
    return [LINE] + [b"X-%04d: %s\r\n" % (i, b"v" * 56) for i in range(fields)]


def expecting_head():
    return [LINE + b"Content-Length: 4096\r\nExpect: 100-continue\r\n\r\n"]


# Bodies.

def body(length, sent, piece):
    head = LINE + b"Content-Length: %d\r\n\r\n" % length
    return [head] + [b"x" * min(piece, sent - at) for at in range(0, sent, piece)]


def whole_bodies():
    return body(BODY_BYTES, BODY_BYTES, BODY_BYTES)


def short_bodies():
    return body(BODY_BYTES, BODY_BYTES - SHORT_BYTES, BODY_BYTES)


def piecewise_bodies():
    return body(BODY_BYTES, BODY_BYTES - SHORT_BYTES, 4096)


def control_bodies():
    return body(CONTROL_BODY_BYTES, CONTROL_BODY_BYTES - SHORT_BYTES, 16384)


def huge_length():
    return body(1 << 40, SENT_BYTES, 65536)


def small_values(line, length):
    """A whole body of values that take 79 times their bytes when decoded."""
    text = (b'{"routes":[' + b"{}," * (length // 3))[:length - 4] + b"{}]}"
    return [line + b"Host: " + HOST + b"\r\nContent-Length: %d\r\n\r\n" % len(text), text]


def small_job_values():
    return small_values(b"POST /sound/00000000000000aa HTTP/1.1\r\n", BODY_BYTES)


def small_config_values():
    return small_values(b"PUT /v1/config HTTP/1.1\r\n", CONTROL_BODY_BYTES)


def small_heartbeat_values():
    return small_values(b"PUT /v1/instances/i-9 HTTP/1.1\r\n", CONTROL_BODY_BYTES)


# Chunks.

def chunks(size, count):
    head = LINE + b"Transfer-Encoding: chunked\r\n\r\n"
    chunk = b"%x\r\n%s\r\n" % (size, b"x" * size)
    batch = max(1, 16384 // len(chunk))
    return [head] + [chunk * batch] * (count // batch)


def large_chunks():
    return chunks(16384, (BODY_BYTES - 16384) // 16384)


def one_large_chunk():
    """A chunk of the whole body's size that stops short of its end."""
    size = BODY_BYTES - SHORT_BYTES
    return [LINE + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % BODY_BYTES, b"x" * size]


def tiny_chunks():
    return chunks(1, BODY_BYTES // 2)


def tiny_control_chunks():
    return chunks(1, CONTROL_BODY_BYTES // 2)


def long_chunked():
    return chunks(16384, SENT_BYTES // 16384)


def unended_chunked():
    """Chunks without the last line's end."""
    return chunks(4096, 32) + [b"0\r\n"]


def long_extensions():
    return [LINE + b"Transfer-Encoding: chunked\r\n\r\n"] + [
        b"1;" + b"e" * 16000 + b"\r\nx\r\n"] * (SENT_BYTES // 16384)


def long_trailers():
    return [LINE + b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"] + [
        b"X-Trailer: " + b"t" * 1000 + b"\r\n"] * (SENT_BYTES // 1012)


# Requests sent ahead: a batch of them, which is repeated.

def ahead(method, path, more=b"", body_bytes=b"", batch_bytes=16384):
    request = b"%s %s HTTP/1.1\r\nHost: %s\r\n%s" % (method, path, HOST, more)
    if body_bytes:
        request += b"Content-Length: %d\r\n" % len(body_bytes)
    request += b"\r\n" + body_bytes
    return [request * max(1, batch_bytes // len(request))]


def ready_ahead():
    return ahead(b"GET", b"/v1/ready")


def metrics_ahead():
    return ahead(b"GET", b"/metrics")


def config_ahead():
    return ahead(b"GET", b"/v1/config")


def evacuations_ahead():
    return ahead(b"GET", b"/v1/evacuations")


def heartbeats_ahead():
    return ahead(b"PUT", b"/v1/instances/i-9", body_bytes=b'{"service":7}')


def unknown_ahead():
    return ahead(b"GET", b"/no/such/path")


def queue_ahead():
    return ahead(b"GET", b"/sound/")


def long_heads_ahead():
    return ahead(b"GET", b"/sound/", (b"X-Long: " + b"v" * 3900 + b"\r\n") * 4)


JOB_TEXT = (b'{"spec":"%s","best-effort":true,"steps":[{"count":2,"cpu":500,"mem-mb":16,'
            b'"estimate-ms":10}]}')


def jobs_ahead():
    """Whole jobs, one a piece, each with an id of its own."""
    text = JOB_TEXT % (b"s" * PAYLOAD_BYTES)
    return [b"POST /sound/%s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s"
            % (ID, HOST, len(text), text)] * 64


def waiting_job():
    """A whole job with a long head whose task does not end by itself."""
    text = (b'{"spec":"%s","best-effort":true,"steps":[{"count":1,"cpu":1,"mem-mb":1,'
            b'"estimate-ms":10}]}' % (b"s" * PAYLOAD_BYTES))
    fields = b"".join(b"X-%04d: %s\r\n" % (i, b"v" * 56) for i in range(150))
    return [b"POST /hold/" + ID + b" HTTP/1.1\r\nHost: " + HOST + b"\r\n"
            b"X-Ragwortline-Deadline-Ms: 3600000\r\n" + fields
            + b"Content-Length: %d\r\n\r\n" % len(text) + text]


def long_queries_ahead():
    """Queries of many parts."""
    return ahead(b"GET", b"/sound/?" + b"a=b&" * 1900 + b"a=b", batch_bytes=32768)


def waiting_job_with_long_query():
    """A job whose task does not end by itself, with a query of many parts."""
    head, _, text = waiting_job()[0].partition(b"\r\n\r\n")
    lines = [line for line in head.split(b"\r\n") if not line.startswith(b"X-0")]
    lines[0] = lines[0].replace(ID, ID + b"?" + b"a=b&" * 1900 + b"a=b")
    return [b"\r\n".join(lines) + b"\r\n\r\n" + text]


def largest_waiting_job():
    """As many tasks as a job may have, which do not end by themselves."""
    text = waiting_job()[0].partition(b"\r\n\r\n")[2].replace(b'"count":1', b'"count":512')
    return [b"POST /hold/" + ID + b" HTTP/1.1\r\nHost: " + HOST + b"\r\n"
            b"X-Ragwortline-Deadline-Ms: 3600000\r\n"
            + b"Content-Length: %d\r\n\r\n" % len(text) + text]


def largest_legal_job(path, steps, tasks):
    """A job whose head and body are as large as the configuration allows."""
    text = (b'{"spec":"%s","best-effort":true,"steps":[%s]' % (
        b"s" * PAYLOAD_BYTES, b",".join([
            b'{"count":%d,"cpu":1,"mem-mb":1,"estimate-ms":10}' % (tasks // steps)] * steps)))
    text += b" " * (BODY_BYTES - len(text) - 1) + b"}"
    head = (b"POST %s HTTP/1.1\r\nHost: %s\r\nX-Ragwortline-Deadline-Ms: 60000\r\n"
            b"Content-Length: %d\r\n" % (path, HOST, len(text)))
    head += b"X-Long: " + b"v" * (HEAD_BYTES // 2 + 1000) + b"\r\n"
    field = b"X-%04d: " + b"v" * 120 + b"\r\n"
    count = (HEAD_BYTES - len(head) - 2) // len(field % 0)
    return head + b"".join(field % i for i in range(count)) + b"\r\n" + text
