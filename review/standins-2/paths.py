"""The paths between the system's own machines: a proxy before the port of each
machine, which can cut a zone off from the others.

A machine listens at PEER_BEHIND (the setting peer_listen_port) and the proxy at
PEER.  The first frame on a channel names the machine that opened it.  During a
cut the proxy passes on nothing between the two sides, without a reset; what was
held up is passed on afterwards."""
import asyncio
import re

PEER, PEER_BEHIND = 7720, 7721
NAME = re.compile(rb"127\.\d{1,3}\.\d{1,3}\.\d{1,3}")


class Paths:
    def __init__(self, zone_of):
        self.zone_of = zone_of  # the zone of a machine's address
        self.cut_zone = None
        self.healed = asyncio.Event()
        self.healed.set()
        self.servers = []

    def cut(self, zone):
        self.cut_zone = zone
        self.healed.clear()

    def heal(self):
        self.cut_zone = None
        self.healed.set()

    def is_cut(self, one_zone, other_zone):
        return self.cut_zone is not None and (one_zone == self.cut_zone) != (
            other_zone == self.cut_zone)

    async def open(self, machines):
        for address in machines:
            self.servers.append(await asyncio.start_server(
                lambda r, w, a=address: self.serve(a, r, w), address, PEER))

    def close(self):
        for s in self.servers:
            s.close()

    async def passes(self, one, other):
        while self.is_cut(self.zone_of(one), self.zone_of(other)):
            await self.healed.wait()

    async def relay(self, reader, writer, one, other):
        try:
            while True:
                data = await reader.read(65536)
                await self.passes(one, other)
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    async def serve(self, address, reader, writer):
        behind = None
        try:
            first = await reader.read(4096)
            found = NAME.search(first)
            if found is None:
                return
            caller = found.group().decode()
            await self.passes(caller, address)
            back, behind = await asyncio.open_connection(address, PEER_BEHIND)
            behind.write(first)
            await asyncio.gather(self.relay(reader, behind, caller, address),
                                 self.relay(back, writer, caller, address))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
            if behind is not None:
                behind.close()
