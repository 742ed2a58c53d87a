"""A calm deployment beside which one other writer sends heartbeats that can't be
read, for the cases about malformed heartbeats."""

import asyncio
import json
import random
import time

import standins
from standins import HEARTBEAT_S, World, now_ms, simple_config

HOST, PREFIX, SERVICE = "nony24.example", "/lohu930/", "netbook"
LENGTH_S = 30
RESTART_S = 0.5       # "restarted after a short delay"
ENDS_OF_A_FAULT = 3   # RULES.md, Fault: "three times in the day"


async def beat(address, instance, data):
    """Sends one heartbeat with the body DATA; returns the answer's status."""
    ip, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        writer.write(b"PUT /v1/instances/" + instance + b" HTTP/1.1\r\nHost: "
                     + address.encode() + b"\r\nContent-Type: application/json"
                     b"\r\nContent-Length: %d\r\n\r\n" % len(data) + data)
        await writer.drain()
        line, _, _ = await standins.read_message(reader)
        return int(line.split()[1])
    finally:
        writer.close()


async def other_writer(world, instance, spoil, end_ms):
    """A writer that isn't a worker of ours: it sends a heartbeat each
    heartbeat-ms, to the next node after one that gave no 2xx.  Its service
    isn't named in the desired state.  SPOIL changes the bytes of the body."""
    sequence = 0
    while now_ms() < end_ms:
        sequence += 1
        body = {"service": "other", "address": "%s.250:9" % world.net,
                "zone": world.zones[0], "version": "v1", "slots": 8,
                "state": "ready", "cold-remaining-ms": 0,
                "capacity": {"cpu": 1000, "mem-mb": 1000, "gpu": 0},
                "labels": [], "clock-ms": sequence * 1500,
                "born": int(time.time() * 1000) - sequence * 1500,
                "seq": sequence}
        for address in random.sample(world.controls, len(world.controls)):
            try:
                status = await asyncio.wait_for(
                    beat(address, instance, spoil(json.dumps(body).encode())),
                    1)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                status = None
            world.record.add("heartbeat", id=instance, to=address, status=status)
            if status is not None and status // 100 == 2:
                break
        await asyncio.sleep(HEARTBEAT_S)


async def restart(world, ip):
    await asyncio.sleep(RESTART_S)
    world.start_process(ip, first_start=False)


async def provider(world, ends):
    """Restarts each process that has ended by itself."""
    seen = {}
    while True:
        await asyncio.sleep(0.02)
        for ip in world.ended_processes():
            process = world.processes[ip]
            if seen.get(ip) is process:
                continue
            seen[ip] = process
            ends[ip] = ends.get(ip, 0) + 1
            world.record.add("ended", ip=ip, code=process.returncode,
                             times=ends[ip])
            asyncio.ensure_future(restart(world, ip))


async def operator(world, end_ms, acks):
    version = 3
    while now_ms() < end_ms:
        version += 2
        begin = now_ms()
        good = await world.put_config(
            simple_config(version, HOST, PREFIX, SERVICE), within_s=4)
        acks.append(good)
        world.record.add("change", version=version, acked=good,
                         ms=round(now_ms() - begin))
        await asyncio.sleep(2)


async def play(folder, instance, spoil):
    world = World(folder, ["plovdiv-a", "sofia-b", "stara-c"], 1)
    try:
        for zone in world.zones:
            for _ in range(4):
                world.add_worker(zone, SERVICE, 64000, labels=["a", "r-" + zone])
        if not await world.start(simple_config(3, HOST, PREFIX, SERVICE)):
            return standins.EXIT_COULD_NOT_RUN
        ends, acks = {}, []
        world.background(provider(world, ends))
        end_ms = now_ms() + LENGTH_S * 1000
        await asyncio.gather(other_writer(world, instance, spoil, end_ms),
                             operator(world, end_ms, acks))
        await asyncio.sleep(2)
        return judge(world, ends, acks)
    finally:
        world.stop()


def judge(world, ends, acks):
    """Fault: on half of the core processes end by themselves three times,
    with no impairment there."""
    often = [k for k in world.keepers if ends.get(k, 0) >= ENDS_OF_A_FAULT]
    print("processes that ended by themselves: %s; changes acknowledged in 4 s:"
          " %d of %d" % (sorted(ends.values(), reverse=True), sum(acks),
                         len(acks)))
    broken = len(often) * 2 >= len(world.keepers)
    if broken:
        world.record.add("FAULT", keepers=len(often))
    return standins.EXIT_BROKEN if broken else standins.EXIT_HELD

