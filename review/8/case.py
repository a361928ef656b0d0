"""Restarted instances each take the whole rate of a cold endpoint."""
import asyncio
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "standins-2"))
import world as stand  # noqa: E402

ZONES = {"lisboa-a": "lisboa", "lisboa-b": "lisboa"}
COLD_PER_S, COLD_OVER, COLD_SLACK, COLD_S = 7.0, 1.5, 5, 3.0
EVACUATED_S, RESTART_S, ROUNDS, CALLERS = 8.0, 0.5, 2, 60


async def play(world):
    for zone in ZONES:
        for number in (1, 2):
            world.add_instance(zone, number)
    for i, zone in enumerate(list(ZONES) * 4):
        world.add_endpoint("i-%02d" % i, "clubdesk", zone, slots=4, queue=12,
                           work=0.1)
    await world.start()
    world.configure([world.route("read", "idempotent", "clubdesk")],
                    [world.service("clubdesk", coldStartS=COLD_S,
                                   coldPerS=COLD_PER_S)],
                    [world.tenant("club", ["key-1"])])
    await world.start_instances()
    state = {"stop": False}

    async def reports():
        """A cold endpoint's entry changes with each heartbeat."""
        while True:
            for row in world.endpoints:
                if row.cold_until > time.monotonic() - 2:
                    row.register()
            await asyncio.sleep(1.5)

    async def caller(number):
        client = stand.Client(world, world.instances[number % 4])
        while not state["stop"]:
            row = await client.request(
                "GET", "/read/2f", deadline=2500,
                object_id=str(random.randrange(51)))
            if row["status"] != 200:
                client.close()
                client.instance = random.choice(world.instances)
                await asyncio.sleep(float(row["retry_after"] or 0.05))

    beats = asyncio.ensure_future(reports())
    callers = [asyncio.ensure_future(caller(n)) for n in range(CALLERS)]
    await asyncio.sleep(4)
    spans = []
    for _ in range(ROUNDS):
        zone = "lisboa-a"
        world.store.write("evacuations", zone, {})
        world.note("%s is evacuated" % zone)
        await asyncio.sleep(EVACUATED_S)
        if world.trouble:
            for row in world.instances:
                row.kill()
            await asyncio.sleep(RESTART_S)
            for row in world.instances:
                row.start()
        # The evacuation is taken back; the zone's endpoints have become cold.
        begin = time.monotonic()
        names = set()
        for row in world.endpoints:
            if row.zone == zone:
                row.cold_until = begin + COLD_S
                row.register()
                names.add(row.name)
        world.store.remove("evacuations", zone)
        world.note("%s is taken back, its endpoints are cold for %.0f s" % (
            zone, COLD_S))
        spans.append((begin, begin + COLD_S, names))
        await asyncio.sleep(8)
    state["stop"] = True
    beats.cancel()
    await asyncio.gather(*callers, return_exceptions=True)
    sent = {row["id"]: row["sent"] for row in world.sent}
    most = COLD_PER_S * COLD_OVER + COLD_SLACK
    broken, lines = False, ["allowed at a cold endpoint: %.1f in one second" %
                            most]
    for begin, end, names in spans:
        for row in world.endpoints:
            if row.name not in names:
                continue
            found = [(at, sent.get(attempt, begin))
                     for at, attempt in row.arrivals if begin <= at <= end]
            worst = max([sum(1 for at, s in found
                             if first <= at < first + 1 and s >= first)
                         for first, _ in found] or [0])
            broken = broken or worst > most
            lines.append("%s, cold from %.1f s: %d in one second%s" % (
                row.name, begin - world.started, worst,
                ", BROKEN" if worst > most else ""))
    lines.append("requests %d, served %d" % (
        len(world.sent), sum(row["status"] == 200 for row in world.sent)))
    return broken, lines


if __name__ == "__main__":
    sys.exit(stand.run_case(os.path.dirname(os.path.abspath(__file__)), ZONES,
                            play))
