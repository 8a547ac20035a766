"""CPU work waits without end beside free CPUs, because the GPUs of those machines are in use."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib-2"))
from standins import NotRun, World, now, run_case  # noqa: E402

ZONES = ["lisboa-cave", "porto-torre"]
ESTANTE = {"label": "estante", "vcpus": 32.0, "accelerators": 0.0, "memGb": 128.0, "cacheGb": 60.0,
           "pullGbPerS": 0.4, "rate": 1.93, "spotPrice": 0.55, "readyS": 15, "rooms": ZONES}
PRELO = {"label": "prelo", "vcpus": 32.0, "accelerators": 4.0, "memGb": 128.0, "cacheGb": 150.0,
         "pullGbPerS": 1.0, "rate": 14.0, "spotPrice": 3.75, "readyS": 60, "rooms": ZONES}
FACTOR = 2  # the site files' `job_burst` of the GPU class has 2.0 to 2.5
WAIT_S = 90.0  # kit/more/hunt/LATER.md


def make_world(folder):
    teams = [{"name": "digitalizacao", "cpus": 368.0, "cpus_max": 528.0, "gpus": 0.0, "gpus_max": 0.0},
             {"name": "balcao-filiais", "cpus": 216.0, "cpus_max": 640.0, "gpus": 0.0, "gpus_max": 0.0}]
    return World(folder, ZONES, teams, [ESTANTE, PRELO],
                 {("estante", ZONES[0], False): 1, ("prelo", ZONES[0], False): 2, ("prelo", ZONES[1], False): 2})


async def body(world, trouble):
    await world.start()
    await world.cloud.create("estante", ZONES[0], False, 0.1)
    for zone in ZONES * 2:
        await world.cloud.create("prelo", zone, False, 0.1)
    full = world.job(300.0, parts=2, vcpus=16.0, memGb=48.0, builds=["estante"], crew="balcao-filiais")
    if not await world.submit(full) or not await world.wait_phase(full["ref"], ["running"], 20):
        raise NotRun("the first job does not run")
    # Replicas with a GPU each: 8 of the 16 GPUs, in the burst all 16.
    for _ in range(2 * FACTOR if trouble else 2):
        tiles = world.job(None, parts=4, shape="standing", vcpus=6.0, accelerators=1.0, memGb=24.0)
        if not await world.submit(tiles) or not await world.wait_phase(tiles["ref"], ["running"], 20):
            raise NotRun("a GPU job does not run")
    small = world.job(5.0, parts=2, vcpus=1.0, memGb=3.2, rank="low", crew="balcao-filiais")
    if not await world.submit(small):
        raise NotRun("the CPU job was not accepted")
    submitted = now()
    started = []
    while now() - submitted <= WAIT_S and not started:
        await asyncio.sleep(2)
        await world.poll(small["ref"])
        started = [at for at, part, _ in world.starts if part.startswith(small["ref"])]
    for name, machine in sorted(world.cloud.machines.items()):
        worker = machine["worker"]
        world.note(f"{name} ({machine['build']}): in use {worker.used[0]} of {worker.build['vcpus']} CPUs, "
                   f"{worker.used[1]} of {worker.build['accelerators']} GPUs, {worker.used[2]} of "
                   f"{worker.build['memGb']} GB")
    return bool(started)


run_case(HERE, make_world, body)
