import asyncio
import os
import sys
import time

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from standins import Client, Cloud, Controllers, Jobs, StateService, Worker, free_ports, job, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
EARLY = os.environ.get("EARLY") == "1"  # hold the command before the number passes 2^20: then the rule holds
HELD_S = 12.0           # a direct command is held up 2 to 16 s (LATER, `late_commands`)
AT_START = 419          # one-task jobs of the guests at the start
ESTANTES = 24
ARRIVE_PER_S = 4.0      # and four a second from then on,
BURST, BURST_S = 3, 60  # three times as often for the first minute
ZONES = ["lisboa-cave", "porto-torre"]
TIMES = {"report_s": 2.5, "lease_s": 16.0}
BUILDS = [{"label": "estante", "vcpus": 32, "accelerators": 0, "memGb": 128, "cacheGb": 200, "pullGbPerS": 1.0,
           "rate": 1.93, "spotPrice": 0.55, "readyS": 15, "rooms": ZONES},
          {"label": "prelo", "vcpus": 32, "accelerators": 4, "memGb": 128, "cacheGb": 200, "pullGbPerS": 1.0,
           "rate": 14, "spotPrice": 3.75, "readyS": 60, "rooms": ZONES}]
SETTINGS = """[cluster]
initial_size = 3
zones = ["lisboa-cave", "porto-torre"]
skew_ms = 5.0

[[cluster.teams]]
name = "digitalizacao"
cpus = 368.0
cpus_max = 528.0
gpus = 0.0
gpus_max = 0.0

[[cluster.teams]]
name = "cartografia"
cpus = 264.0
cpus_max = 952.0
gpus = 0.0
gpus_max = 0.0

[[cluster.teams]]
name = "universidade-coimbra"
cpus = 0.0
cpus_max = 4.0
gpus = 0.0
gpus_max = 0.0

[cluster.workers]
report_s = 2.5
lease_s = 16.0
gang_wait_s = 30.0
gang_peer_s = 8.0
cancel_s = 41.0

[cluster.state]
rps = 500.0
write_rps = 180.0
value_kb = 16.0
txn_ops = 12

[cluster.cloud]
rps = 6.0
list_lag_s = 5.0

[cluster.limits]
cpu_share = 0.448
mem_mb = 258.0
fd_limit = 4010
"""


class Users:
    def __init__(self, controllers, jobs, record):
        self.jobs, self.record = jobs, record
        self.clients = [Client(n[1]) for n in controllers.nodes]
        self.count = self.accepted = 0

    async def submit(self, crew, run_s, say=False, **fields):
        self.count += 1
        spec = self.jobs.upload(job("run-%06d" % self.count, crew, guess_s=run_s, **fields), run_s)
        for attempt in range(10):
            client = Client(self.clients[(self.count + attempt) % 3].port)
            status, answer = await client.request("POST", "/work", spec, 5.0)
            client.close()
            if say:
                self.record("%s submitted: %s %s" % (spec["ref"], status or "no response", answer))
            if status in (200, 201):
                self.accepted += 1
                return spec["ref"]
            await asyncio.sleep(1.0)
        return None


def ran_twice(events, record):
    """Tasks that started on one machine while they were on another."""
    on, broken = {}, False
    for at, what, part, attempt, host in sorted(events, key=lambda e: e[0]):
        hosts = on.setdefault(part, set())
        if what == "off":
            hosts.discard(host)
            continue
        if hosts - {host}:
            broken = True
            record("BROKEN ran_twice: task %s starts on %s at %.3f (try %d) while it is on %s"
                   % (part, host, at - record.started, attempt, ", ".join(hosts - {host})))
        hosts.add(host)
    return broken


async def main(record, folder):
    ports = free_ports(2 + ESTANTES + 2)
    state, cloud, jobs, events = StateService(500, 180), Cloud(BUILDS, record), Jobs(), []
    await state.start(ports[0])
    await cloud.start(ports[1])
    controllers = Controllers(record, folder, SETTINGS, ZONES, ports[0], ports[1])
    loops = []
    try:
        for i in range(3):
            controllers.start(i)
        for i in range(3):
            if not await controllers.ready(i):
                return 2
        workers = []
        for i in range(ESTANTES + 2):
            prelo = i >= ESTANTES
            worker = Worker("n-%06d" % (i + 1), ports[2 + i], "prelo" if prelo else "estante", ZONES[i % 2],
                            (32, 4 if prelo else 0, 128), controllers.nodes, TIMES, jobs, record, events,
                            quiet=not prelo)
            cloud.workers[worker.host] = worker
            workers.append(worker)
            await worker.start()
        prelos = workers[ESTANTES:]
        users = Users(controllers, jobs, record)

        def number():
            return max(w.baton & 0xFFFFF for w in workers)

        async def steadily(period, crew, run_s, until, **fields):
            due = time.monotonic()
            while not until():
                due += period()
                await users.submit(crew, run_s, **fields)
                await asyncio.sleep(max(0.0, due - time.monotonic()))

        record("short tasks of cartografia keep the estante machines busy; the guests' one-task jobs wait for their "
               "team's limit: %d at the start, then %.0f a second, %d times as many for %d s"
               % (AT_START, ARRIVE_PER_S, BURST, BURST_S))
        for _ in range(20):
            await users.submit("cartografia", 8.0, parts=250, vcpus=2.0, builds=["estante"])
        await asyncio.gather(*[users.submit("universidade-coimbra", 150.0, vcpus=4.0, builds=["estante"],
                                            rank="low") for _ in range(AT_START)])
        record("%d jobs accepted" % users.accepted)
        burst_until = record.now() + BURST_S
        loops.append(asyncio.ensure_future(steadily(
            lambda: 1 / ARRIVE_PER_S / (BURST if record.now() < burst_until else 1), "universidade-coimbra", 150.0,
            lambda: False, vcpus=4.0, builds=["estante"], rank="low")))
        # Tasks of digitalizacao run on the prelo machines from time to time.
        loops.append(asyncio.ensure_future(steadily(lambda: 4.0, "digitalizacao", 1.0, lambda: number() > 900000,
                                                    accelerators=1.0, builds=["prelo"])))
        last = -100.0
        while not (EARLY and number() > 20000) and not any(w.dropped for w in workers[:ESTANTES]):
            if record.now() > 100:
                record("no token has gone back: highest number %d" % number())
                return 2
            if record.now() - last >= 5:
                last = record.now()
                record("highest token %d (number %d of its term), %d tasks started, %d jobs accepted" % (
                    max(w.baton for w in workers), number(), sum(e[1] == "on" for e in events), users.accepted))
            await asyncio.sleep(0.1)
        if not EARLY:
            record("a controller's answer carried a lower token than one before it")
        for w in prelos:
            record("%s: highest token seen %d, tasks %s" % (w.host, w.baton, list(w.tasks)))
        if TROUBLE:
            for w in prelos:
                w.hold_next_launch = HELD_S
        ref = await users.submit("digitalizacao", 60.0, say=True, accelerators=1.0, builds=["prelo"])
        until = record.now() + HELD_S + 12.0
        while record.now() < min(until, 112.0):
            await asyncio.sleep(0.05)
            if sum(any(k[0] == ref + "/0" and t["phase"] == "running" for k, t in w.tasks.items())
                   for w in prelos) == 2:
                break
            held = [w for w in prelos if w.held]
            if held:
                for w in prelos:
                    w.hold_next_launch = 0.0
        for w in workers:
            record("%s: highest token %d, session %d, answers dropped %d, tasks %d" % (
                w.host, w.baton, w.watch, w.dropped, len(w.tasks)))
        record("%s on: %s" % (ref, [w.host for w in workers if any(
            k[0] == ref + "/0" and t["phase"] == "running" for k, t in w.tasks.items())]))
        for i, p in enumerate(controllers.processes):
            record("controller c-%d: %s" % (i, "runs" if p.poll() is None else "ended"))
        return 1 if ran_twice(events, record) else 0
    finally:
        for loop in loops:
            loop.cancel()
        controllers.stop_all()
        for i in range(3):
            with open(os.path.join(folder, "c-%d.log" % i), errors="replace") as f:
                for line in f.read().splitlines()[-6:]:
                    record("log of c-%d: %s" % (i, line))


run_case(main, HERE)
