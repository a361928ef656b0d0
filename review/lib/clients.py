"""Clients that follow the users' pages: they ask the directory, keep
connections and pick one of the named addresses for each request."""
import asyncio
import json
import random
import time

from world import (BROKEN, PREFIX, asyncio_timeout, call, close, read_body,
                   read_head, request_bytes)


class Client:
    def __init__(self, world, zone, host):
        self.world, self.zone, self.host = world, zone, host
        self.addresses, self.until = [], 0.0
        self.idle = {}  # address -> [(reader, writer, since)]

    async def resolve(self):
        """Up to three directories, nearest first, a second for each."""
        if time.monotonic() < self.until:
            return
        world = self.world
        region = world.zones[self.zone]
        def distance(machine):
            return (machine.zone != self.zone,
                    world.zones[machine.zone] != region, random.random())
        running = [m for m in world.machines if m.process is not None]
        for machine in sorted(running, key=distance)[:3]:
            answer = await call(
                machine.directory, "GET",
                "%s/resolution?name=%s&region=%s&zone=%s" %
                (PREFIX, self.host, region, self.zone), [], 1)
            if answer is None or answer.start[1] != "200":
                continue
            found = json.loads(answer.body)
            if found.get("addresses"):
                self.addresses = found["addresses"]
                ttl = min(found["ttlS"], world.bounds["ttl_max_s"])
                self.until = time.monotonic() + ttl
                for address in list(self.idle):
                    if address not in self.addresses:
                        for _, writer, _ in self.idle.pop(address):
                            writer.close()
                return

    async def connect(self, address):
        rows = self.idle.get(address, [])
        while rows:
            reader, writer, since = rows.pop()
            if time.monotonic() - since < 10 and not reader.at_eof():
                return reader, writer
            writer.close()
        host, port = address.split(":")
        return await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)

    async def send(self, method, path, key, deadline_ms, body=None, address=None,
                   fields=()):
        """One client attempt; its id, status (None without an answer), answer."""
        await self.resolve()
        world, attempt = self.world, self.world.new_attempt()
        if address is None:
            if not self.addresses:
                return attempt, None, None
            address = random.choice(self.addresses)
        head = [("Host", self.host), ("Attempt-Id", attempt),
                ("Request-Deadline", str(deadline_ms))]
        if key is not None:
            head.append(("Key", key))
        world.record("sent", attempt, method, path, "to", address)
        writer, answer = None, None
        try:
            async with asyncio_timeout(deadline_ms / 1000 + 1):
                reader, writer = await self.connect(address)
                writer.write(request_bytes(method, path, head + list(fields),
                                           body))
                answer = await read_head(reader)
                await read_body(reader, answer)
            if (answer.get("Connection") or "").lower() == "close":
                writer.close()
            else:
                self.idle.setdefault(address, []).append(
                    (reader, writer, time.monotonic()))
        except BROKEN + (asyncio.TimeoutError,):
            if writer is not None:
                await close(writer)
        status = int(answer.start[1]) if answer is not None else None
        world.record("answered", attempt, status)
        return attempt, status, answer
