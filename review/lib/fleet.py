"""What several cases share: a small deployment and its planned work."""
import asyncio
import random
import signal

ZONES = {"norte-a": "norte", "norte-b": "norte", "centro-a": "centro",
         "centro-b": "centro", "sur-a": "sur", "sur-b": "sur"}
HOST = "ventania.example"


def route(name, prefix, kind, service="clubdesk", timeout_ms=2500,
          public=False):
    return {"name": name, "host": HOST, "pathPrefix": prefix, "kind": kind,
            "timeoutMs": timeout_ms, "targetLatencyMs": 400, "priority": 2,
            "service": service, "attempts": 2, "public": public,
            "stickySessions": False, "homeRegions": []}


def tenant(name, rate, burst):
    return {"name": name, "keys": ["key-" + name], "priority": 1,
            "ratePerS": rate, "burst": burst, "homeRegions": []}


def configuration(version, routes, tenants):
    service = {"name": "clubdesk", "healthCheckPath": "/health",
               "connectionLimit": 390, "protocol": "h1", "tls": False,
               "coldStartS": 3.0, "coldPerS": 7.0}
    limits = {"headerBytes": 16384, "bodyBytes": 67108864,
              "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
    return {"version": "r%d" % version, "routes": routes,
            "services": [service], "limits": limits, "tenants": tenants}


def add_fleet(world, endpoints_per_zone=2, **options):
    """One machine and some endpoints in each zone."""
    for zone in world.zones:
        world.add_machine(zone, 1)
        for i in range(endpoints_per_zone):
            world.add_endpoint("i-%s-%d" % (zone, i), "clubdesk", zone,
                               **options)


async def send_steadily(world, clients, tenant_name, per_s, seconds,
                        path="/calendar/1", done=None):
    """An open loop of idempotent requests; the statuses of their answers."""
    sent, start = [], world.now()
    while world.now() < start + seconds:
        sent.append(asyncio.ensure_future(random.choice(clients).send(
            "GET", path, "key-" + tenant_name, 1000)))
        await asyncio.sleep(max(0.0, start + len(sent) / per_s - world.now()))
    return [status for _, status, _ in await asyncio.gather(*sent)]


async def replace(world, zone, number):
    """Removes a machine with SIGTERM and adds another at a new address."""
    old = next(m for m in world.machines if m.zone == zone and m.process)
    old.signal(signal.SIGTERM)
    await asyncio.get_running_loop().run_in_executor(None, old.process.wait)
    old.process = None
    await asyncio.sleep(1.5)
    new = world.add_machine(zone, number, bootstrap=False)
    new.start()
    await world.until_ready([new], 10)
    world.record("replaced", old.name, "by", new.name)
