"""A leader that lost its office deletes machines on which the next leader's tasks run."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib-2"))
from standins import HttpClient, NotRun, World, now, run_case  # noqa: E402

ZONES = ["lisboa-cave", "porto-torre"]
BUILD = {"label": "estante", "vcpus": 32.0, "accelerators": 0.0, "memGb": 128.0, "cacheGb": 60.0,
         "pullGbPerS": 0.4, "rate": 1.93, "spotPrice": 0.55, "readyS": 5, "rooms": ZONES}
CUT_S = 45.0  # the site files cut a controller from the state service for 40 to 50 s


def make_world(folder):
    team = {"name": "cartografia", "cpus": 264.0, "cpus_max": 952.0, "gpus": 0.0, "gpus_max": 0.0}
    return World(folder, ZONES, [team], [BUILD], {("estante", zone, False): 8 for zone in ZONES})


async def body(world, trouble):
    await world.start()
    for zone in ZONES * 2:
        await world.cloud.create("estante", zone, False, 0.1)
    old = await world.wait_leader()
    if not old:
        raise NotRun("no leader")
    # Four tasks that fill the machines that are there, then as many again: the next leader has to rent.
    first = world.job(None, parts=4, shape="standing", vcpus=30.0)
    if await world.submit(first) != 201 or not await world.wait_phase(first["ref"], ["running"], 20):
        raise NotRun("the first job does not run")
    others = [label for label in world.labels if label != old]
    cut_at = now()
    if trouble:
        world.cut(old, True)
        new = await world.wait_leader(other_than=old)
        if not new:
            raise NotRun("no other leader")
    else:
        await asyncio.sleep(4)
        new = old
    second = world.job(None, parts=4, shape="standing", vcpus=30.0)
    if await world.submit(second, others) != 201:
        raise NotRun("the second job was not accepted")
    while now() - cut_at < CUT_S:
        await asyncio.sleep(2)
        await world.poll(second["ref"], others)
    if trouble:
        world.cut(old, False)
    await asyncio.sleep(10)
    stale = [entry for entry in world.cloud.deletions if entry[1] == old and world.leader_at(entry[0]) != old]
    for at, label, name in stale:
        world.note(f"broken: {label} deleted {name} at {at - world.started:.2f}, when "
                   f"{world.leader_at(at)} was the leader")
    return not stale


run_case(HERE, make_world, body)
