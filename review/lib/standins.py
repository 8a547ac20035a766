"""Stand-ins for the outside of corkmux, on loopback and the real clock: state service, cloud, workers, users.

They follow PROTOCOL; only the Python standard library is needed. One asyncio loop runs all of them in the
process of the test script; the controllers are separate processes, started with the deploy file's command.
"""
import asyncio
import bisect
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


# ---------------------------------------------------------------- MessagePack

class Raw(bytes):
    """Bytes that are sent as a MessagePack text as they are."""


def pack(v):
    out = bytearray()
    _pack(v, out)
    return bytes(out)


def _pack_text(b, out):
    n = len(b)
    if n < 32:
        out.append(0xA0 | n)
    elif n < 256:
        out += struct.pack(">BB", 0xD9, n)
    elif n < 65536:
        out += struct.pack(">BH", 0xDA, n)
    else:
        out += struct.pack(">BI", 0xDB, n)
    out += b


def _pack(v, out):
    if v is None:
        out.append(0xC0)
    elif v is True:
        out.append(0xC3)
    elif v is False:
        out.append(0xC2)
    elif isinstance(v, int):
        if 0 <= v < 128:
            out.append(v)
        elif v >= 0:
            out += struct.pack(">BQ", 0xCF, v)
        else:
            out += struct.pack(">Bq", 0xD3, v)
    elif isinstance(v, float):
        out += struct.pack(">Bd", 0xCB, v)
    elif isinstance(v, Raw):
        _pack_text(bytes(v), out)
    elif isinstance(v, str):
        _pack_text(v.encode(), out)
    elif isinstance(v, (list, tuple)):
        out += struct.pack(">BI", 0xDD, len(v))
        for x in v:
            _pack(x, out)
    elif isinstance(v, dict):
        out += struct.pack(">BI", 0xDF, len(v))
        for k, x in v.items():
            _pack(k, out)
            _pack(x, out)
    else:
        raise TypeError(type(v))


_FIXED = {0xCA: ">f", 0xCB: ">d", 0xCC: ">B", 0xCD: ">H", 0xCE: ">I", 0xCF: ">Q",
          0xD0: ">b", 0xD1: ">h", 0xD2: ">i", 0xD3: ">q"}


def unpack(b):
    v, end = _unpack(b, 0)
    if end != len(b):
        raise ValueError("more than one value")
    return v


def _unpack(b, i):
    c = b[i]
    i += 1
    if c < 0x80:
        return c, i
    if c >= 0xE0:
        return c - 256, i
    if 0xA0 <= c < 0xC0:
        n = c & 31
        return b[i:i + n].decode("utf-8", "replace"), i + n
    if 0x80 <= c < 0x90:
        return _map(b, i, c & 15)
    if 0x90 <= c < 0xA0:
        return _list(b, i, c & 15)
    if c in (0xC0, 0xC2, 0xC3):
        return {0xC0: None, 0xC2: False, 0xC3: True}[c], i
    if c in _FIXED:
        f = _FIXED[c]
        n = struct.calcsize(f)
        return struct.unpack_from(f, b, i)[0], i + n
    sizes = {0xD9: ">B", 0xDA: ">H", 0xDB: ">I", 0xDC: ">H", 0xDD: ">I", 0xDE: ">H", 0xDF: ">I"}
    if c not in sizes:
        raise ValueError("byte %x" % c)
    f = sizes[c]
    n = struct.unpack_from(f, b, i)[0]
    i += struct.calcsize(f)
    if c in (0xD9, 0xDA, 0xDB):
        return b[i:i + n].decode("utf-8", "replace"), i + n
    return _list(b, i, n) if c in (0xDC, 0xDD) else _map(b, i, n)


def _list(b, i, n):
    out = []
    for _ in range(n):
        v, i = _unpack(b, i)
        out.append(v)
    return out, i


def _map(b, i, n):
    out = {}
    for _ in range(n):
        k, i = _unpack(b, i)
        out[k], i = _unpack(b, i)
    return out, i


# ---------------------------------------------------------------- record

class Record:
    """Writes record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, line):
        self.file.write("%8.3f %s\n" % (self.now(), line))
        self.file.flush()


# ---------------------------------------------------------------- HTTP

async def read_message(reader):
    """Returns (first line, headers, body)."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            k, v = line.split(":", 1)
            headers[k.strip().lower()] = v.strip()
    n = int(headers.get("content-length", "0"))
    body = await reader.readexactly(n) if n else b""
    return lines[0], headers, body


async def start_server(port, handler):
    """handler(method, path, body) returns (status, value), or None: the connection is closed unanswered."""

    async def serve(reader, writer):
        try:
            while True:
                first, _, body = await read_message(reader)
                method, path, _ = first.split(" ", 2)
                answer = await handler(method, path, unpack(body) if body else {})
                if answer is None:
                    break
                status, value = answer
                data = pack(value)
                writer.write(b"HTTP/1.1 %d x\r\nContent-Type: application/msgpack\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(data)) + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.LimitOverrunError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(serve, "127.0.0.1", port, limit=1 << 22, backlog=512)


class Client:
    """One connection to one address, kept open; status 0: no response."""

    def __init__(self, port):
        self.port = port
        self.streams = None

    async def request(self, method, path, value=None, timeout=2.0, raw=None):
        try:
            return await asyncio.wait_for(self._request(method, path, value, raw), timeout)
        except (asyncio.TimeoutError, OSError, asyncio.IncompleteReadError, ValueError) as e:
            self.close()
            return 0, type(e).__name__

    async def _request(self, method, path, value, raw):
        body = raw if raw is not None else (pack(value) if value is not None else b"")
        if self.streams is None:
            self.streams = await asyncio.open_connection("127.0.0.1", self.port, limit=1 << 22)
        reader, writer = self.streams
        head = "%s %s HTTP/1.1\r\nHost: x\r\nContent-Type: application/msgpack\r\nContent-Length: %d\r\n\r\n" % (
            method, path, len(body))
        writer.write(head.encode() + body)
        await writer.drain()
        first, headers, data = await read_message(reader)
        status = int(first.split(" ")[1])
        if headers.get("connection", "").lower() == "close":
            self.close()
        return status, (unpack(data) if data else None)

    def close(self):
        if self.streams is not None:
            self.streams[1].close()
            self.streams = None


next_port = 12000 + os.getpid() % 200 * 100


def free_ports(count):
    """Free ports below those that the system gives to outgoing connections, from a block for this process."""
    global next_port
    ports = []
    while len(ports) < count:
        port, next_port = next_port, next_port + 1
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
    return ports


# ---------------------------------------------------------------- links that can be cut

class Link:
    """Passes connections on to an address; while it is cut, connections are refused and open ones are reset."""

    def __init__(self, port, target):
        self.port, self.target = port, target
        self.server = None
        self.writers = set()

    async def open(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    async def cut(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        try:
            to_reader, to_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, to_writer}

        async def copy(source, sink):
            try:
                while data := await source.read(65536):
                    sink.write(data)
                    await sink.drain()
            except (OSError, asyncio.CancelledError):
                pass
            finally:
                sink.close()

        await asyncio.gather(copy(reader, to_writer), copy(to_reader, writer))
        self.writers -= {writer, to_writer}


# ---------------------------------------------------------------- state service

class Bucket:
    def __init__(self, rate):
        self.rate, self.left, self.at = rate, float(rate), time.monotonic()

    def take(self, n=1):
        now = time.monotonic()
        self.left = min(self.rate, self.left + (now - self.at) * self.rate)
        self.at = now
        if self.left < n:
            return False
        self.left -= n
        return True


class StateService:
    def __init__(self, rps, write_rps):
        self.data = {}      # key -> (value, stamp, tenure)
        self.keys = []
        self.epoch = 0
        self.log = []       # (stamp, entry)
        self.grants = {}    # id -> [deadline, life]
        self.next_grant = 1
        self.requests, self.changes = Bucket(rps), Bucket(write_rps)
        self.changed = asyncio.Event()
        self.refused = 0

    def start(self, port):
        asyncio.ensure_future(self.expire())
        return start_server(port, self.handle)

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for g in [g for g, (deadline, _) in self.grants.items() if deadline <= now]:
                self.end_grant(g)

    def end_grant(self, g):
        self.grants.pop(g, None)
        gone = [k for k, v in self.data.items() if v[2] == g]
        if gone:
            self.epoch += 1
            for k in gone:
                self.remove(k)
            self.notify()

    def remove(self, k):
        if k in self.data:
            del self.data[k]
            del self.keys[bisect.bisect_left(self.keys, k)]
            self.log.append((self.epoch, {"remove": k, "stamp": self.epoch}))

    def put(self, k, value, tenure):
        if k not in self.data:
            bisect.insort(self.keys, k)
        self.data[k] = (value, self.epoch, tenure)
        self.log.append((self.epoch, {"write": k, "value": value, "stamp": self.epoch}))

    def notify(self):
        del self.log[:-10000]
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    async def handle(self, method, target, body):
        await asyncio.sleep(0.002)
        if not self.requests.take():
            self.refused += 1
            return 429, {"error": "rate"}
        path, _, query = target.partition("?")
        args = dict(p.partition("=")[::2] for p in query.split("&") if p)
        if path == "/multi":
            return self.multi(body)
        if path == "/grants":
            g, self.next_grant = self.next_grant, self.next_grant + 1
            life = body["lifeMs"] / 1000
            self.grants[g] = [time.monotonic() + life, life]
            return 200, {"tenure": g}
        if path.startswith("/grants/"):
            g = int(path.split("/")[2])
            if g not in self.grants:
                return 404, {"error": "no such lease"}
            if method == "DELETE":
                self.end_grant(g)
            else:
                self.grants[g][0] = time.monotonic() + self.grants[g][1]
            return 200, {}
        if path == "/watch":
            return await self.watch(args)
        if path == "/kv":
            return 200, self.page(args)
        key = path[len("/kv/"):]
        if key not in self.data:
            return 404, {"epoch": self.epoch}
        value, stamp, tenure = self.data[key]
        answer = {"k": key, "value": value, "stamp": stamp}
        if tenure:
            answer["tenure"] = tenure
        return 200, answer

    def page(self, args):
        under, after, most = args["under"], args.get("after", ""), min(1000, int(args.get("most", "1000")))
        i = max(bisect.bisect_left(self.keys, under), bisect.bisect_right(self.keys, after) if after else 0)
        pairs = []
        while i < len(self.keys) and self.keys[i].startswith(under):
            if len(pairs) == most:
                return {"pairs": pairs, "truncated": True, "epoch": self.epoch}
            value, stamp, _ = self.data[self.keys[i]]
            pairs.append({"k": self.keys[i], "value": value, "stamp": stamp})
            i += 1
        return {"pairs": pairs, "truncated": False, "epoch": self.epoch}

    def multi(self, body):
        writes = body.get("writes") or []
        if writes and not self.changes.take(len(writes)):
            self.refused += 1
            return 429, {"error": "rate"}
        for w in writes:
            if w.get("tenure") and w["tenure"] not in self.grants:
                return 400, {"error": "no such lease"}
        failed = [c["k"] for c in body.get("if") or []
                  if (self.data[c["k"]][1] if c["k"] in self.data else 0) != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "epoch": self.epoch}
        if writes:
            self.epoch += 1
            for w in writes:
                if "remove" in w:
                    self.remove(w["remove"])
                else:
                    self.put(w["write"], w["value"], w.get("tenure") or 0)
            self.notify()
        return 200, {"epoch": self.epoch}

    async def watch(self, args):
        under, after = args["under"], int(args["after"])
        until = time.monotonic() + min(60.0, int(args.get("waitMs", "0")) / 1000)
        while True:
            if len(self.log) == 10000 and after + 1 < self.log[0][0]:
                return 410, {"epoch": self.epoch}
            found = []
            for stamp, entry in reversed(self.log):
                if stamp <= after:
                    break
                if (entry.get("write") or entry.get("remove")).startswith(under):
                    found.append(entry)
            left = until - time.monotonic()
            if found or left <= 0:
                return 200, {"epoch": self.epoch, "log": found[::-1]}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


# ---------------------------------------------------------------- cloud

class Cloud:
    """Has the machines that the test starts and rents no others."""

    def __init__(self, builds, record):
        self.builds, self.record = builds, record
        self.workers = {}
        self.deletions = []     # (s, caller, machine, its highest token, its tasks that ran)
        self.started = time.monotonic()

    def start(self, port, caller=""):
        async def handle(method, target, body):
            return await self.handle(method, target, body, caller)

        return start_server(port, handle)

    async def handle(self, method, target, body, caller):
        path, _, query = target.partition("?")
        if path == "/catalog":
            return 200, {"builds": self.builds}
        if path == "/hosts" and method == "POST":
            return 503, {"error": "no capacity"}
        if path == "/hosts/delete":
            for name in body["hosts"]:
                worker = self.workers.pop(name, None)
                if worker:
                    runs = sorted(k[0] for k, t in worker.tasks.items() if t["phase"] == "running")
                    self.deletions.append((time.monotonic(), caller, name, worker.baton, runs))
                    self.record("cloud: machine %s is deleted at the request of %s; highest token it has seen: %d "
                                "(term %d); it runs %s" % (name, caller, worker.baton, worker.baton >> 20, runs))
                    worker.power_off()
            return 200, {}
        args = dict(p.partition("=")[::2] for p in query.split("&") if p)
        after, most = args.get("after", ""), int(args.get("most", "500"))
        names = [n for n in sorted(self.workers) if n > after]
        hosts = [{"ref": n, "address": self.workers[n].address, "build": self.workers[n].build,
                  "room": self.workers[n].room, "lendable": False, "phase": "running",
                  "ageS": time.monotonic() - self.started + 600} for n in names[:most]]
        return 200, {"hosts": hosts, "truncated": len(names) > most}


# ---------------------------------------------------------------- workers

class Jobs:
    """What users have uploaded: the jobs' descriptions, and the results that are kept."""

    def __init__(self):
        self.specs = {}
        self.run_s = {}
        self.done = set()

    def upload(self, spec, run_s):
        self.specs[spec["ref"]], self.run_s[spec["ref"]] = spec, run_s
        return spec


class Worker:
    def __init__(self, host, port, build, room, size, nodes, times, jobs, record, events, quiet=False):
        self.host, self.port, self.build, self.room, self.size = host, port, build, room, size
        self.address = "127.0.0.1:%d" % port
        self.nodes, self.times, self.jobs, self.record, self.events = nodes, times, jobs, record, events
        self.quiet = quiet
        self.watch, self.tick, self.baton = 1, 0, 0
        self.tasks = {}     # (part, try) -> {"phase", "cause", "handle"}
        self.node = random.randrange(len(nodes))
        self.clients = [Client(n[1]) for n in nodes]
        self.renewed = time.monotonic()
        self.change = asyncio.Event()
        self.on = True
        self.hold_next_launch = 0.0     # s that the next direct command with a launch is held on its way
        self.held = None
        self.dropped = 0                # responses with a token below the highest
        self.loops = []

    async def start(self):
        self.server = await start_server(self.port, self.handle)
        self.loops = [asyncio.ensure_future(self.report_loop()), asyncio.ensure_future(self.lease_loop())]

    def power_off(self):
        self.on = False
        self.kill_all("off")
        for loop in self.loops:
            loop.cancel()
        self.server.close()

    def log(self, line):
        if not self.quiet:
            self.record("%s: %s" % (self.host, line))

    # --- tasks

    def used(self):
        out = [0.0, 0.0, 0.0]
        for (part, _), task in self.tasks.items():
            if task["phase"] != "ended":
                spec = self.jobs.specs[part.rpartition("/")[0]]
                for i, f in enumerate(("vcpus", "accelerators", "memGb")):
                    out[i] += spec[f]
        return out

    def set(self, key, phase, cause=None):
        task = self.tasks[key]
        before = task["phase"]
        task["phase"], task["cause"] = phase, cause
        if phase == "running":
            self.events.append((time.monotonic(), "on", key[0], key[1], self.host))
            self.log("task %s try %d runs" % key)
        if phase == "ended":
            if before == "running":
                self.events.append((time.monotonic(), "off", key[0], key[1], self.host))
            if task["handle"]:
                task["handle"].cancel()
            self.log("task %s try %d ended: %s" % (key[0], key[1], cause))
        self.change.set()

    def launch(self, part, attempt):
        key = (part, attempt)
        if key in self.tasks:
            return
        ref = part.rpartition("/")[0]
        task = self.tasks[key] = {"phase": "fetching", "cause": None, "handle": None}
        spec = self.jobs.specs.get(ref)
        if spec is None:
            return self.set(key, "ended", "unknown")
        if any(k[0] == part and k != key and t["phase"] != "ended" for k, t in self.tasks.items()):
            return self.set(key, "ended", "busy")
        if any(u > s + 1e-6 for u, s in zip(self.used(), self.size)):
            return self.set(key, "ended", "no_room")
        task["handle"] = asyncio.get_event_loop().call_later(0.1, self.have_image, key)

    def have_image(self, key):
        if key not in self.tasks or self.tasks[key]["phase"] != "fetching":
            return
        if key[0] in self.jobs.done:
            return self.set(key, "ended", "done")
        self.set(key, "running")
        run_s = self.jobs.run_s[key[0].rpartition("/")[0]] * random.uniform(0.75, 1.25)
        self.tasks[key]["handle"] = asyncio.get_event_loop().call_later(run_s, self.finish, key)

    def finish(self, key):
        if key in self.tasks and self.tasks[key]["phase"] == "running":
            self.jobs.done.add(key[0])
            self.set(key, "ended", "done")

    def kill_all(self, why):
        for key, task in list(self.tasks.items()):
            if task["phase"] != "ended":
                self.set(key, "ended", why)
        self.tasks.clear()

    def execute(self, orders):
        for o in orders:
            key = (o["part"], o["try"])
            if o["verb"] == "launch":
                self.launch(*key)
            elif o["verb"] == "halt" and key in self.tasks and self.tasks[key]["phase"] != "ended":
                self.set(key, "ended", "halted")
            elif o["verb"] == "clear" and key in self.tasks and self.tasks[key]["phase"] == "ended":
                del self.tasks[key]

    # --- reports

    def report(self):
        self.tick += 1
        parts = []
        for (part, attempt), t in self.tasks.items():
            p = {"part": part, "try": attempt, "phase": t["phase"]}
            if t["cause"]:
                p["cause"] = t["cause"]
            parts.append(p)
        return {"host": self.host, "address": self.address, "build": self.build, "room": self.room,
                "lendable": False, "watch": self.watch, "tick": self.tick, "baton": self.baton,
                "warningS": None, "parts": parts}

    async def report_loop(self):
        while self.on:
            sent, watch = time.monotonic(), self.watch
            self.change.clear()
            status, answer = await self.clients[self.node].request("POST", "/v1/report", self.report(), 4.0)
            if status == 200 and isinstance(answer, dict):
                self.take_answer(answer, sent, watch)
                wait = self.times["report_s"] * random.uniform(0.75, 1.25)
                await asyncio.sleep(0.5)
                try:
                    await asyncio.wait_for(self.change.wait(), max(0.01, wait - 0.5))
                except asyncio.TimeoutError:
                    pass
                continue
            herald = answer.get("herald") if status == 421 and isinstance(answer, dict) else None
            known = [i for i, n in enumerate(self.nodes) if n[0] == herald and i != self.node]
            if known:
                self.clients[self.node].close()
                self.node = known[0]
                await asyncio.sleep(random.uniform(0, 0.5))
            else:
                self.node = (self.node + 1) % len(self.nodes)
                await asyncio.sleep(1.0)

    def take_answer(self, answer, sent, watch):
        baton = answer.get("baton")
        if watch != self.watch:
            return
        if baton is None or baton < self.baton:
            self.dropped += 1
            if self.dropped == 1:
                self.log("drops a response: token %d is below the highest seen, %d" % (baton or 0, self.baton))
            return
        self.baton = baton
        self.renewed = max(self.renewed, sent)
        self.execute(answer.get("orders") or [])

    async def lease_loop(self):
        while self.on:
            await asyncio.sleep(0.05)
            if time.monotonic() - self.renewed > self.times["lease_s"]:
                self.log("lease expired, session %d ends" % self.watch)
                self.kill_all("lease")
                self.watch += 1
                self.renewed = time.monotonic()
                self.change.set()

    # --- commands

    async def handle(self, method, path, body):
        if path == "/inspect":
            return 200, self.report()
        if "baton" not in body or "watch" not in body:
            return 400, {}
        launches = [o["part"] for o in body["orders"] if o["verb"] == "launch"]
        if self.hold_next_launch and launches:
            hold, self.hold_next_launch = self.hold_next_launch, 0.0
            self.held = launches
            self.record("%s: direct command (token %d, launch %s) is held up on its way for %.1f s"
                        % (self.host, body["baton"], launches, hold))
            await asyncio.sleep(hold)
            if not self.on:
                return None
            answer = self.direct(body)
            self.record("%s: the held command arrives, token %d, highest seen %d: %s"
                        % (self.host, body["baton"], self.baton,
                           "executed" if answer[0] == 200 else "refused"))
            return None
        return self.direct(body)

    def direct(self, body):
        if not self.on:
            return None
        if body["baton"] < self.baton or body["watch"] != self.watch:
            return 409, self.report()
        self.baton = body["baton"]
        self.execute(body["orders"])
        return 200, self.report()


# ---------------------------------------------------------------- controllers

STARTED = []    # every process that was started


class Controllers:
    def __init__(self, record, folder, settings, zones, state_port, cloud_port, count=3):
        """state_port, cloud_port: the service's port, or a list with one for each controller."""
        self.record, self.folder, self.settings = record, folder, settings
        ports = free_ports(2 * count)
        self.nodes = [("c-%d" % i, ports[2 * i], ports[2 * i + 1], zones[i % len(zones)]) for i in range(count)]
        self.processes = [None] * count
        self.logs = [open(os.path.join(folder, "c-%d.log" % i), "w") for i in range(count)]
        with open(os.path.join(ROOT, "deploy", "service.toml"), "rb") as f:
            self.run = tomllib.load(f)["run"].split()
        self.peer_ports = {(i, j): self.nodes[j][2] for i in range(count) for j in range(count) if i != j}
        self.state_ports = state_port if isinstance(state_port, list) else [state_port] * count
        self.cloud_ports = cloud_port if isinstance(cloud_port, list) else [cloud_port] * count

    def write_settings(self, i):
        label, port, peer, zone = self.nodes[i]
        others = "".join('[[others]]\nlabel = "%s"\ndomain = "%s"\naddr = "127.0.0.1:%d"\n\n'
                         % (o[0], o[3], self.peer_ports[i, j]) for j, o in enumerate(self.nodes) if j != i)
        with open(os.path.join(self.folder, "c-%d.toml" % i), "w") as f:
            f.write('label = "%s"\ndomain = "%s"\nbind = "127.0.0.1:%d"\npeer_listen = "127.0.0.1:%d"\n\n'
                    '%s[outside]\ncloud = "127.0.0.1:%d"\nstate = "127.0.0.1:%d"\n\n%s'
                    % (label, zone, port, peer, others, self.cloud_ports[i], self.state_ports[i], self.settings))

    def start(self, i):
        self.write_settings(i)
        self.processes[i] = subprocess.Popen(
            self.run + [os.path.join(self.folder, "c-%d.toml" % i)], cwd=ROOT, stdin=subprocess.DEVNULL,
            stdout=self.logs[i], stderr=self.logs[i], env=dict(os.environ, LOG_LEVEL="info"))
        STARTED.append(self.processes[i])
        self.record("controller c-%d started" % i)

    def kill(self, i):
        self.processes[i].send_signal(signal.SIGKILL)
        self.processes[i].wait()
        self.record("controller c-%d killed" % i)

    def stop_all(self):
        for p in self.processes:
            if p and p.poll() is None:
                p.kill()
                p.wait()
        for f in self.logs:
            f.close()

    async def ready(self, i, timeout=15.0):
        client = Client(self.nodes[i][1])
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            status, _ = await client.request("GET", "/ready", timeout=1.0)
            if status == 200:
                client.close()
                return True
            await asyncio.sleep(0.2)
        return False

    def leader(self):
        """The controller whose log last says that it leads; None: none does."""
        best = None
        for i in range(len(self.nodes)):
            if not self.processes[i] or self.processes[i].poll() is not None:
                continue
            with open(os.path.join(self.folder, "c-%d.log" % i)) as f:
                for line in f:
                    if "leading under term" in line:
                        term = int(line.split("term")[1].split()[0])
                        if best is None or term > best[0]:
                            best = (term, i)
        return best


def job(ref, crew, parts=1, guess_s=1.0, vcpus=1.0, **fields):
    spec = {"ref": ref, "troupe": "train", "crew": crew, "shape": "batch", "rank": "normal", "parts": parts,
            "vcpus": vcpus, "accelerators": 0.0, "memGb": 1.0, "bundle": "img-07", "imageGb": 0.1,
            "builds": None, "room": None, "together": False, "spread": False, "lendable": False,
            "guessS": guess_s, "bookmarkS": 0.0, "stashS": 0.0, "dueS": None}
    spec.update(fields)
    return spec


def run_case(main, folder):
    """Runs main(record, temporary folder) and exits with its result; 2: it could not run, or took over 118 s.

    The process ends here and not through asyncio, whose end waits for tasks that may have missed their cancellation.
    """
    record = Record(os.path.join(folder, "record.txt"))
    temporary = tempfile.mkdtemp()
    errors = []

    def end(result):
        for process in STARTED:
            if process.poll() is None:
                process.kill()
                process.wait()
        shutil.rmtree(temporary, ignore_errors=True)
        record("exit %d" % result)
        os._exit(result)

    async def guarded():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(
            lambda _, context: errors.append(context.get("exception") or context["message"]))
        loop.call_later(118, end, 2)
        try:
            result = await main(record, temporary)
        except Exception as e:  # noqa: BLE001
            record("the case could not run: %s: %s" % (type(e).__name__, e))
            result = 2
        if errors:
            record("an error in a stand-in: %r" % errors[0])
            result = 2
        end(result)

    asyncio.run(guarded())
