"""Workers crash behind a cut from the core and start again under their ids, while the
path to the machine that sends them work loses packets.  A run that such a worker begins
goes on when its task has been started again elsewhere."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-3"))
import cluster as c

WORKERS = 48
SHARE = 0.2  # of the workers, srv_cut
SETTLE_S = 1.0
ROUNDS = 36
LAST_ROUND_MS = 105000
SLOT = 8000  # a task takes a whole worker


class Needs(dict):
    def get(self, key, default=None):
        return default if isinstance(key, tuple) or key.startswith("00000000aaaa") else SLOT


def watch(d):
    """Notes the runs of each task, and those at the same time on workers that are up."""
    active, broken = {}, []
    started, ended = d.started, d.ended

    def on_started(worker, task, run, body, peer):
        started(worker, task, run, body, peer)
        for other, (number, since) in active.get(task, {}).items():
            broken.append("TWICE: %s began on %s (run %d) while run %d went on at %s for %d ms"
                          % (task, worker.id, run, number, other.id, c.now_ms() - since))
        active.setdefault(task, {})[worker] = (run, c.now_ms())

    def on_ended(worker, task, run, how):
        ended(worker, task, run, how)
        active.get(task, {}).pop(worker, None)

    d.started, d.ended = on_started, on_ended
    return broken


async def fill(d, entry, prefix, count):
    """Jobs of one task each, every third of them short, for COUNT workers."""
    async def job(i):
        await asyncio.sleep(i * 0.008)
        ms = 150 if i % 3 == 2 else 900
        steps = [{"count": 1, "cpu": SLOT, "mem-mb": 64, "estimate-ms": ms}]
        await d.submit(entry, "%08x%08x" % (prefix, i), steps, str(ms))
    await asyncio.gather(*[job(i) for i in range(count)])


def owners(d):
    """The workers by the machine that started a task there last."""
    found = {}
    for _, worker, _, _, by in d.starts:
        if by == "unknown":  # the connection has ended
            continue
        for workers in found.values():
            workers.discard(worker)
        found.setdefault(by, set()).add(worker)
    known = [n.address for n in d.entries]
    return {by: found[by] for by in known if len(found.get(by, ())) >= 4}


async def one_round(d, number, trouble):
    by_owner = owners(d)
    if not by_owner:
        raise c.CannotRun("no machine starts tasks")
    owner = sorted(by_owner)[number % len(by_owner)]
    entry = next(n for n in d.entries if n.address == owner)
    idle = sorted((w for w in by_owner[owner] if not w.runs), key=lambda w: w.id)
    chosen = idle[:int(SHARE * WORKERS)]
    for w in chosen if trouble else []:
        w.cut_off, w.lossy_to = True, owner
        w.crash()
    d.record.add("srv_cut", on=int(trouble), workers=[w.id for w in chosen], lossy_to=owner)
    await asyncio.sleep(0.1)
    await fill(d, entry, 0xB0000000 + number, len(by_owner[owner]))
    for w in chosen:
        w.cut_off, w.lossy_to = False, None
    await asyncio.gather(*[w.beat() for w in chosen])
    await asyncio.sleep(SETTLE_S)


async def scenario(d, trouble):
    d.names_callers = True
    d.needs = Needs()
    broken = watch(d)
    await d.start()
    await asyncio.sleep(2.0)
    await asyncio.gather(*[fill(d, n, 0xA0000000 + i, WORKERS // len(d.zones))
                           for i, n in enumerate(d.entries)])
    await asyncio.sleep(1.0)
    for i in range(ROUNDS):
        if c.now_ms() > LAST_ROUND_MS:
            break
        await one_round(d, i, trouble)
    return broken


c.main(HERE, scenario, limit_s=115, workers=WORKERS)
