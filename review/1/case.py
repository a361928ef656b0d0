"""QUOTA: machines are replaced, then one tenant sends more than its limit."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "lib"))
from clients import Client  # noqa: E402
from fleet import (HOST, ZONES, add_fleet, configuration,  # noqa: E402
                   replace, route, send_steadily, tenant)
from world import World, run_case, trouble  # noqa: E402

REPLACED = ("norte-a", "centro-a", "sur-a")
RATE, BURST = 100, 100
TENANTS = ["tenant-%d" % i for i in range(46, 54)]
HOT = "tenant-53"
HOT_PER_S, USUAL_PER_S, LOAD_S = 250, 5, 10


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
        for zone in REPLACED:
            await replace(world, zone, 2)
    # Longer than stabilityWindowMs after the last change.
    await asyncio.sleep(6)
    clients = [Client(world, zone, HOST) for zone in ZONES]
    await asyncio.gather(*[
        send_steadily(world, clients, t,
                      HOT_PER_S if t == HOT else USUAL_PER_S, LOAD_S)
        for t in TENANTS])
    window = world.bounds["quotaWindowS"]
    bound = (RATE * window + BURST) * (1 + world.bounds["quotaOver"]) + \
        world.bounds["quotaSlack"]
    broken = []
    for name in TENANTS:
        times = sorted(r["at"] for r in world.runs if r["tenant"] == name)
        most = max((sum(1 for t in times if s <= t < s + window)
                    for s in times), default=0)
        world.record(name, "ran", len(times), "most in a window", most,
                     "allowed", bound)
        print(name, "ran", len(times), "most in 5 s", most, "allowed", bound)
        if most > bound:
            broken.append((name, most))
    return broken


run_case(__file__, make_world, play)
