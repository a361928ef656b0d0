"""Stand-ins for the scripts of the second review: the platform's store, the
endpoints and the clients, and a fleet of magnoliaspreadd processes.

Everything runs on loopback addresses and the real clock. The stand-ins speak
what PROTOCOL.md says; a case changes single answers through hooks. Only the
standard library is used.
"""
import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
PROGRAM = "target/magnoliaspreadd"
TEMPLATE = os.path.join(ROOT, "deploy", "settings.json")


# --- the template of the settings (DEPLOY.md) ------------------------------

def _find(name, scopes):
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit():
                value = value[int(part)]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def render(text, scopes):
    out = ""
    while True:
        start = text.find("{{")
        if start < 0:
            return out + text
        out += text[:start]
        end = text.index("}}", start)
        tag, text = text[start + 2:end], text[end + 2:]
        if tag[0] in "#^":
            close = "{{/" + tag[1:] + "}}"
            inner, text = text.split(close, 1)
            value = _find(tag[1:], scopes)
            if tag[0] == "^":
                if value is None or value is False:
                    out += render(inner, scopes)
            elif isinstance(value, list):
                for i, row in enumerate(value):
                    comma = "," if i + 1 < len(value) else ""
                    out += render(inner.replace("{{,}}", comma),
                                  scopes + [row])
            elif value is not None and value is not False:
                out += render(inner, scopes)
            continue
        name, _, form = tag.partition("|")
        value = _find(name, scopes)
        if form == "json":
            out += json.dumps(value)
        elif isinstance(value, list):
            out += ",".join(str(row) for row in value)
        elif value is not None:
            out += str(value)


# --- HTTP/1.1 over asyncio ---------------------------------------------------

class Message:
    def __init__(self, start, fields, body):
        self.start, self.fields, self.body = start, fields, body

    def get(self, name, default=""):
        for key, value in self.fields:
            if key.lower() == name.lower():
                return value
        return default


async def read_head(reader):
    text = await reader.readuntil(b"\r\n\r\n")
    lines = text.decode("latin-1").split("\r\n")
    fields = []
    for line in lines[1:]:
        if line:
            key, _, value = line.partition(":")
            fields.append((key, value.strip()))
    return Message(lines[0], fields, b"")


async def read_body(reader, head, answer=False):
    if "chunked" in head.get("Transfer-Encoding").lower():
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                return
            head.body += piece[:-2]
    if answer and re.match(r"HTTP/1\.\d (1\d\d|204|304)", head.start):
        return
    length = head.get("Content-Length")
    if length:
        head.body = await reader.readexactly(int(length))
    elif answer:
        head.body = await reader.read()


def answer_bytes(status, fields=(), body=b""):
    text = "HTTP/1.1 %d %s\r\n" % (status, "OK" if status < 300 else "Status")
    for key, value in fields:
        text += "%s: %s\r\n" % (key, value)
    text += "Content-Length: %d\r\n\r\n" % len(body)
    return text.encode("latin-1") + body


def json_answer(status, value):
    return answer_bytes(status, [("Content-Type", "application/json")],
                        json.dumps(value).encode())


# --- the platform's store ----------------------------------------------------

class Store:
    """Objects by kind and name, changes since a revision. `delay(call)` may
    give the seconds by which an answer is late; the answer holds what was true
    when the call came."""

    def __init__(self, host, page=500):
        self.host, self.port, self.page = host, 0, page
        self.kinds, self.events = {}, []
        self.revision, self.lost_before = 100, 0
        self.era = 0
        self.hook = None
        self.calls = 0
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def write(self, kind, name, specification=None, status=None, created=None):
        old = self.kinds.setdefault(kind, {}).get(name)
        spec = specification if specification is not None else (
            old["specification"] if old else None)
        if old and spec == old["specification"] and status == old["status"]:
            return old
        self.revision += 1
        self.kinds[kind][name] = {
            "metadata": {"name": name, "revision": self.revision,
                         "created": old["metadata"]["created"] if old
                         else self.revision, "finalizers": [],
                         "deleting": False},
            "specification": spec,
            "status": status if status is not None else (
                old["status"] if old else None)}
        self._event(kind, self.kinds[kind][name], False)
        return self.kinds[kind][name]

    def remove(self, kind, name):
        old = self.kinds.get(kind, {}).pop(name, None)
        if old is None:
            return
        self.revision += 1
        self._event(kind, old, True)

    def copy(self):
        """What a drill brings back later."""
        return json.dumps([self.kinds, self.revision])

    def bring_back(self, copy):
        """The store comes back from an older copy, in its next era."""
        self.kinds, self.revision = json.loads(copy)
        self.events, self.lost_before = [], self.revision
        self.era += 1

    def _event(self, kind, thing, removed):
        self.events.append((self.revision, kind,
                            {"removed": removed, "object": thing}))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while True:
                call = await read_head(reader)
                await read_body(reader, call)
                self.calls += 1
                method, target = call.start.split(" ")[:2]
                plan = self.hook(method, target, writer) if self.hook else None
                if plan == "drop":
                    writer.transport.abort()
                    return
                reply = await self._answer(method, target, call.body)
                if isinstance(plan, (int, float)):
                    await asyncio.sleep(plan)
                elif isinstance(plan, bytes):
                    reply = plan
                if self.era:
                    reply = reply.replace(
                        b"\r\n", b"\r\nStore-Era: %d\r\n" % self.era, 1)
                writer.write(reply)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError,
                asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = urllib.parse.unquote(url.path).split("/")[3:]
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        rows = self.kinds.setdefault(kind, {})
        if method == "GET" and name:
            return json_answer(200, rows[name]) if name in rows else \
                json_answer(404, {})
        if method == "GET" and "watch" in query:
            since = int(query["watch"])
            if since < self.lost_before or since > self.revision:
                return json_answer(410, {})
            until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
            while True:
                events = [e for r, k, e in self.events
                          if k == kind and r > since]
                left = until - time.monotonic()
                if events or left <= 0:
                    return json_answer(200, {"events": events,
                                             "storeRevision": self.revision})
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if method == "GET":
            names = sorted(n for n in rows if n > query.get("after", ""))
            return json_answer(200, {
                "items": [rows[n] for n in names[:self.page]],
                "hasMore": len(names) > self.page,
                "storeRevision": self.revision})
        given = json.loads(body) if body else {}
        metadata = given.get("metadata", {})
        if method == "POST":
            name = metadata["name"]
            if name in rows:
                return json_answer(409, rows[name])
            return json_answer(200, self.write(kind, name,
                                               given.get("specification")))
        if name not in rows:
            return json_answer(404, {})
        wanted = metadata.get("revision", query.get("revision"))
        if wanted is not None and \
                int(wanted) != rows[name]["metadata"]["revision"]:
            return json_answer(409, rows[name])
        if method == "DELETE":
            old = rows[name]
            self.remove(kind, name)
            return json_answer(200, old)
        return json_answer(200, self.write(kind, name,
                                           given.get("specification")))


# --- endpoints -----------------------------------------------------------------

class Endpoint:
    """Runs `slots` requests at once, queues `queue` more and sheds the rest, as
    PROTOCOL.md says. `hook(endpoint, request, writer)` may return an awaitable
    that serves the request in another way."""

    def __init__(self, world, name, service, zone, slots=4, queue=12,
                 work=0.05):
        self.world, self.name, self.service, self.zone = \
            world, name, service, zone
        self.slots, self.queue, self.work = slots, queue, work
        self.host, self.port = world.endpoint_host, 0
        self.running = self.waiting = 0
        self.room = asyncio.Semaphore(slots)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.cold_until = 0.0
        self.runs, self.arrivals = [], []
        self.hook = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def entry(self):
        self.sequence += 1
        cold = max(0, int((self.cold_until - time.monotonic()) * 1000))
        return {"address": "%s:%d" % (self.host, self.port),
                "born": self.born,
                "information": {"service": self.service, "version": "v1",
                                "zone": self.zone, "slots": self.slots},
                "status": {"state": self.state, "sequence": self.sequence,
                           "coldRemainingMs": cold}}

    def register(self):
        self.world.store.write("servers", self.name, self.entry())

    def load(self):
        return "%d,%d,%d" % (self.running, self.waiting, self.slots)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_head(reader)
                await read_body(reader, request)
                await self.serve(request, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError,
                asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, request, writer):
        method, target = request.start.split(" ")[:2]
        if target == "/health":
            writer.write(answer_bytes(200, [("Instance-Id", self.name),
                                            ("Server-Load", self.load())]))
            return
        expected = request.get("Expected-Instance")
        if expected and expected != self.name:
            writer.write(answer_bytes(421, [("Instance-Id", self.name)]))
            return
        self.arrivals.append((time.monotonic(), request.get("Attempt-Id")))
        if self.running >= self.slots and self.waiting >= self.queue:
            writer.write(answer_bytes(503, [("Not-Executed", "1")]))
            return
        self.waiting += 1
        async with self.room:
            self.waiting -= 1
            self.running += 1
            try:
                self.note_run(request)
                if self.hook is not None:
                    done = self.hook(self, request, writer)
                    if done is not None:
                        await done
                        return
                await asyncio.sleep(self.work)
                writer.write(self.answer(request))
            finally:
                self.running -= 1

    def note_run(self, request):
        method, target = request.start.split(" ")[:2]
        self.runs.append((time.monotonic(), request.get("Attempt-Id"), method,
                          target, request.get("Tenant-Name")))

    def answer(self, request, status=200, body=None):
        body = body if body is not None else (
            "%s by %s" % (request.get("Attempt-Id"), self.name)).encode()
        return answer_bytes(status, [
            ("Attempt-Id", request.get("Attempt-Id")),
            ("Server-Signature", "sig." + request.get("Attempt-Id")),
            ("Server-Load", self.load())], body)


# --- clients ---------------------------------------------------------------------

class Client:
    """One connection at a time; keeps it open while the answers allow it."""

    def __init__(self, world, instance, local=None):
        self.world, self.instance = world, instance
        self.reader = self.writer = None

    async def request(self, method, path, key="key-1", body=b"", deadline=2000,
                      object_id="17", fields=(), attempt=None):
        attempt = attempt or self.world.attempt()
        head = "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\n" \
               "Affinity-Key: %s\r\nRequest-Deadline: %d\r\n" % (
                   method, path, self.world.host_name, attempt, object_id,
                   deadline)
        if key:
            head += "Key: %s\r\n" % key
        for name, value in fields:
            head += "%s: %s\r\n" % (name, value)
        if body or method != "GET":
            head += "Content-Length: %d\r\n" % len(body)
        sent = time.monotonic()
        status, reply = 0, None
        try:
            if self.writer is None:
                self.reader, self.writer = await asyncio.wait_for(
                    asyncio.open_connection(self.instance.ip,
                                            self.world.ports["frontend"],
                                            limit=1 << 20), 1)
            self.writer.write(head.encode() + b"\r\n" + body)
            reply = await asyncio.wait_for(
                self._read(), deadline / 1000 + 1)
            status = int(reply.start.split(" ")[1])
            if reply.get("Connection").lower() == "close":
                self.close()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
                ConnectionError):
            self.close()
        row = {"id": attempt, "method": method, "path": path, "key": key,
               "sent": sent, "done": time.monotonic(), "status": status,
               "instance": self.instance.name,
               "signature": reply.get("Server-Signature") if reply else "",
               "echo": reply.get("Attempt-Id") if reply else "",
               "retry_after": reply.get("Retry-After") if reply else "",
               "body": reply.body.decode("latin-1") if reply else ""}
        self.world.sent.append(row)
        return row

    async def _read(self):
        head = await read_head(self.reader)
        await read_body(self.reader, head, answer=True)
        return head

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


# --- instances ---------------------------------------------------------------------

class Instance:
    def __init__(self, world, name, ip, zone, region):
        self.world, self.name, self.ip = world, name, ip
        self.zone, self.region = zone, region
        self.store_port = None
        self.process = None
        self.settings = os.path.join(world.folder, name + ".json")
        self.log = os.path.join(world.folder, name + ".log")

    def values(self, bootstrap):
        world = self.world
        port = world.ports
        bounds = dict(world.bounds)
        fields = {
            "nodeName": self.name, "role": "gateway",
            "machineClass": "frontend",
            "serves": ["frontend", "directory", "control_plane"],
            "ipAddress": self.ip, "zone": self.zone, "region": self.region,
            "bootstrap": bootstrap, "dataDirectory": None,
            "limits": {"cpuShare": 0.2, "cpuCores": 1, "memoryMb": 260,
                       "fileDescriptors": 4100, "linkMbps": 1000.0,
                       "diskMb": 0},
            "listenAddresses": {
                "frontend": "%s:%d" % (self.ip, port["frontend"]),
                "ready": "%s:%d" % (self.ip, port["ready"]),
                "controlPlane": "%s:%d" % (self.ip, port["control"]),
                "directory": "%s:%d" % (self.ip, port["directory"])},
            "internalPortRange": [port["first"], port["first"] + 15],
            "seedNodes": ["%s:%d" % (i.ip, port["control"])
                          for i in world.instances[:3]],
            "zones": world.zones,
            "heartbeatIntervalMs": 1500,
            "platform": {"address": "%s:%d" % (
                world.store.host, self.store_port or world.store.port),
                "form": "objects"},
            "bounds": bounds}
        return fields

    def write_settings(self, bootstrap):
        with open(TEMPLATE) as file:
            template = file.read()
        text = render(template, [self.values(bootstrap)])
        # The template's seeds name the control port; instances use its host.
        json.loads(text)
        with open(self.settings, "w") as file:
            file.write(text)

    def start(self, bootstrap=False):
        self.write_settings(bootstrap)
        environment = {name: os.environ[name]
                       for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["MAGNOLIASPREAD_SETTINGS"] = self.settings
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [PROGRAM], cwd=ROOT, env=environment, stdout=log,
                stderr=subprocess.STDOUT)
        self.world.processes.append(self.process)
        self.world.note("start %s pid %d" % (self.name, self.process.pid))

    def signal(self, number):
        self.world.note("%s %s" % (signal.Signals(number).name, self.name))
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    async def ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(
                self.ip, self.world.ports["ready"]), 1)
            writer.write(b"GET /magnoliaspread/readiness HTTP/1.1\r\n"
                         b"Host: x\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head.start.split(" ")[1] == "200"
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


class World:
    """A deployment: zones, instances, one store, endpoints."""

    def __init__(self, case_folder, zones):
        self.case = case_folder
        self.zones = zones
        self.folder = tempfile.mkdtemp(prefix="case-")
        self.processes, self.instances, self.endpoints = [], [], []
        self.sent, self.notes = [], []
        self.host_name = "ficu95.example"
        self.started = time.monotonic()
        self.random = random.Random(7)
        self.net = "127.%d.%d" % (random.randint(60, 220),
                                  random.randint(1, 250))
        self.endpoint_host = self.net + ".250"
        self.store = Store(self.net + ".251")
        self.ports = self._free_ports()
        self.attempts = 0
        self.version = 0
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.bounds = {
            "seedLagS": 3, "addressReuseS": 2, "stabilityWindowMs": 4000,
            "acknowledgeMs": 4000, "catchUpS": 4, "drainMs": 2500,
            "gracePeriodS": 6, "lossSlackMs": 200, "configPropagationMs": 2500,
            "rollbackSlackMs": 250, "outerBoundMs": 6000,
            "strictRevocation": True, "revocationMs": 5000,
            "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 62,
            "quotaWindowS": 5, "quotaOver": 0.1, "quotaSlack": 20,
            "coldOver": 1.5, "coldSlack": 5, "evacuationMs": 5000,
            "recoveryS": 15, "ttl_max_s": 5, "maxRegionShift": 0.15}

    def _free_ports(self):
        base = random.randrange(12000, 28000, 40)
        return {"frontend": base, "ready": base + 1, "control": base + 2,
                "directory": base + 3, "first": base + 10}

    def now(self):
        return time.monotonic() - self.started

    def note(self, text):
        self.notes.append("%8.3f %s" % (self.now(), text))

    def attempt(self):
        self.attempts += 1
        return "%016x" % (self.random.getrandbits(40) << 20 | self.attempts)

    def add_instance(self, zone, number):
        name = "frontend-%s-%d" % (zone, number)
        ip = "%s.%d" % (self.net, 10 + len(self.instances))
        self.instances.append(Instance(self, name, ip, zone, self.zones[zone]))
        return self.instances[-1]

    def add_endpoint(self, *given, **named):
        self.endpoints.append(Endpoint(self, *given, **named))
        return self.endpoints[-1]

    def configure(self, routes, services, tenants):
        self.version += 3
        self.store.write("config", "main", {
            "version": "r%d" % self.version, "routes": routes,
            "services": services,
            "limits": {"headerBytes": 16384, "bodyBytes": 67108864,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": tenants})
        self.note("configuration r%d acknowledged" % self.version)

    def route(self, name, kind, service, prefix=None, **more):
        row = {"name": name, "host": self.host_name,
               "pathPrefix": prefix or "/%s/" % name, "kind": kind,
               "timeoutMs": 3000, "targetLatencyMs": 400, "priority": 1,
               "service": service, "attempts": 2, "public": False,
               "stickySessions": False, "homeRegions": []}
        row.update(more)
        return row

    def service(self, name, **more):
        row = {"name": name, "healthCheckPath": "/health",
               "connectionLimit": 390, "protocol": "h1", "tls": False,
               "coldStartS": 3.0, "coldPerS": 7.0}
        row.update(more)
        return row

    def tenant(self, name, keys, rate=0, burst=0):
        return {"name": name, "keys": keys, "priority": 1, "ratePerS": rate,
                "burst": burst, "homeRegions": []}

    async def heartbeats(self):
        while True:
            for row in self.endpoints:
                if row.state != "gone":
                    row.sequence += 1
            await asyncio.sleep(1.5)

    async def start(self, bootstrap=True):
        await self.store.start()
        for row in self.endpoints:
            await row.start()
            row.register()
        self.beats = asyncio.ensure_future(self.heartbeats())

    async def start_instances(self, within=20):
        for row in self.instances:
            row.start(bootstrap=True)
        until = time.monotonic() + within
        waiting = list(self.instances)
        while waiting and time.monotonic() < until:
            states = await asyncio.gather(*(row.ready() for row in waiting))
            waiting = [row for row, ok in zip(waiting, states) if not ok]
            await asyncio.sleep(0.1)
        if waiting:
            raise RuntimeError("not ready: " + ", ".join(
                row.name for row in waiting))

    def runs_by_id(self):
        found = {}
        for row in self.endpoints:
            for at, attempt, method, target, tenant in row.runs:
                found.setdefault(attempt, []).append((at, row.name, target,
                                                      tenant))
        return found

    def finish(self, verdict, lines):
        for process in self.processes:
            if process.poll() is None:
                try:
                    process.send_signal(signal.SIGCONT)
                except OSError:
                    pass
                process.kill()
                process.wait()
        with open(os.path.join(self.case, "record.txt"), "w") as file:
            file.write("TROUBLE=%d verdict=%s\n" % (self.trouble, verdict))
            for line in lines:
                file.write(line + "\n")
            file.write("\nevents\n")
            for line in self.notes:
                file.write(line + "\n")
            file.write("\nsent and answered: at, id, method, path, instance, "
                       "status, seconds\n")
            for row in self.sent:
                file.write("%8.3f %s %s %s %s %s %.3f\n" % (
                    row["sent"] - self.started, row["id"], row["method"],
                    row["path"], row["instance"], row["status"],
                    row["done"] - row["sent"]))
            file.write("\nrun: at, id, endpoint, method, path, tenant\n")
            runs = [(at, attempt, row.name, method, target, tenant)
                    for row in self.endpoints
                    for at, attempt, method, target, tenant in row.runs]
            for at, attempt, name, method, target, tenant in sorted(runs):
                file.write("%8.3f %s %s %s %s %s\n" % (
                    at - self.started, attempt, name, method, target, tenant))
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(case_folder, zones, play):
    """Runs `play(world)`, which returns (broken, lines); the exit code is that
    of the issue: 1 broken, 0 held, 2 could not run."""
    async def main():
        world = World(case_folder, zones)
        try:
            broken, lines = await asyncio.wait_for(play(world), 115)
        except Exception as problem:  # The case could not run.
            world.finish("could not run", [repr(problem)])
            print("could not run:", repr(problem))
            return 2
        world.finish("broken" if broken else "held", lines)
        for line in lines:
            print(line)
        return 1 if broken else 0
    return asyncio.run(main())
