"""Twenty arrays of the largest size that the pages allow, on the smallest deployment."""
import asyncio
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))
from world import brunnmatt, job, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ARRAYS = 20
LEAVES = 100_000 if TROUBLE else 64
BACK_S = 3.0


async def machine(world, limit_mb, killed):
    """The machine of each controller: over the limit the process is killed, and started again."""
    peak = 0.0
    while True:
        for c in world.controllers:
            used = c.resident_mb()
            if used > peak + 5:
                peak = used
                world.record("memory", member=c.member, resident_mb=round(used, 1))
            if used > limit_mb:
                killed.append((c.member, round(used, 1)))
                world.record("memory-over-limit", member=c.member, resident_mb=round(used, 1),
                             limit_mb=limit_mb)
                c.kill("memory")

                async def back(c=c):
                    await asyncio.sleep(BACK_S)
                    c.launch()

                asyncio.create_task(back())
        await asyncio.sleep(0.1)


async def case(world):
    world.record.brief = True
    await world.start()
    if not await world.ready():
        return 2
    killed = []
    asyncio.create_task(machine(world, world.site["quota"]["mem_mb"], killed))
    shop = job("req-000001", lot="storefront-search", binding="standing", urgency="production",
               leaves=2, spread=True, remainders=False, ram_gb=15.0, reckon_s=0.0, pull_gb=0.8,
               edition="img-shop")
    merge = job("req-000002", leaves=13, reckon_s=5.0)
    for spec in (shop, merge):
        status, _ = await world.submit_until(spec, 20)
        if status != 201:
            return 2

    async def is_done(ref):
        _, condition = await world.poll(world.controllers[0], ref, quiet=True)
        return condition == "done"

    if not await world.until(lambda: is_done("req-000002"), 40):
        return 2
    accepted = 0
    for i in range(ARRAYS):
        spec = job("req-%06d" % (100 + i), lot="auction-backfill", urgency="best_effort",
                   leaves=LEAVES, vcpus=0.25, ram_gb=0.9, reckon_s=4.0, desk="bestand-01")
        nodes = world.controllers[i % 3:] + world.controllers[:i % 3]
        status, _ = await world.submit_until(spec, 20, nodes)
        accepted += status in (200, 201)
        await asyncio.sleep(0.3)
    world.record("arrays-accepted", count=accepted)
    later = job("req-000003", leaves=4, reckon_s=3.0, desk="bestand-02", urgency="high")
    await world.submit_until(later, 20)
    end = time.monotonic() + 35
    while time.monotonic() < end:
        for ref in ("req-000001", "req-000003"):
            for c in world.controllers:
                await world.poll(c, ref)
        await asyncio.sleep(5)
    world.record("summary", accepted=accepted, killed_for_memory=len(killed), which=killed,
                 later_job_started=any("req-000003" in leaf for leaf in world.rules.finished.get(
                     "req-000003", ())), shop_replicas_on=sum(
                     leaf.startswith("req-000001/") for leaf in world.rules.on))
    if accepted < ARRAYS and not killed:
        return 2
    return 1 if killed or world.rules.broken else 0


run_case(case, brunnmatt(), HERE / "record.txt")
