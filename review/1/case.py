"""A launch in the answer to a report is held up while direct commands go through."""

import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
import world as w  # noqa: E402

HELD_S = float(os.environ.get("HELD_S", "3.0"))      # below the 4 s after which a worker drops an answer
COMMAND_S = float(os.environ.get("COMMAND_S", "0.2"))  # each way, also without the disruption


class World(w.World):
    trouble = True
    shaky = None

    async def worker_hook(self, worker):
        if not worker.spot:
            return
        self.shaky = worker
        down = (lambda: HELD_S) if self.trouble else (lambda: 0.0)
        worker.nodes = [(name, (await w.Proxy(addr, down=down).start()).addr)
                        for name, addr in worker.nodes]
        proxy = w.Proxy(worker.addr, up=lambda: COMMAND_S, down=lambda: COMMAND_S)
        worker.addr = (await proxy.start()).addr

    def behaviour(self, worker, job, leaf):
        if worker.faulty:
            return True, 0.2
        return super().behaviour(worker, job, leaf)


async def until(condition, seconds):
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > end:
            return False
        await asyncio.sleep(0.1)
    return True


async def case(trouble):
    world = World(HERE)
    world.trouble = trouble
    world.make_nodes()
    state = await w.State().start()
    world.cloud = await w.Cloud(
        world, [w.REGAL_16], {("regal-16", "zurich-a", True): 1,
                              ("regal-16", "zurich-a", False): 1,
                              ("regal-16", "zurich-b", False): 1}).start()
    for i in range(3):
        world.start_node(i, state.addr, world.cloud.addr)

    async def work():
        if not await world.healthy():
            return False
        # One cheap machine, with a long task, and an ordinary one in each zone.
        long = world.job("req-000001", vcpus=1.0, ram_gb=1.0, reckon_s=300.0)
        service = world.job("req-000002", lot="storefront-search", binding="standing",
                            urgency="production", remainders=False, leaves=2, spread=True,
                            vcpus=1.0, ram_gb=1.0)
        if not await world.submit(long) or not await until(
                lambda: world.on.get("req-000001/0"), 30.0):
            return False
        if not await world.submit(service) or not await until(
                lambda: world.on.get("req-000002/0") and world.on.get("req-000002/1"), 30.0):
            return False
        # From now on what starts on the cheap machine fails, and small jobs come.
        world.shaky.faulty = True
        world.record("machine faulty", machine=world.shaky.name)
        number, end = 3, time.monotonic() + 75.0
        while time.monotonic() < end and not world.broken:
            job = world.job(f"req-{number:06d}", vcpus=0.1, ram_gb=0.2, reckon_s=60.0)
            asyncio.create_task(world.submit(job))
            number += 1
            await asyncio.sleep(random.uniform(0.0, 0.5))
        await asyncio.sleep(2.0)
        return True

    return world, work()


w.main(case)
