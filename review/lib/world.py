"""Store, endpoints and clients that follow the users' pages, and the processes
of the system under test. Python's standard library only."""
import asyncio
import json
import os
import random
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PREFIX = "/magnoliaspread"
# The bounds of the small deployments (SYSTEM.md, ventania-lb and lc-taxi).
BOUNDS = {
    "seedLagS": 3, "addressReuseS": 2, "stabilityWindowMs": 4000,
    "acknowledgeMs": 4000, "catchUpS": 4, "drainMs": 2500, "gracePeriodS": 6,
    "lossSlackMs": 200, "configPropagationMs": 2500, "rollbackSlackMs": 250,
    "outerBoundMs": 6000, "strictRevocation": True, "revocationMs": 5000,
    "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 62,
    "quotaWindowS": 5, "quotaOver": 0.1, "quotaSlack": 20, "coldOver": 1.5,
    "coldSlack": 5, "evacuationMs": 5000, "recoveryS": 15, "ttl_max_s": 5,
    "maxRegionShift": 0.15}


# ---------------------------------------------------------------- HTTP

class Message:
    """A request or an answer: the words of its first line, fields, body."""

    def __init__(self, start, fields, body=b""):
        self.start, self.fields, self.body = start, fields, body

    def get(self, name, default=None):
        for key, value in self.fields:
            if key.lower() == name.lower():
                return value
        return default


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    fields = []
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            fields.append((name, value.strip()))
    return Message(lines[0].split(" ", 2), fields)


async def read_body(reader, message):
    """The body of a request, or of an answer that may have one."""
    if "chunked" in (message.get("Transfer-Encoding") or "").lower():
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()).strip():
                    pass
                return
            message.body += await reader.readexactly(size)
            await reader.readexactly(2)
    length = message.get("Content-Length")
    if length is not None:
        message.body = await reader.readexactly(int(length))
    elif message.start[0].startswith("HTTP/"):
        message.body = await reader.read()


def answer_bytes(status, fields=(), body=b"", reason="X"):
    head = "HTTP/1.1 %d %s\r\n" % (status, reason)
    for name, value in fields:
        head += "%s: %s\r\n" % (name, value)
    head += "Content-Length: %d\r\n\r\n" % len(body)
    return head.encode("latin-1") + body


def request_bytes(method, target, fields, body=None):
    head = "%s %s HTTP/1.1\r\n" % (method, target)
    for name, value in fields:
        head += "%s: %s\r\n" % (name, value)
    if body is not None:
        head += "Content-Length: %d\r\n" % len(body)
    return (head + "\r\n").encode("latin-1") + (body or b"")


async def close(writer):
    try:
        writer.close()
        await writer.wait_closed()
    except (OSError, asyncio.CancelledError):
        pass


BROKEN = (OSError, EOFError, asyncio.IncompleteReadError, ValueError,
          asyncio.LimitOverrunError, IndexError)


# ---------------------------------------------------------------- store

def same_but_sequence(old, new):
    """An entry changes when more than its sequence changes."""
    def rest(entry):
        if not isinstance(entry, dict) or \
                not isinstance(entry.get("status"), dict):
            return entry
        status = {k: v for k, v in entry["status"].items() if k != "sequence"}
        return {**entry, "status": status}
    return rest(old) == rest(new)


class Store:
    """The platform's metadata store (PROTOCOL.md)."""

    def __init__(self, address):
        self.address = address
        self.objects = {}  # kind -> name -> object
        self.log = []  # (revision, kind, object, removed)
        self.revision = 100
        self.era = 0
        self.changed = asyncio.Event()
        self.down = False  # answers 503
        self.server = None

    async def start(self):
        host, port = self.address.split(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))

    def _record(self, kind, obj, removed):
        self.revision += 1
        obj["metadata"]["revision"] = self.revision
        self.log.append((self.revision, kind, json.loads(json.dumps(obj)), removed))
        self.changed.set()
        self.changed = asyncio.Event()

    def write(self, kind, name, specification):
        """A write of an operator or an endpoint."""
        kinds = self.objects.setdefault(kind, {})
        obj = kinds.get(name)
        if obj is None:
            obj = {"metadata": {"name": name, "created": self.revision + 1,
                                "finalizers": [], "deleting": False},
                   "specification": None, "status": None}
            kinds[name] = obj
        elif same_but_sequence(obj["specification"], specification):
            obj["specification"] = specification
            return
        obj["specification"] = specification
        self._record(kind, obj, False)

    def remove(self, kind, name):
        obj = self.objects.get(kind, {}).pop(name, None)
        if obj is not None:
            self._record(kind, obj, True)

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_head(reader)
                await read_body(reader, request)
                if self.down:
                    status, body = 503, {}
                else:
                    status, body = await self.handle(request)
                fields = [("Content-Type", "application/json"),
                          ("Store-Era", str(self.era))]
                writer.write(answer_bytes(status, fields, json.dumps(body).encode()))
                await writer.drain()
        except BROKEN:
            pass
        finally:
            await close(writer)

    async def handle(self, request):
        method = request.start[0]
        url = urllib.parse.urlsplit(request.start[1])
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = url.path[len(PREFIX + "/objects/"):].split("/")
        kind = parts[0]
        name = urllib.parse.unquote(parts[1]) if len(parts) > 1 else None
        kinds = self.objects.setdefault(kind, {})
        if method == "GET" and name is None:
            if "watch" in query:
                return await self.watch(kind, query)
            names = sorted(n for n in kinds if n > query.get("after", ""))
            return 200, {"items": [kinds[n] for n in names[:500]],
                         "hasMore": len(names) > 500,
                         "storeRevision": self.revision}
        if method == "GET":
            return (200, kinds[name]) if name in kinds else (404, {})
        data = json.loads(request.body) if request.body else {}
        metadata = data.get("metadata", {})
        if method == "POST":
            name = metadata["name"]
            if name in kinds:
                return 409, kinds[name]
            obj = {"metadata": {"name": name, "created": self.revision + 1,
                                "finalizers": metadata.get("finalizers", []),
                                "deleting": False},
                   "specification": data.get("specification"),
                   "status": data.get("status")}
            kinds[name] = obj
            self._record(kind, obj, False)
            return 200, obj
        if name not in kinds:
            return 404, {}
        obj = kinds[name]
        revision = metadata.get("revision", query.get("revision"))
        if revision is not None and int(revision) != obj["metadata"]["revision"]:
            return 409, obj
        if method == "DELETE":
            self.remove(kind, name)
            return 200, obj
        field = "status" if len(parts) > 2 else "specification"
        if obj[field] != data.get(field):
            obj[field] = data.get(field)
            self._record(kind, obj, False)
        return 200, obj

    async def watch(self, kind, query):
        since = int(query["watch"])
        until = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        if since > self.revision:
            return 410, {}
        while True:
            events = [{"object": o, "removed": r}
                      for rev, k, o, r in self.log if rev > since and k == kind]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


# ---------------------------------------------------------------- endpoints

class Endpoint:
    """One endpoint of a service (PROTOCOL.md, Endpoints)."""

    def __init__(self, world, name, service, zone, address, slots=8, work_ms=20,
                 queue=16):
        self.world, self.name, self.service = world, name, service
        self.zone, self.address, self.slots = zone, address, slots
        self.work_ms, self.queue = work_ms, queue
        self.state, self.sequence = "ready", 0
        self.born = int(time.time() * 1000)
        self.running, self.waiting = 0, 0
        self.gate = asyncio.Semaphore(slots)
        self.leaving = False  # says Server-Leaving in its answers
        self.server, self.writers, self.beats = None, set(), None

    async def start(self):
        host, port = self.address.split(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))
        self.beats = asyncio.ensure_future(self.beat())

    async def beat(self):
        while True:
            self.report()
            await asyncio.sleep(1.5)

    def report(self):
        """Writes its entry, if the store takes it."""
        if self.world.store.down:
            return False
        self.sequence += 1
        self.world.store.write("servers", self.name, {
            "address": self.address, "born": self.born,
            "information": {"service": self.service, "version": "v1",
                            "zone": self.zone, "slots": self.slots},
            "status": {"state": self.state, "sequence": self.sequence,
                       "coldRemainingMs": 0}})
        return True

    async def stop(self):
        self.beats.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_head(reader)
                await read_body(reader, request)
                if await self.answer(request, reader, writer) is False:
                    break
                await writer.drain()
        except BROKEN:
            pass
        finally:
            self.writers.discard(writer)
            await close(writer)

    def fields(self, attempt):
        fields = [("Attempt-Id", attempt)] if attempt else []
        fields.append(("Server-Load", "%d,%d,%d" %
                       (self.running, self.waiting, self.slots)))
        if self.leaving:
            fields.append(("Server-Leaving", "1"))
        return fields

    async def answer(self, request, reader, writer):
        attempt = request.get("Attempt-Id")
        expected = request.get("Expected-Instance")
        if request.start[1] == "/health":
            writer.write(answer_bytes(200, [("Instance-Id", self.name)]))
            return True
        if expected is not None and expected != self.name:
            writer.write(answer_bytes(421, [("Instance-Id", self.name)]))
            return True
        if not attempt:
            writer.write(answer_bytes(400, [("Not-Executed", "1")]))
            return True
        if self.running + self.waiting >= self.slots + self.queue:
            writer.write(answer_bytes(503, self.fields(attempt) +
                                      [("Not-Executed", "1")]))
            return True
        self.waiting += 1
        async with self.gate:
            self.waiting -= 1
            self.running += 1
            try:
                self.world.ran(self, request)
                await asyncio.sleep(self.work_ms / 1000)
            finally:
                self.running -= 1
        body = ("%s %s" % (self.name, attempt)).encode()
        writer.write(answer_bytes(200, self.fields(attempt) +
                                  [("Server-Signature", "s.%s.%s" %
                                    (self.name, attempt))], body, "OK"))
        return True


# ---------------------------------------------------------------- settings

def render(template, data):
    """The platform's template language (DEPLOY.md)."""
    token = re.compile(r"\{\{([#^/]?)([^{}]*?)\}\}")

    def find(name, scopes):
        if name == ".":
            return scopes[-1]
        if name == "@":
            return scopes[0]["@"]
        for scope in reversed(scopes):
            value = scope
            for part in name.split("."):
                if isinstance(value, dict) and part in value:
                    value = value[part]
                elif isinstance(value, list) and part.isdigit() and \
                        int(part) < len(value):
                    value = value[int(part)]
                else:
                    value = None
                    break
            if value is not None:
                return value
        return None

    def text(value):
        if value is None:
            return ""
        if isinstance(value, list):
            return ",".join(text(v) for v in value)
        if isinstance(value, (dict, bool)):
            return json.dumps(value)
        return str(value)

    def block(source, scopes, last=True):
        out, at = "", 0
        while True:
            found = token.search(source, at)
            if found is None:
                return out + source[at:]
            out += source[at:found.start()]
            kind, name = found.groups()
            at = found.end()
            if kind in ("#", "^"):
                end = source.index("{{/%s}}" % name, at)
                inner = source[at:end]
                at = end + len("{{/%s}}" % name)
                value = find(name, scopes)
                if kind == "^":
                    if value is None or value is False:
                        out += block(inner, scopes, last)
                elif isinstance(value, list):
                    for i, row in enumerate(value):
                        out += block(inner, scopes + [row], i == len(value) - 1)
                elif value is not None and value is not False:
                    out += block(inner, scopes + [value])
            elif name == ",":
                out += "" if last else ","
            elif name.endswith("|json"):
                out += json.dumps(find(name[:-5], scopes))
            else:
                out += text(find(name, scopes))

    return block(template, [data])


class Machine:
    """A frontend machine: one process of the role of the deploy file."""

    def __init__(self, world, name, zone, ip, bootstrap=True):
        self.world, self.name, self.zone, self.ip = world, name, zone, ip
        self.bootstrap = bootstrap
        self.process, self.log = None, None
        self.store_address = None  # where this machine finds the store
        self.front = ip + ":" + str(world.port)
        self.directory = ip + ":" + str(world.port + 3)
        self.ready = ip + ":" + str(world.port + 4)

    def settings(self):
        world = self.world
        data = {
            "nodeName": self.name, "role": "gateway", "machineClass": "frontend",
            "serves": ["frontend", "control_plane", "directory"],
            "ipAddress": self.ip, "zone": self.zone,
            "region": world.zones[self.zone], "countsAsLoss": False,
            "bootstrap": self.bootstrap, "dataDirectory": None,
            "limits": {"cpuShare": 0.2, "cpuCores": 1, "memoryMb": 260,
                       "fileDescriptors": 4100, "linkMbps": 1000.0, "diskMb": 0},
            "listenAddresses": {
                "frontend": self.front, "ready": self.ready,
                "controlPlane": self.ip + ":" + str(world.port + 1),
                "directory": self.directory},
            "internalPortRange": [world.port + 10, world.port + 25],
            "seedNodes": [m.ip + ":" + str(world.port + 1)
                          for m in world.machines[:3]],
            "zones": world.zones, "discovery": "platform",
            "entryPoint": "directory", "heartbeatIntervalMs": 1500,
            "platform": {"address": self.store_address or world.store.address,
                         "form": "objects",
                         "writesPerS": 400, "readsPerS": 2000, "historyS": 20,
                         "valueBytes": 1048576, "ttlMinMs": 1000},
            "contracts": ["base", "drain", "config", "cost", "retry", "recover",
                          "places", "tenants", "quota", "platform"],
            "faultTolerance": {"machines": 2, "zones": 1, "regions": 1},
            "bounds": world.bounds}
        with open(os.path.join(ROOT, "deploy", "settings.json")) as source:
            return render(source.read(), data)

    def start(self):
        path = os.path.join(self.world.folder, self.name + ".json")
        with open(path, "w") as out:
            out.write(self.settings())
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG")
               if k in os.environ}
        env["MAGNOLIASPREAD_SETTINGS"] = path
        if self.log is None:
            self.log = open(os.path.join(self.world.folder, self.name + ".log"),
                            "ab")
        program = os.environ.get("MAGNOLIASPREADD") or \
            os.path.join(ROOT, "target", "magnoliaspreadd")
        self.process = subprocess.Popen([program], cwd=ROOT, env=env,
                                        stdin=subprocess.DEVNULL,
                                        stdout=self.log, stderr=self.log)

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def log_text(self):
        with open(os.path.join(self.world.folder, self.name + ".log"),
                  errors="replace") as log:
            return log.read()

    async def is_ready(self):
        answer = await call(self.ready, "GET", PREFIX + "/readiness", [], 1)
        return answer is not None and answer.start[1] == "200"


async def call(address, method, target, fields, timeout, body=None):
    """One request on a connection of its own; None without an answer."""
    host, port = address.split(":")
    writer = None
    try:
        async with asyncio_timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(request_bytes(method, target,
                                       [("Host", host)] + fields, body))
            answer = await read_head(reader)
            await read_body(reader, answer)
            return answer
    except BROKEN + (asyncio.TimeoutError,):
        return None
    finally:
        if writer is not None:
            await close(writer)


class asyncio_timeout:
    """asyncio.timeout of newer Pythons."""

    def __init__(self, seconds):
        self.seconds, self.expired = seconds, False

    async def __aenter__(self):
        self.task = asyncio.current_task()
        self.timer = asyncio.get_running_loop().call_later(
            self.seconds, self.expire)

    def expire(self):
        self.expired = True
        self.task.cancel()

    async def __aexit__(self, kind, *_):
        self.timer.cancel()
        if self.expired and kind is asyncio.CancelledError:
            raise asyncio.TimeoutError()


class World:
    def __init__(self, folder_of_case, zones):
        self.case = folder_of_case
        self.zones = zones
        self.bounds = dict(BOUNDS)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.octet = random.randrange(20, 250)
        self.port = random.randrange(21000, 29000)
        self.machines, self.endpoints = [], []
        self.store = Store(self.ip(0, 1) + ":" + str(self.port))
        self.runs = []
        self.started = time.monotonic()
        self.record_file = open(os.path.join(folder_of_case, "record.txt"), "w")
        self.next_attempt = random.getrandbits(40) << 16

    def ip(self, a, b):
        return "127.%d.%d.%d" % (self.octet, a, b)

    def now(self):
        return time.monotonic() - self.started

    def record(self, *words):
        self.record_file.write("%8.3f " % self.now() +
                               " ".join(str(w) for w in words) + "\n")

    def ran(self, endpoint, request):
        row = {"at": self.now(), "endpoint": endpoint.name,
               "service": endpoint.service, "id": request.get("Attempt-Id"),
               "tenant": request.get("Tenant-Name"),
               "method": request.start[0], "path": request.start[1]}
        self.runs.append(row)
        self.record("ran", row["id"], "at", endpoint.name, "tenant",
                    row["tenant"], row["method"], row["path"])

    def new_attempt(self):
        self.next_attempt += 1
        return "%016x" % self.next_attempt

    def add_machine(self, zone, number, bootstrap=True):
        index = sorted(self.zones).index(zone) + 1
        machine = Machine(self, "frontend-%s-%d" % (zone, number), zone,
                          self.ip(index, number), bootstrap)
        self.machines.append(machine)
        return machine

    def add_endpoint(self, name, service, zone, **options):
        index = sorted(self.zones).index(zone) + 100
        count = sum(1 for e in self.endpoints if e.zone == zone)
        endpoint = Endpoint(self, name, service, zone,
                            self.ip(index, count + 1) + ":" + str(self.port),
                            **options)
        self.endpoints.append(endpoint)
        return endpoint

    async def start(self, config):
        await self.store.start()
        self.store.write("config", "main", config)
        for endpoint in self.endpoints:
            await endpoint.start()
        for machine in self.machines:
            machine.start()

    async def until_ready(self, machines, seconds):
        end = time.monotonic() + seconds
        for machine in machines:
            while not await machine.is_ready():
                if time.monotonic() > end:
                    raise CannotRun("not ready: " + machine.name)
                await asyncio.sleep(0.1)

    async def end(self):
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.signal(signal.SIGCONT)
                machine.process.kill()
        for machine in self.machines:
            if machine.process is not None:
                machine.process.wait()
        for endpoint in self.endpoints:
            if endpoint.server is not None:
                await endpoint.stop()
        self.record_file.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class CannotRun(Exception):
    pass


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(script, make_world, play):
    """Plays a case; exits with 1 if the rule was broken, 0 if it held."""
    async def main():
        world = make_world(os.path.dirname(os.path.abspath(script)))
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            broken = await asyncio.wait_for(play(world), 115)
            world.record("verdict", "broken" if broken else "held", broken)
            return 1 if broken else 0
        except (CannotRun, asyncio.TimeoutError, OSError) as problem:
            world.record("could not run:", repr(problem))
            print("could not run:", repr(problem))
            return 2
        finally:
            await world.end()

    code = asyncio.run(main())
    print({0: "held", 1: "broken", 2: "could not run"}[code])
    sys.exit(code)
