"""Jobs are called off as the state service refuses the leader, and a second later it is out."""

import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
import world as w  # noqa: E402

PIPELINES = int(os.environ.get("PIPELINES", "30"))
OUT_S = float(os.environ.get("OUT_S", "50"))        # longer than cancel_s (44 s)
POLL_S = 5.0                                        # users poll roughly every 5 s


class Gate:
    """The state service as one controller sees it: it can be refused alone."""

    def __init__(self, world, state):
        self.world, self.state, self.refused = world, state, False
        self.server = w.Server(self.handle)

    async def handle(self, method, path, q, body):
        while path == "/changes" and (self.refused or self.state.out):
            await asyncio.sleep(0.02)       # open watches stay open
        if self.refused or self.state.out:
            await asyncio.sleep(0.003)
            return 503, {}
        answer = await self.state.handle(method, path, q, body)
        while path == "/changes" and (self.refused or self.state.out):
            await asyncio.sleep(0.02)
        return answer


async def case(trouble):
    world = w.World(HERE)
    world.make_nodes()
    state = await w.State().start()
    world.cloud = await w.Cloud(world, [w.REGAL_16], {}).start()    # no room: all jobs wait
    gates = [Gate(world, state) for _ in range(3)]
    for i, gate in enumerate(gates):
        await gate.server.start()
        world.start_node(i, gate.server.addr, world.cloud.addr)
    told = {}       # head of a pipeline -> when its user was told that it is cancelled

    async def user(ref, head):
        """Polls a job of the pipeline until it is over."""
        await asyncio.sleep(random.uniform(0.0, POLL_S))
        while True:
            answer = await world.poll(ref)
            now = time.monotonic()
            condition = answer and answer[0] == 200 and answer[1]["condition"]
            late = head in told and now - told[head] > world.settings["cancel_s"]
            if head in told:
                world.record("poll", ref=ref, answer=condition or (answer and answer[0]),
                             after_told=f"{now - told[head]:.2f}")
            if late and condition in ("pending", "running"):
                world.breaks("orphaned", ref=ref, called=condition, cancelled=head,
                             told_s_ago=f"{now - told[head]:.2f}")
            if condition in ("aborted", "done"):
                return
            await asyncio.sleep(POLL_S * random.uniform(0.9, 1.1))

    async def cancel(head, node):
        for _ in range(20):
            answer = await world.cancel(head, node)
            if answer and answer[0] == 200:
                told[head] = time.monotonic()
                return
            await asyncio.sleep(1.0)

    async def work():
        if not await world.healthy():
            return False
        users = []
        for p in range(PIPELINES):
            refs = [f"req-{p:04d}{i:02d}" for i in (1, 2, 3)]
            for i, ref in enumerate(refs):
                job = world.job(ref, vcpus=1.0, ram_gb=1.0, awaits=refs[i - 1:i] if i else None)
                if not await world.submit(job):
                    return False
                if i:
                    users.append(asyncio.create_task(user(ref, refs[0])))
        await asyncio.sleep(3.0)
        leader = state.kv["s/lead"][0]["member"]
        at = next(i for i, n in enumerate(world.nodes) if n.name == leader)
        others = [i for i in range(3) if i != at]
        if trouble:
            gates[at].refused = True
            world.record("the state service refuses the leader", member=leader)
            await asyncio.sleep(0.1)
        heads = [f"req-{p:04d}01" for p in range(PIPELINES)]
        await asyncio.gather(*[cancel(h, others[i % 2]) for i, h in enumerate(heads)])
        if trouble:
            await asyncio.sleep(0.5)
            state.set_out(True)
            world.record("the state service is out")
            await asyncio.sleep(OUT_S)
            state.set_out(False)
            if not os.environ.get("REFUSED_ON"):
                gates[at].refused = False
            world.record("the state service is back")
        else:
            await asyncio.sleep(OUT_S)
        done, pending = await asyncio.wait(users, timeout=15.0)
        for p in pending:
            p.cancel()
        world.record("leader at the end", record=state.kv.get("s/lead"))
        return not pending or bool(world.broken)

    return world, work()


w.main(case, 118.0)
