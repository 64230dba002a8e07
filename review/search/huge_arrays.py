"""Huge arrays are accepted until the controllers that lead end for memory (no case: REPORT.md).

    CASE_FOLDER=FOLDER python3 -B review/search/huge_arrays.py
"""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
import world as w  # noqa: E402

ARRAYS = int(os.environ.get("ARRAYS", "18"))
LEAVES = int(os.environ.get("LEAVES", "100000"))    # PROTOCOL: at most 100,000
MEMORY = 72 * 1024 * 1024                           # mem_mb = 72


async def case(trouble):
    world = w.World(HERE)
    world.ends = 0
    world.make_nodes()
    state = await w.State().start()
    capacity = {("regal-16", z, s): 7 for z in ("zurich-a", "zurich-b") for s in (True, False)}
    world.cloud = await w.Cloud(world, [w.REGAL_16], capacity).start()
    for i in range(3):
        world.start_node(i, state.addr, world.cloud.addr)

    def resident(i):
        with open(f"/proc/{world.nodes[i].process.pid}/statm") as f:
            return int(f.read().split()[1]) * 4096

    stop = asyncio.Event()

    async def restart(i):
        await asyncio.sleep(3.0)
        world.nodes[i].killed = False
        world.start_node(i, state.addr, world.cloud.addr)

    async def platform():
        """A process over its memory limit is killed and started again."""
        while not stop.is_set():
            await asyncio.sleep(0.02)
            for i, node in enumerate(world.nodes):
                if node.process.poll() is None:
                    held = resident(i)
                    if held > MEMORY:
                        world.ends += 1
                        world.record("over its memory", member=node.name, held=held)
                        node.killed = True
                        world.signal_node(i, signal.SIGKILL)
                        asyncio.create_task(restart(i))

    async def wait(condition, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end and not condition():
            await asyncio.sleep(0.1)
        return condition()

    async def work():
        if not await world.healthy():
            return False
        asyncio.create_task(platform())
        search = world.job("req-000001", lot="storefront-search", binding="standing",
                           urgency="production", remainders=False, leaves=2, spread=True,
                           ram_gb=15.0, pull_gb=1.8, reckon_s=0.0)
        if not await world.submit(search) or not await wait(
                lambda: world.on.get("req-000001/0") and world.on.get("req-000001/1"), 30.0):
            return False
        for n in range(ARRAYS if trouble else 0):
            array = world.job(f"req-{100 + n:06d}", lot="auction-backfill", urgency="best_effort",
                              leaves=LEAVES, vcpus=0.25, ram_gb=0.9, reckon_s=4.0)
            if not await world.submit(array):
                return False
            await asyncio.sleep(0.5)
        await asyncio.sleep(5.0)
        merge = world.job("req-000002", leaves=4, reckon_s=20.0)
        accepted = await world.submit(merge)
        await wait(lambda: all(f"req-000002/{i}" in world.results for i in range(4)), 50.0)
        done = sum(f"req-000002/{i}" in world.results for i in range(4))
        up = sum(bool(world.on.get(f"req-000001/{i}")) for i in range(2))
        world.record("after 50 s", merge_tasks_done=done, replicas_up=up, memory_ends=world.ends)
        if world.ends >= 3 and accepted and done < 4:
            world.breaks("ends_for_memory", ends=world.ends, merge_tasks_done=done,
                         replicas_up=up)
        stop.set()
        return True

    return world, work()


w.main(case, 118.0)
