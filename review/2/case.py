"""Starved: after all machines were replaced once, a tenant gets 429 only."""
import asyncio
import collections
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "lib"))
from clients import Client  # noqa: E402
from fleet import (HOST, ZONES, add_fleet, configuration,  # noqa: E402
                   replace, route, send_steadily, tenant)
from world import World, run_case, trouble  # noqa: E402

RATE, BURST = 100, 100
TENANTS = ["tenant-%d" % i for i in range(41, 49)]
PER_S, LOAD_S = 10, 15


def make_world(folder):
    world = World(folder, ZONES)
    add_fleet(world, slots=16, work_ms=15)
    return world


async def play(world):
    await world.start(configuration(
        7, [route("r-read", "/calendar/", "idempotent")],
        [tenant(t, RATE, BURST) for t in TENANTS]))
    await world.until_ready(world.machines, 15)
    await asyncio.sleep(5)
    if trouble():
        for zone in ZONES:
            await replace(world, zone, 2)
    # Longer than stabilityWindowMs after the last change.
    await asyncio.sleep(6)
    clients = [Client(world, zone, HOST) for zone in ZONES]
    statuses = await asyncio.gather(*[
        send_steadily(world, clients, t, PER_S, LOAD_S) for t in TENANTS])
    served = {t: sum(1 for s in rows if s == 200) / len(rows)
              for t, rows in zip(TENANTS, statuses)}
    sent = sum(len(rows) for rows in statuses)
    overall = sum(1 for rows in statuses for s in rows if s == 200) / sent
    broken = []
    for name, rows in zip(TENANTS, statuses):
        ends = dict(collections.Counter(rows))
        world.record(name, "served", round(served[name], 3), "of all",
                     round(overall, 3), "ends", ends)
        print(name, "served %.3f" % served[name], "all %.3f" % overall, ends)
        if served[name] < overall / 4:
            broken.append((name, round(served[name], 3)))
    return broken


run_case(__file__, make_world, play)
