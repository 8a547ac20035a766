"""One accepted gang of many small tasks, inside the protocol's limits, stops every controller."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib-2"))
from standins import NotRun, World, now, run_case  # noqa: E402

ZONES = ["lisboa-cave", "porto-torre"]
BUILD = {"label": "estante", "vcpus": 32.0, "accelerators": 0.0, "memGb": 128.0, "cacheGb": 60.0,
         "pullGbPerS": 0.4, "rate": 1.93, "spotPrice": 0.55, "readyS": 15, "rooms": ZONES}
SILENCE_S = 75.0  # kit/more/hunt/LATER.md: without an answer for 75 s a job counts as forgotten
WATCHED_S = 95.0
POLL_S = 5.0  # PROTOCOL: users poll roughly every 5 s


def make_world(folder):
    teams = [{"name": "cartografia", "cpus": 264.0, "cpus_max": 952.0, "gpus": 0.0, "gpus_max": 0.0},
             {"name": "balcao-filiais", "cpus": 216.0, "cpus_max": 640.0, "gpus": 0.0, "gpus_max": 0.0}]
    return World(folder, ZONES, teams, [BUILD], {("estante", ZONES[0], False): 2, ("estante", ZONES[1], False): 1})


async def poll_node(world, ref, node, answered):
    status, _ = await world.poll(ref, [node])
    if status == 200:
        answered.append(now())


async def body(world, trouble):
    await world.start()
    for zone in (ZONES[0], ZONES[0], ZONES[1]):
        await world.cloud.create("estante", zone, False, 0.1)
    small = world.job(None, parts=2, shape="standing", vcpus=1.0, crew="balcao-filiais")
    if not await world.submit(small) or not await world.wait_phase(small["ref"], ["running"], 20):
        raise NotRun("the small job does not run")
    # 30 CPUs and 100 GB in all: within the team's limit, and the machine of that zone has room for it.
    large = world.job(100.0, parts=100000 if trouble else 100, shape="group", vcpus=0.0003, memGb=0.001,
                      imageGb=4.0, room=ZONES[1])
    if not await world.submit(large):
        raise NotRun("the gang was not accepted")
    answered = [now()]
    submitted_at = now()
    while now() - submitted_at < WATCHED_S and now() - answered[-1] <= SILENCE_S:
        asked_at = now()
        await asyncio.gather(*(poll_node(world, small["ref"], node, answered) for node in world.labels))
        await asyncio.sleep(max(0.0, asked_at + POLL_S - now()))
    alive = [label for label, process in world.processes.items() if process.poll() is None]
    silence = max(b - a for a, b in zip(answered, answered[1:] + [now()]))
    world.note(f"processes alive: {alive}; longest time in which no controller answered a question about "
               f"{small['ref']}: {silence:.1f} s (allowed: {SILENCE_S:.0f} s)")
    return silence <= SILENCE_S


run_case(HERE, make_world, body)
