import asyncio
import os
import sys
import time

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from standins import (Client, Cloud, Controllers, Jobs, Raw, StateService, Worker, free_ports, job, pack,  # noqa: E402
                      run_case)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["lisboa-cave", "porto-torre"]
TIMES = {"report_s": 2.5, "lease_s": 16.0}
BUILDS = [{"label": "estante", "vcpus": 32, "accelerators": 0, "memGb": 128, "cacheGb": 200, "pullGbPerS": 1.0,
           "rate": 1.93, "spotPrice": 0.55, "readyS": 15, "rooms": ZONES}]
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

[cluster.workers]
report_s = 2.5
lease_s = 16.0
gang_wait_s = 30.0
gang_peer_s = 8.0
cancel_s = 41.0

[cluster.state]
rps = 200.0
write_rps = 80.0
value_kb = 16.0
txn_ops = 12

[cluster.cloud]
rps = 4.0
list_lag_s = 5.0

[cluster.limits]
cpu_share = 0.2
mem_mb = 104.0
fd_limit = 1800
"""


async def main(record, folder):
    state_port, cloud_port, worker_port = free_ports(3)
    state, cloud, jobs, events = StateService(200, 80), Cloud(BUILDS, record), Jobs(), []
    await state.start(state_port)
    await cloud.start(cloud_port)
    controllers = Controllers(record, folder, SETTINGS, ZONES, state_port, cloud_port)
    try:
        for i in range(3):
            controllers.start(i)
        for i in range(3):
            if not await controllers.ready(i):
                record("controller c-%d is not ready" % i)
                return 2
        worker = Worker("n-000001", worker_port, "estante", ZONES[0], (32, 0, 128), controllers.nodes, TIMES, jobs,
                        record, events)
        cloud.workers[worker.host] = worker
        await worker.start()
        first = jobs.upload(job("run-000001", "digitalizacao", guess_s=3.0), 3.0)
        status, answer = await Client(controllers.nodes[0][1]).request("POST", "/work", first, 5.0)
        record("run-000001 submitted: %s %s" % (status, answer))
        if status not in (200, 201):
            return 2

        # The user's client encodes the image's name in Latin-1 (TROUBLE) or in UTF-8. As PROTOCOL says, it repeats
        # the submission after a connection failure, 1 s later at another node, and not after a 400.
        name = "img-Évora".encode("latin-1" if TROUBLE else "utf-8")
        second = dict(jobs.upload(job("run-000002", "digitalizacao", guess_s=3.0), 3.0))
        second["bundle"] = Raw(name)
        for i in range(3):
            status, answer = await Client(controllers.nodes[i][1]).request("POST", "/work", second, 5.0,
                                                                           raw=pack(second))
            record("run-000002, bundle %r, submitted to c-%d: %s %s" % (name, i, status or "no response", answer))
            await asyncio.sleep(1.0)
            if status in (200, 201, 400, 422):
                break
        until = time.monotonic() + 8
        while time.monotonic() < until:
            await asyncio.sleep(0.5)
        broken = False
        for i, p in enumerate(controllers.processes):
            code = p.poll()
            if code is not None:
                broken = True
                with open(os.path.join(folder, "c-%d.log" % i), encoding="utf-8", errors="replace") as f:
                    last = f.read().strip().splitlines()[-1:]
                record("controller c-%d has ended by itself: status %d, last words: %s" % (i, code, last))
            else:
                status, _ = await Client(controllers.nodes[i][1]).request("GET", "/ready", timeout=1.0)
                record("controller c-%d runs, /ready: %s" % (i, status))
        for i in range(3):
            status, answer = await Client(controllers.nodes[i][1]).request("GET", "/work" + "/" + first["ref"])
            record("run-000001 asked at c-%d: %s %s" % (i, status or "no response", answer))
        return 1 if broken else 0
    finally:
        controllers.stop_all()


run_case(main, HERE)
