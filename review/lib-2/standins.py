"""Stand-ins for users, workers, cloud and state service, as PROTOCOL describes them, for the cases 4 to 8.

One process, one asyncio loop, loopback addresses only, no dependency beyond Python's own library. The
controllers are started with the command of deploy/service.toml, as separate processes.
"""
import asyncio
import bisect
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
now = time.monotonic
JOBS = "/work"  # PROTOCOL, POST and GET
BODY_LIMIT = 64 * 1024  # bytes in the JSON form, PROTOCOL


class NotRun(Exception):
    """The case could not run (exit status 2)."""


# ---------------------------------------------------------------- MessagePack

def pack(value):
    out = bytearray()
    _pack(value, out)
    return bytes(out)


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
        elif 0 <= v < 1 << 8:
            out += b"\xcc" + struct.pack(">B", v)
        elif 0 <= v < 1 << 16:
            out += b"\xcd" + struct.pack(">H", v)
        elif 0 <= v < 1 << 32:
            out += b"\xce" + struct.pack(">I", v)
        elif v >= 0:
            out += b"\xcf" + struct.pack(">Q", v)
        else:
            out += b"\xd3" + struct.pack(">q", v)
    elif isinstance(v, float):
        out += b"\xcb" + struct.pack(">d", v)
    elif isinstance(v, str):
        raw = v.encode()
        if len(raw) < 32:
            out.append(0xA0 | len(raw))
        elif len(raw) < 256:
            out += b"\xd9" + struct.pack(">B", len(raw))
        elif len(raw) < 65536:
            out += b"\xda" + struct.pack(">H", len(raw))
        else:
            out += b"\xdb" + struct.pack(">I", len(raw))
        out += raw
    elif isinstance(v, (list, tuple)):
        if len(v) < 16:
            out.append(0x90 | len(v))
        elif len(v) < 65536:
            out += b"\xdc" + struct.pack(">H", len(v))
        else:
            out += b"\xdd" + struct.pack(">I", len(v))
        for item in v:
            _pack(item, out)
    else:
        if len(v) < 16:
            out.append(0x80 | len(v))
        elif len(v) < 65536:
            out += b"\xde" + struct.pack(">H", len(v))
        else:
            out += b"\xdf" + struct.pack(">I", len(v))
        for key, item in v.items():
            _pack(key, out)
            _pack(item, out)


def unpack(raw):
    return _unpack(raw, 0)[0]


_FIXED = {0xCA: (">f", 4), 0xCB: (">d", 8), 0xCC: (">B", 1), 0xCD: (">H", 2), 0xCE: (">I", 4), 0xCF: (">Q", 8),
          0xD0: (">b", 1), 0xD1: (">h", 2), 0xD2: (">i", 4), 0xD3: (">q", 8)}
_SIZED = {0xD9: ("s", ">B", 1), 0xDA: ("s", ">H", 2), 0xDB: ("s", ">I", 4), 0xDC: ("l", ">H", 2),
          0xDD: ("l", ">I", 4), 0xDE: ("m", ">H", 2), 0xDF: ("m", ">I", 4)}


def _unpack(raw, at):
    b = raw[at]
    at += 1
    if b < 0x80:
        return b, at
    if b >= 0xE0:
        return b - 256, at
    if b == 0xC0:
        return None, at
    if b in (0xC2, 0xC3):
        return b == 0xC3, at
    if b in _FIXED:
        form, size = _FIXED[b]
        return struct.unpack_from(form, raw, at)[0], at + size
    if b < 0x90:
        kind, size = "m", b & 0x0F
    elif b < 0xA0:
        kind, size = "l", b & 0x0F
    elif b < 0xC0:
        kind, size = "s", b & 0x1F
    else:
        kind, form, width = _SIZED[b]
        size = struct.unpack_from(form, raw, at)[0]
        at += width
    if kind == "s":
        return raw[at:at + size].decode(), at + size
    if kind == "l":
        items = []
        for _ in range(size):
            item, at = _unpack(raw, at)
            items.append(item)
        return items, at
    items = {}
    for _ in range(size):
        key, at = _unpack(raw, at)
        items[key], at = _unpack(raw, at)
    return items, at


def json_size(value):
    return len(json.dumps(value, separators=(",", ":")))


# ---------------------------------------------------------------- HTTP

async def read_message(reader):
    """Returns the first line, the headers and the body of one HTTP message."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


class HttpServer:
    """`handler(method, target, body)` returns (status, value), or None: the request is never answered."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.port = 0
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, _, body = await read_message(reader)
                method, target, _ = first.split(" ")
                answer = await self.handler(method, target, body)
                if answer is None:
                    await asyncio.sleep(3600)
                status, value = answer
                raw = pack(value)
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/msgpack\r\n"
                             f"Content-Length: {len(raw)}\r\n\r\n".encode() + raw)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class HttpClient:
    """One connection that stays open. `request` returns (status, value); status 0: no answer."""

    def __init__(self, address):
        self.host, port = address.split(":")
        self.port = int(port)
        self.reader = self.writer = None

    async def request(self, method, target, value=None, timeout=5.0):
        try:
            return await asyncio.wait_for(self._request(method, target, value), timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            self.close()
            return 0, None

    async def _request(self, method, target, value):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(self.host, self.port, limit=1 << 22)
        raw = b"" if value is None else pack(value)
        self.writer.write(f"{method} {target} HTTP/1.1\r\nHost: {self.host}\r\n"
                          f"Content-Type: application/msgpack\r\nContent-Length: {len(raw)}\r\n\r\n".encode() + raw)
        first, headers, body = await read_message(self.reader)
        if headers.get("connection", "").lower() == "close":
            self.close()
        try:
            answer = unpack(body) if body else None
        except (IndexError, KeyError, UnicodeDecodeError, struct.error):
            answer = None
        return int(first.split(" ")[1]), answer

    def close(self):
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None


class Proxy:
    """A TCP proxy. `cut`: existing connections are reset, new ones are closed at once."""

    def __init__(self, target):
        self.target = target
        self.cut = False
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return self

    async def _serve(self, reader, writer):
        if self.cut:
            writer.transport.abort()
            return
        host, port = self.target.split(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, far_writer}
        await asyncio.gather(self._pump(reader, far_writer), self._pump(far_reader, writer))
        self.writers -= {writer, far_writer}

    async def _pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.close()

    def set_cut(self, cut):
        self.cut = cut
        if cut:
            for writer in list(self.writers):
                writer.transport.abort()


class Rate:
    """Requests a second, with bursts worth `burst_s` seconds."""

    def __init__(self, rate, burst_s):
        self.rate, self.most = rate, rate * burst_s
        self.left, self.at = self.most, now()

    def take(self, count=1):
        self.left = min(self.most, self.left + (now() - self.at) * self.rate)
        self.at = now()
        if self.left < count:
            return False
        self.left -= count
        return True


# ---------------------------------------------------------------- state service

class State:
    def __init__(self, world):
        self.world = world
        self.data = {}  # key: (value, stamp, tenure)
        self.keys = []  # sorted
        self.epoch = 0
        self.log = []  # (stamp, key, value or None)
        self.leases = {}  # id: [life_s, until]
        self.next_lease = 0
        self.rps, self.write_rps = Rate(world.limits["rps"], 1), Rate(world.limits["write_rps"], 1)
        self.changed = asyncio.Event()
        self.cut = set()  # labels of controllers that get no answer

    async def start(self):
        self.servers = {}
        for label in self.world.labels:
            self.servers[label] = await HttpServer(
                lambda method, target, body, label=label: self.serve(label, method, target, body)).start()
        self.expiry = asyncio.create_task(self._expire())

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.05)
            for lease in [i for i, (_, until) in self.leases.items() if now() > until]:
                self.end_lease(lease)

    def end_lease(self, lease):
        del self.leases[lease]
        gone = [key for key, (_, _, tenure) in self.data.items() if tenure == lease]
        if gone:
            self.epoch += 1
            for key in gone:
                self.put(key, None, 0)
            self.wake()

    def put(self, key, value, tenure):
        if value is None:
            if key not in self.data:
                return
            del self.data[key]
            del self.keys[bisect.bisect_left(self.keys, key)]
        else:
            if key not in self.data:
                bisect.insort(self.keys, key)
            self.data[key] = (value, self.epoch, tenure)
        if key == "leader":
            holder = value.get("label", value) if isinstance(value, dict) else value
            self.world.leaders.append((now(), holder))
            self.world.note(f"state service: key leader is now {holder}")
        self.log.append((self.epoch, key, value))
        del self.log[:-10000]

    def under(self, prefix, after):
        start = bisect.bisect_right(self.keys, after) if after else bisect.bisect_left(self.keys, prefix)
        for key in self.keys[max(start, bisect.bisect_left(self.keys, prefix)):]:
            if not key.startswith(prefix):
                return
            yield key

    async def serve(self, label, method, target, body):
        if label in self.cut:
            return None
        if not self.rps.take():
            return 429, {"error": "too many requests"}
        path, _, query = target.partition("?")
        fields = dict(part.partition("=")[::2] for part in query.split("&")) if query else {}
        value = unpack(body) if body else {}
        if path == "/watch":
            return await self.watch(label, fields)
        answer = self.handle(method, path, fields, value)
        await asyncio.sleep(0.002)
        return None if label in self.cut else answer

    def handle(self, method, path, fields, body):
        if path == "/kv":
            pairs, size, truncated = [], 0, False
            for key in self.under(fields.get("under", ""), fields.get("after", "")):
                value, stamp, _ = self.data[key]
                size += json_size(value) + len(key) + 30
                if len(pairs) >= min(int(fields.get("most", 1000)), 1000) or size > 512 * 1024:
                    truncated = True
                    break
                pairs.append({"k": key, "value": value, "stamp": stamp})
            return 200, {"pairs": pairs, "truncated": truncated, "epoch": self.epoch}
        if path.startswith("/kv/"):
            key = path[4:]
            if key not in self.data:
                return 404, {"epoch": self.epoch}
            value, stamp, tenure = self.data[key]
            return 200, {"k": key, "value": value, "stamp": stamp, "tenure": tenure or None}
        if path == "/multi":
            return self.multi(body)
        if path == "/grants":
            self.next_lease += 1
            life = body["lifeMs"] / 1000
            self.leases[self.next_lease] = [life, now() + life]
            return 200, {"tenure": self.next_lease}
        if path.startswith("/grants/"):
            lease = int(path.split("/")[2])
            if lease not in self.leases:
                return 404, {"epoch": self.epoch}
            if method == "DELETE":
                self.end_lease(lease)
                return 200, {"epoch": self.epoch}
            self.leases[lease][1] = now() + self.leases[lease][0]
            return 200, {"tenure": lease}
        return 400, {"error": "no such path"}

    def multi(self, body):
        conditions, writes = body.get("if") or [], body.get("writes") or []
        limits = self.world.limits
        if (len(writes) > limits["txn_ops"] or len(conditions) > 4 * limits["txn_ops"] or
                json_size(body) > BODY_LIMIT or
                any(json_size(w["value"]) > limits["value_kb"] * 1024 for w in writes if "write" in w)):
            return 400, {"error": "too large"}
        if writes and not self.write_rps.take(len(writes)):
            return 429, {"error": "too many changes"}
        if any(w.get("tenure") and w["tenure"] not in self.leases for w in writes):
            return 400, {"error": "no such lease"}
        failed = [c["k"] for c in conditions if self.data.get(c["k"], (0, 0, 0))[1] != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "epoch": self.epoch}
        if writes:
            self.epoch += 1
            for w in writes:
                if "write" in w:
                    self.put(w["write"], w["value"], w.get("tenure") or 0)
                else:
                    self.put(w["remove"], None, 0)
            self.wake()
        return 200, {"epoch": self.epoch}

    async def watch(self, label, fields):
        after, prefix = int(fields["after"]), fields.get("under", "")
        until = now() + int(fields.get("waitMs", 0)) / 1000
        while True:
            if label in self.cut:
                return None
            if len(self.log) >= 10000 and after < self.log[0][0]:
                return 410, {"epoch": self.epoch}
            start = bisect.bisect_right(self.log, after, key=lambda entry: entry[0])
            log = [{"write": key, "value": value, "stamp": stamp} if value is not None else
                   {"remove": key, "stamp": stamp}
                   for stamp, key, value in self.log[start:] if key.startswith(prefix)]
            if log or now() >= until:
                return 200, {"epoch": self.epoch, "log": log}
            try:
                await asyncio.wait_for(self.changed.wait(), until - now())
            except asyncio.TimeoutError:
                pass


# ---------------------------------------------------------------- cloud

class Cloud:
    """`capacity`: {(build, room, lendable): machines at most}."""

    def __init__(self, world, builds, capacity):
        self.world, self.builds, self.capacity = world, builds, capacity
        self.machines = {}  # name: dict
        self.asks = {}
        self.next = 0
        self.rate = Rate(world.limits["cloud_rps"], 2)
        self.deletions = []  # (time, label, name)
        self.rentals = []

    async def start(self):
        self.servers = {}
        for label in self.world.labels:
            self.servers[label] = await HttpServer(
                lambda method, target, body, label=label: self.serve(label, method, target, body)).start()

    def build(self, name):
        return next(b for b in self.builds if b["label"] == name)

    async def create(self, build, room, lendable, boot_s):
        self.next += 1
        name = f"n-{self.next:06d}"
        machine = {"ref": name, "build": build, "room": room, "lendable": lendable, "created": now(),
                   "up": now() + boot_s, "gone": None, "worker": None, "address": ""}
        self.machines[name] = machine
        worker = Worker(self.world, name, self.build(build), room, lendable)
        machine["worker"] = worker
        await worker.prepare()
        machine["address"] = worker.address
        asyncio.create_task(self._boot(machine, boot_s))
        return name

    async def _boot(self, machine, boot_s):
        await asyncio.sleep(boot_s)
        if machine["gone"] is None:
            machine["worker"].start()

    def take(self, name):
        """The cloud takes a spot machine back, without a notice."""
        machine = self.machines[name]
        if machine["gone"] is None:
            machine["gone"] = now()
            machine["worker"].end("taken by the cloud")

    async def serve(self, label, method, target, body):
        if label in self.world.cut_off:
            return None
        if not self.rate.take():
            return 429, {"error": "too many requests"}
        value = unpack(body) if body else {}
        await asyncio.sleep(0.1)
        path, _, query = target.partition("?")
        if path == "/catalog":
            return 200, {"builds": self.builds}
        if path == "/hosts" and method == "POST":
            return await self.rent(label, value)
        if path == "/hosts/delete":
            for name in value["hosts"]:
                machine = self.machines.get(name)
                if machine and machine["gone"] is None:
                    self.deletions.append((now(), label, name))
                    self.world.note(f"cloud: {label} deletes {name}; on it: {machine['worker'].summary()}")
                    machine["gone"] = now()
                    machine["worker"].end("machine deleted")
            return 200, {}
        fields = dict(part.partition("=")[::2] for part in query.split("&")) if query else {}
        return 200, self.list(fields)

    async def rent(self, label, body):
        if body["ask"] in self.asks:
            return 200, self.asks[body["ask"]]
        kind = (body["build"], body["room"], bool(body.get("lendable")))
        there = sum(1 for m in self.machines.values()
                    if m["gone"] is None and (m["build"], m["room"], m["lendable"]) == kind)
        count = min(self.capacity.get(kind, 0) - there, body["howMany"], 50)
        if count <= 0:
            return 503, {"error": "no capacity"}
        boot_s = self.build(kind[0])["readyS"] * random.uniform(0.6, 1.5)
        names = [await self.create(*kind, boot_s) for _ in range(count)]
        self.rentals.append((now(), label, names))
        self.world.note(f"cloud: {label} rents {names} ({kind[0]}, {kind[1]}, lendable={kind[2]})")
        self.asks[body["ask"]] = {"hosts": names}
        return 200, self.asks[body["ask"]]

    def list(self, fields):
        at = now() - self.world.limits["list_lag_s"]
        hosts, most = [], min(int(fields.get("most", 500)), 500)
        for name, m in sorted(self.machines.items()):
            if name <= fields.get("after", "") or m["created"] > at or (m["gone"] is not None and m["gone"] <= at):
                continue
            if len(hosts) >= most:
                return {"hosts": hosts, "truncated": True}
            hosts.append({"ref": name, "address": m["address"], "build": m["build"], "room": m["room"],
                          "lendable": m["lendable"], "phase": "running" if m["up"] <= at else "starting",
                          "ageS": at - m["created"]})
        return {"hosts": hosts, "truncated": False}


# ---------------------------------------------------------------- workers

class Task:
    def __init__(self, part, attempt):
        self.part, self.attempt = part, attempt
        self.phase, self.cause, self.kept = "fetching", None, False
        self.timer = None


class Worker:
    def __init__(self, world, name, build, room, lendable):
        self.world, self.name, self.build, self.room, self.lendable = world, name, build, room, lendable
        self.watch, self.tick, self.baton = 1, 0, 0
        self.tasks = {}  # (part, attempt): Task
        self.live = {}  # part: Task, those that have not ended
        self.used = [0.0, 0.0, 0.0]
        self.ended = self.hangs = False
        self.leased_from = now()
        self.clients = {}
        self.node = None
        self.urgent = asyncio.Event()
        self.token_reported = -1e9
        self.loop_task = None

    async def prepare(self):
        self.server = await HttpServer(self.serve).start()
        self.address = self.server.address

    def start(self):
        self.leased_from = now()
        self.node = self.node or random.choice(self.world.labels)
        self.loop_task = asyncio.create_task(self.run())
        self.world.note(f"worker {self.name} is up in {self.room}")

    def summary(self):
        live = list(self.live.values())
        return f"{len(live)} tasks" + (f" ({', '.join(sorted(t.part for t in live)[:3])})" if live else "")

    def end(self, why):
        if self.ended:
            return
        self.ended = True
        self.world.note(f"worker {self.name} ends: {why}; on it: {self.summary()}")
        for task in list(self.tasks.values()):
            self.finish(task, why, quiet=True)
        self.server.close()
        for client in self.clients.values():
            client.close()
        if self.loop_task:
            self.loop_task.cancel()

    # ---- lease and reports

    def check_lease(self):
        if now() - self.leased_from <= self.world.times["lease_s"]:
            return
        if self.tasks:
            self.world.note(f"worker {self.name}: lease over, kills {self.summary()}")
        for task in list(self.tasks.values()):
            self.finish(task, "lease over", quiet=True)
        self.tasks.clear()
        self.watch += 1
        self.leased_from = now()
        self.world.lease_ends.append((now(), self.name))
        self.urgent.set()

    def report(self):
        self.tick += 1
        parts = []
        for task in self.tasks.values():
            item = {"part": task.part, "try": task.attempt, "phase": task.phase}
            if task.phase == "ended":
                item["cause"] = task.cause
                if task.kept:
                    item["kept"] = True
            parts.append(item)
        return {"host": self.name, "address": self.address, "build": self.build["label"], "room": self.room,
                "lendable": self.lendable, "watch": self.watch, "tick": self.tick, "baton": self.baton,
                "warningS": None, "parts": parts}

    async def run(self):
        lease_task = asyncio.create_task(self.watch_lease())
        try:
            while not self.ended:
                self.urgent.clear()
                started = now()
                pause = await self.send_report()
                period = self.world.times["report_s"] * random.uniform(0.75, 1.25)
                if pause is None:
                    try:
                        await asyncio.wait_for(self.urgent.wait(), max(0.0, started + period - now()))
                    except asyncio.TimeoutError:
                        pass
                    pause = max(0.0, started + 0.5 - now())
                await asyncio.sleep(pause)
        finally:
            lease_task.cancel()

    async def watch_lease(self):
        while not self.ended:
            await asyncio.sleep(0.1)
            self.check_lease()

    async def send_report(self):
        """Returns the pause before the next report, None: the usual one."""
        self.check_lease()
        body, sent_at, epoch = self.report(), now(), self.watch
        node = self.node
        # Inside a zone that is cut off, the workers and the controller still reach each other.
        if self.room in self.world.cut_off and node not in self.world.cut_off:
            labels = self.world.labels
            self.node = labels[(labels.index(node) + 1) % len(labels)]
            return 1.0
        client = self.clients.setdefault(node, HttpClient(self.world.bind[node]))
        status, answer = await client.request("POST", "/v1/report", body, 4.0)
        if status == 200 and isinstance(answer, dict):
            if epoch == self.watch and (answer.get("baton") or 0) >= self.baton:
                self.leased_from = max(self.leased_from, sent_at)
                self.execute(answer["baton"], answer.get("orders") or [])
            return None
        if status not in (200, 421, 503, 0):
            self.world.refused_reports.append((now(), self.name, node, status, json_size(body)))
            self.world.note(f"worker {self.name}: report of {json_size(body)} bytes (as JSON), "
                            f"{len(body['parts'])} tasks: {node} answers {status}")
        herald = (answer or {}).get("herald") if status == 421 and isinstance(answer, dict) else None
        if herald and herald != node and herald in self.world.bind:
            client.close()
            self.node = herald
            return random.uniform(0, 0.5)
        labels = self.world.labels
        self.node = labels[(labels.index(node) + 1) % len(labels)]
        return 1.0

    # ---- commands

    async def serve(self, method, target, body):
        if self.ended or self.room in self.world.cut_off:
            return None
        self.check_lease()
        if target == "/inspect":
            return 200, self.report()
        batch = unpack(body)
        if json_size(batch) > BODY_LIMIT:
            self.world.note(f"worker {self.name}: /orders of {json_size(batch)} bytes (as JSON) refused with 413")
            return 413, {"error": "too large"}
        if "baton" not in batch or "watch" not in batch:
            return 400, self.report()
        if batch["baton"] < self.baton or batch["watch"] != self.watch:
            return 409, self.report()
        self.execute(batch["baton"], batch.get("orders") or [])
        return 200, self.report()

    def execute(self, baton, orders):
        raised = baton > self.baton
        self.baton = max(self.baton, baton)
        if raised and now() - self.token_reported > self.world.times["lease_s"] / 2:
            self.token_reported = now()
            self.urgent.set()
        for order in orders:
            key = (order["part"], order["try"])
            if order["verb"] == "launch" and key not in self.tasks:
                self.launch(key)
            elif order["verb"] == "halt" and key in self.tasks:
                self.halt(self.tasks[key], order.get("mercyS", 0))
            elif order["verb"] == "clear" and key in self.tasks and self.tasks[key].phase == "ended":
                del self.tasks[key]
        if orders:
            self.urgent.set()

    def take(self, job, by):
        for i, name in enumerate(("vcpus", "accelerators", "memGb")):
            self.used[i] += by * job[name]

    def overfull(self):
        size = (self.build["vcpus"], self.build["accelerators"], self.build["memGb"])
        return any(used > most + 1e-6 for used, most in zip(self.used, size))

    def launch(self, key):
        part, attempt = key
        task = self.tasks[key] = Task(part, attempt)
        job = self.world.jobs.get(part.split("/")[0])
        if job is None or int(part.split("/")[1]) >= job["parts"]:
            return self.finish(task, "unknown")
        if part in self.live:
            return self.finish(task, "busy")
        self.live[part] = task
        self.take(job, 1)
        if self.overfull():
            return self.finish(task, "no_room")
        fetch_s = job["imageGb"] / self.build["pullGbPerS"]
        task.timer = asyncio.get_running_loop().call_later(max(0.01, fetch_s), self.place, task)

    def place(self, task):
        if task.phase != "fetching" or self.ended:
            return
        world, ref = self.world, task.part.split("/")[0]
        world.on_placed(self, task)
        if task.part in world.done_parts:
            return self.finish(task, "done")
        if world.jobs[ref]["shape"] == "group":
            task.phase = "waiting"
            task.timer = asyncio.get_running_loop().call_later(
                world.times["gang_wait_s"], lambda: task.phase == "waiting" and self.finish(task, "alone"))
            self.urgent.set()
            return world.join_gang(self, task)
        self.begin(task)

    def begin(self, task):
        if task.timer:
            task.timer.cancel()
        ref = task.part.split("/")[0]
        task.phase = "running"
        self.world.on_running(self, task)
        run_s = self.world.run_s.get(ref)
        if run_s is not None:
            task.timer = asyncio.get_running_loop().call_later(run_s, self.complete, task)
        self.urgent.set()

    def complete(self, task):
        if self.hangs:
            task.timer = asyncio.get_running_loop().call_later(0.5, self.complete, task)
        elif task.phase == "running" and not self.ended:
            ref = task.part.split("/")[0]
            if self.world.jobs[ref]["shape"] == "group":
                # A gang completes together; one that has lost a task does not complete.
                parts = [f"{ref}/{i}" for i in range(self.world.jobs[ref]["parts"])]
                members = self.world.gangs.get((ref, task.attempt), {})
                if len(members) < len(parts) and not self.world.done_parts.issuperset(parts):
                    return
                self.world.done_parts.update(parts)
            self.world.done_parts.add(task.part)
            self.finish(task, "done")

    def halt(self, task, mercy):
        if task.phase == "ended":
            return
        job = self.world.jobs[task.part.split("/")[0]]
        if task.phase == "running" and job["bookmarkS"] > 0 and mercy >= job["stashS"]:
            task.phase = "flushing"
            task.kept = True
            task.timer.cancel() if task.timer else None
            task.timer = asyncio.get_running_loop().call_later(job["stashS"], self.finish, task, "halted")
        elif not (task.phase == "flushing" and mercy > 0):
            self.finish(task, "halted")

    def finish(self, task, cause, quiet=False):
        if task.phase == "ended":
            return
        if task.timer:
            task.timer.cancel()
        was = task.phase
        task.phase, task.cause = "ended", cause
        if self.live.get(task.part) is task:
            del self.live[task.part]
            self.take(self.world.jobs[task.part.split("/")[0]], -1)
        self.world.on_ended(self, task, was, cause)
        if not quiet:
            self.urgent.set()


# ---------------------------------------------------------------- the world

DEFAULT_TIMES = {"report_s": 2.5, "lease_s": 16.0, "gang_wait_s": 30.0, "gang_peer_s": 8.0, "cancel_s": 41.0}
DEFAULT_LIMITS = {"rps": 200.0, "write_rps": 80.0, "value_kb": 16.0, "txn_ops": 12, "cloud_rps": 4.0,
                  "list_lag_s": 5.0}


class World:
    """All stand-ins and controllers of one run, and what they have seen."""

    def __init__(self, folder, zones, teams, builds, capacity, controllers=3, times=None, limits=None):
        self.record = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.started = now()
        self.zones, self.teams = zones, teams
        self.times = {**DEFAULT_TIMES, **(times or {})}
        self.limits = {**DEFAULT_LIMITS, **(limits or {})}
        self.labels = [f"lantern-{i}" for i in range(controllers)]
        self.bind, self.peer, self.peer_proxies, self.processes = {}, {}, {}, {}
        self.jobs, self.run_s, self.done_parts = {}, {}, set()
        self.placed, self.running_since, self.lease_ends, self.refused_reports = {}, {}, [], []
        self.starts, self.ends, self.double = [], [], []
        self.gangs = {}
        self.cut_off = set()  # zone and controller that are cut off
        self.leaders = []  # (time, label or None)
        self.state = State(self)
        self.cloud = Cloud(self, builds, capacity)
        self.tmp = tempfile.mkdtemp(prefix="corkmux-review-")
        self.next_ref = 0

    def note(self, text):
        self.record.write(f"{now() - self.started:8.2f} {text}\n")
        self.record.flush()

    # ---- controllers

    async def start(self, wait_s=15, late=None):
        """`late`: a controller that is started only once another one leads."""
        await self.state.start()
        await self.cloud.start()
        # A loopback address of this run's own, so that no other script takes a port before its controller does.
        host = f"127.{100 + os.getpid() // 65025 % 100}.{os.getpid() // 255 % 255}.{1 + os.getpid() % 254}"
        sockets = []
        for label in self.labels:
            ports = []
            for _ in range(2):
                sock = socket.socket()
                sock.bind((host, 0))
                sockets.append(sock)
                ports.append(sock.getsockname()[1])
            self.bind[label], self.peer[label] = (f"{host}:{port}" for port in ports)
        for sock in sockets:
            sock.close()
        for a in self.labels:
            for b in self.labels:
                if a != b:
                    self.peer_proxies[a, b] = await Proxy(self.peer[b]).start()
        for label in self.labels:
            self.write_settings(label)
            if label != late:
                self.spawn(label)
        if late:
            await self.wait_leader()
            self.spawn(late)
        until = now() + wait_s
        while not all([(await HttpClient(self.bind[label]).request("GET", "/ready", None, 1))[0] == 200
                       for label in self.labels]):
            if now() > until:
                raise NotRun("the controllers did not become ready")
            await asyncio.sleep(0.2)

    def zone_of(self, label):
        return self.zones[self.labels.index(label) % len(self.zones)]

    def write_settings(self, label):
        t, s = self.times, self.limits
        lines = [f'label = "{label}"', f'domain = "{self.zone_of(label)}"', f'bind = "{self.bind[label]}"',
                 f'peer_listen = "{self.peer[label]}"']
        for other in self.labels:
            if other != label:
                lines += ["[[others]]", f'label = "{other}"', f'domain = "{self.zone_of(other)}"',
                          f'addr = "{self.peer_proxies[label, other].address}"']
        lines += ["[outside]", f'cloud = "{self.cloud.servers[label].address}"',
                  f'state = "{self.state.servers[label].address}"',
                  "[cluster]", f"initial_size = {len(self.labels)}", f"zones = {json.dumps(self.zones)}",
                  "skew_ms = 5.0"]
        for team in self.teams:
            lines += ["[[cluster.teams]]"] + [f"{key} = {json.dumps(value)}" for key, value in team.items()]
        lines += ["[cluster.workers]"] + [f"{key} = {value}" for key, value in t.items()]
        lines += ["[cluster.state]"] + [f"{key} = {s[key]}" for key in ("rps", "write_rps", "value_kb", "txn_ops")]
        lines += ["[cluster.cloud]", f"rps = {s['cloud_rps']}", f"list_lag_s = {s['list_lag_s']}",
                  "[cluster.limits]", "cpu_share = 0.2", "mem_mb = 104.0", "fd_limit = 1800"]
        with open(os.path.join(self.tmp, label + ".toml"), "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")

    def spawn(self, label):
        import tomllib
        with open(os.path.join(ROOT, "deploy", "service.toml"), "rb") as file:
            run = tomllib.load(file)["run"].split()
        if not os.path.exists(os.path.join(ROOT, run[0])):
            raise NotRun(f"{run[0]} is not built")
        log = open(os.path.join(self.tmp, label + ".log"), "ab")
        self.processes[label] = subprocess.Popen(run + [os.path.join(self.tmp, label + ".toml")], cwd=ROOT,
                                                 env={**os.environ, "LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")},
                                                 stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.note(f"{label} started")

    def kill(self, label, sig=signal.SIGKILL):
        self.processes[label].send_signal(sig)
        self.note(f"{label} gets signal {int(sig)}")

    def leader(self):
        """The label in the record of the leader, or None."""
        text = json.dumps(self.state.data.get("leader", ("",))[0])
        return next((label for label in self.labels if f'"{label}"' in text), None)

    def leader_at(self, at):
        """The latest label that was in the record of the leader until then."""
        return next((label for since, label in reversed(self.leaders) if since <= at and label), None)

    async def wait_leader(self, other_than=None, wait_s=20):
        until = now() + wait_s
        while now() < until:
            leader = self.leader()
            if leader and leader != other_than:
                return leader
            await asyncio.sleep(0.1)
        return None

    def cut(self, label, on):
        """Cuts the controller from the state service and from all other controllers."""
        (self.state.cut.add if on else self.state.cut.discard)(label)
        if not on:
            for writer in list(self.state.servers[label].writers):
                writer.transport.abort()
        for pair, proxy in self.peer_proxies.items():
            if label in pair:
                proxy.set_cut(on)
        self.note(f"{label} is {'cut from' if on else 'back with'} the state service and the other controllers")

    def cut_zone(self, zone, label, on):
        """Cuts the zone's workers, and its only controller, from everything; connections are reset."""
        self.cut_off = {zone, label} if on else set()
        self.cut(label, on)
        if on:
            for server in (self.state.servers[label], self.cloud.servers[label]):
                for writer in list(server.writers):
                    writer.transport.abort()
            for machine in self.cloud.machines.values():
                if machine["room"] == zone:
                    for writer in list(machine["worker"].server.writers):
                        writer.transport.abort()
                    for client in machine["worker"].clients.values():
                        client.close()
        self.note(f"zone {zone} is {'cut off from everything' if on else 'back'}")

    def stop(self):
        for label, process in self.processes.items():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        for label in self.labels:
            path = os.path.join(self.tmp, label + ".log")
            if os.path.exists(path):
                with open(path, encoding="utf-8", errors="replace") as file:
                    lines = file.read().splitlines()
                self.record.write(f"--- log of {label} (last 60 of {len(lines)} lines)\n")
                self.record.writelines(line[:300] + "\n" for line in lines[-60:])
        self.record.close()
        shutil.rmtree(self.tmp, ignore_errors=True)

    # ---- users

    def job(self, run_s, **fields):
        """A submission; `run_s` None: its tasks run until they are stopped."""
        self.next_ref += 1
        job = {"ref": f"run-{self.next_ref:06d}", "troupe": "class-a", "crew": self.teams[0]["name"],
               "shape": "batch", "rank": "normal", "parts": 1, "vcpus": 1.0, "accelerators": 0.0, "memGb": 1.0,
               "bundle": "img-01", "imageGb": 0.1, "builds": None, "room": None, "together": False,
               "spread": False, "lendable": False, "guessS": float(run_s or 0), "bookmarkS": 0.0, "stashS": 0.0,
               "dueS": None, **fields}
        self.jobs[job["ref"]] = job
        self.run_s[job["ref"]] = run_s
        return job

    async def ask(self, method, target, value=None, nodes=None, timeout=5.0):
        """One request at a node as the balancer would choose it; returns (node, status, answer)."""
        node = random.choice(nodes or self.labels)
        client = HttpClient(self.bind[node])
        status, answer = await client.request(method, target, value, timeout)
        client.close()
        return node, status, answer

    async def submit(self, job, nodes=None, wait_s=60):
        """Whether the job was accepted: 201, or 200 where the answer to an earlier attempt was lost."""
        until = now() + wait_s
        while now() < until:
            node, status, answer = await self.ask("POST", "/work", job, nodes)
            self.note(f"user: POST /work {job['ref']} ({job['shape']}, {job['parts']} tasks of {job['vcpus']} "
                      f"CPUs) at {node}: {status} {answer}")
            if status in (200, 201, 400, 422):
                return status in (200, 201)
            await asyncio.sleep(1)
        return False

    async def poll(self, ref, nodes=None):
        node, status, answer = await self.ask("GET", f"{JOBS}/{ref}", None, nodes, 2.0)
        self.note(f"user: GET {ref} at {node}: {status} {answer}")
        return status, answer

    async def withdraw(self, ref, nodes=None, wait_s=60):
        until = now() + wait_s
        while now() < until:
            node, status, answer = await self.ask("POST", f"{JOBS}/{ref}/withdraw", {}, nodes)
            self.note(f"user: withdraw {ref} at {node}: {status} {answer}")
            if status == 200:
                return answer
            await asyncio.sleep(1)
        return None

    async def wait_phase(self, ref, phases, wait_s, every_s=1.0):
        until = now() + wait_s
        while now() < until:
            status, answer = await self.poll(ref)
            if status == 200 and answer["phase"] in phases:
                return True
            await asyncio.sleep(every_s)
        return False

    # ---- what runs

    def on_placed(self, worker, task):
        at = self.placed.setdefault(task.part, set())
        if at:
            self.double.append((now(), task.part, sorted(at), worker.name))
            self.note(f"RAN TWICE: {task.part} starts on {worker.name} while on {sorted(at)}")
        at.add(worker.name)
        self.starts.append((now(), task.part, worker.name))
        if len(self.starts) <= 3000:
            self.note(f"task {task.part} try {task.attempt} on {worker.name}")

    def on_running(self, worker, task):
        self.running_since[task.part] = now()

    def on_ended(self, worker, task, was, cause):
        self.placed.get(task.part, set()).discard(worker.name)
        self.ends.append((now(), task.part, worker.name, cause))
        self.leave_gang(task, cause)
        if len(self.ends) <= 3000:
            self.note(f"task {task.part} try {task.attempt} on {worker.name} ends: {cause}")

    def runs(self, ref):
        """Whether all tasks of the job run."""
        running = {part for m in self.cloud.machines.values() for part, task in m["worker"].live.items()
                   if task.phase == "running" and part.startswith(ref + "/")}
        return len(running) == self.jobs[ref]["parts"]

    def join_gang(self, worker, task):
        ref = task.part.split("/")[0]
        members = self.gangs.setdefault((ref, task.attempt), {})
        members[task.part] = (worker, task)
        if len(members) == self.jobs[ref]["parts"]:
            for member_worker, member in members.values():
                member_worker.begin(member)

    def leave_gang(self, task, cause):
        members = self.gangs.get((task.part.split("/")[0], task.attempt))
        if not members or task.part not in members:
            return
        del members[task.part]
        if cause == "done":
            return
        for worker, mate in list(members.values()):
            if mate.phase in ("running", "flushing"):
                asyncio.get_running_loop().call_later(
                    self.times["gang_peer_s"] / 2,
                    lambda w=worker, m=mate: m.phase != "ended" and w.finish(m, "mates_gone"))


def run_case(folder, make_world, body):
    """Runs `body(world, trouble)`, which returns whether the rule held. Exits with 0, 1 or 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    world = make_world(folder)

    async def whole():
        return await asyncio.wait_for(body(world, trouble), 118)

    status = 2
    try:
        # Not asyncio.run: its end would cancel every open connection, one by one.
        held = asyncio.new_event_loop().run_until_complete(whole())
        status = 0 if held else 1
        world.note("the rule held" if held else "THE RULE WAS BROKEN")
    except NotRun as error:
        world.note(f"not run: {error}")
        print(f"not run: {error}")
    except asyncio.TimeoutError:
        world.note("not run: the case took too long")
        print("not run: the case took too long")
    finally:
        world.stop()
    print({0: "held", 1: "BROKEN", 2: "not run"}[status])
    sys.stdout.flush()
    os._exit(status)
