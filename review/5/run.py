"""The state service lowers its rate of changes, as its settings announce, while tasks run."""
import asyncio
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))
from world import brunnmatt, job, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
JOBS = 48
LATER = "req-000900"


async def case(world):
    world.record.brief = True
    store = world.store
    await world.start()
    if not await world.ready():
        return 2
    at_once = asyncio.Semaphore(20)

    async def submit(i):
        spec = job("req-%06d" % (100 + i), lot="isbn-pings", vcpus=1.0, ram_gb=3.0,
                   reckon_s=13.0, pull_gb=0.1, desk="bestand-%02d" % (i % 12))
        async with at_once:
            status, _ = await world.submit_until(spec, 20, quiet=True)
            return status in (200, 201)

    if not all(await asyncio.gather(*(submit(i) for i in range(JOBS)))):
        return 2
    if not await world.until(lambda: world.rules.starts >= JOBS, 20):
        return 2
    await asyncio.sleep(1.5)
    if TROUBLE:
        store.lower_limits()
    if not await world.until(lambda: len(world.rules.finished) >= JOBS // 2, 30):
        return 2
    world.record("tasks-are-done", jobs=len(world.rules.finished))
    status, _ = await world.submit_until(job(LATER, leaves=2, vcpus=1.0, ram_gb=3.0, reckon_s=2.0,
                                             pull_gb=0.1, desk="bestand-11"), 20)
    if status != 201:
        return 2
    accepted, started = time.monotonic(), None
    term = lambda: (store.keys.get("s/term") or [{}])[0].get("term")  # noqa: E731
    first_term = term()
    while time.monotonic() < accepted + 91:
        if any(leaf.startswith(LATER) for leaf in world.rules.on) or LATER in world.rules.finished:
            started = started or time.monotonic()
        done = 0
        for i in range(0, JOBS, 8):
            _, condition = await world.poll(world.controllers[i % 3], "req-%06d" % (100 + i),
                                            quiet=True)
            done += condition == "done"
        _, condition = await world.poll(world.controllers[0], LATER, quiet=True)
        room = sum(m.condition == "running" and sum(
            a.spec["vcpus"] for a in m.attempts.values() if a.state != "ended") <= 15
            for m in world.cloud.machines.values())
        world.record("asked", called_done=done, of=len(range(0, JOBS, 8)), later=condition,
                     jobs_with_all_tasks_done=len(world.rules.finished), machines_with_room=room,
                     refused_429=store.limited, changes_left=round(store.tokens["write_rps"]),
                     leader=store.leader(), term=term())
        if started and done == len(range(0, JOBS, 8)) and not TROUBLE:
            break
        await asyncio.sleep(3)
    world.record("summary", later_started=started is not None, called_done=done, of=len(range(0, JOBS, 8)),
                 jobs_with_all_tasks_done=len(world.rules.finished),
                 refused_429=store.limited, same_leader=term() == first_term)
    if started is None and room:
        return 1
    return 1 if world.rules.broken else 0


site = brunnmatt(boot_s=1.5)
site["state"]["next"] = {"write_rps": 30.0}
run_case(case, site, HERE / "record.txt")
