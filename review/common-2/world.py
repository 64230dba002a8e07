"""Stand-ins for the state service, the cloud, the workers and the users, as PROTOCOL describes
them, and the controllers as separate processes. A check of the protocol's rules runs beside."""
import asyncio
import bisect
import ctypes
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections import deque
from pathlib import Path

import mp
from net import Client, Drop, serve

ROOT = Path(__file__).resolve().parents[2]


def json_size(value):
    return len(json.dumps(value, separators=(",", ":"), ensure_ascii=False).encode())


class Record:
    """What was sent, answered and run. With `brief`, events of single tasks are written as counts
    by machine and job, twice a second."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w")
        self.brief = False
        self.counts = {}
        self.counted_at = 0.0

    def task(self, kind, leaf, machine, **fields):
        if not self.brief:
            return self(kind, leaf=leaf, machine=machine, **fields)
        key = (kind, leaf.rpartition("/")[0], machine)
        self.counts[key] = self.counts.get(key, 0) + 1
        now = time.monotonic()
        if now > self.counted_at + 0.5:
            self.counted_at = now
            counts, self.counts = self.counts, {}
            for (kind, ref, name), count in counts.items():
                self("tasks-" + kind, job=ref, machine=name, count=count)

    def __call__(self, kind, **fields):
        at = time.monotonic() - self.start
        text = " ".join("%s=%s" % (k, v) for k, v in fields.items())
        self.file.write("%8.3f %s %s\n" % (at, kind, text))
        self.file.flush()


# ---------------------------------------------------------------------------- state service


class Store:
    def __init__(self, limits, record):
        self.limits = limits
        self.record = record
        self.keys = {}
        self.revision = 0
        self.log = deque(maxlen=10_000)
        self.leases = {}
        self.next_lease = 1
        self.changed = asyncio.Event()
        self.ports = []
        # Per controller: "ok", "refuse" (503) or "hang" (held back, then executed).
        self.mode = {}
        self.released = {}
        # async hook(node, method, target, body, execute) -> (status, body), or None.
        self.hook = None
        now = time.monotonic()
        self.tokens = {"rps": limits["rps"], "write_rps": limits["write_rps"]}
        self.filled = now
        self.latency = 0.004
        self.limited = 0

    async def start(self, nodes):
        for node in range(nodes):
            self.mode[node] = "ok"
            self.released[node] = asyncio.Event()
            self.released[node].set()
            _, port = await serve(lambda m, t, b, node=node: self.handle(node, m, t, b))
            self.ports.append(port)
        asyncio.create_task(self.expire_loop())

    def lower_limits(self):
        """The limits that `state.next` announces are in force from now on."""
        self.record("limits-lowered", **self.limits["next"])
        self.limits = dict(self.limits, **self.limits["next"])
        for name in self.tokens:
            self.tokens[name] = min(self.tokens[name], self.limits[name])

    def set_mode(self, node, mode):
        self.record("state", node=node, mode=mode)
        self.mode[node] = mode
        if mode == "hang":
            self.released[node].clear()
        else:
            self.released[node].set()

    async def expire_loop(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease, (ttl, until) in list(self.leases.items()):
                if now > until:
                    self.end_lease(lease)

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        gone = [k for k, e in self.keys.items() if e[2] == lease]
        if gone:
            self.revision += 1
            for key in gone:
                del self.keys[key]
                self.log.append((self.revision, {"drop": key, "entry_no": self.revision}))
            self.notify()
        return True

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def take(self, what, count):
        now = time.monotonic()
        for name in self.tokens:
            rate = self.limits[name]
            self.tokens[name] = min(rate, self.tokens[name] + (now - self.filled) * rate)
        self.filled = now
        if self.tokens[what] < count:
            self.limited += 1
            return False
        self.tokens[what] -= count
        return True

    async def handle(self, node, method, target, body):
        async def execute():
            return await self.execute(node, method, target, body)

        if self.hook is not None:
            answer = await self.hook(node, method, target, body, execute)
            if answer is not None:
                return answer
        return await execute()

    async def execute(self, node, method, target, body):
        await self.released[node].wait()
        if self.mode[node] == "refuse":
            return 503, b""
        await asyncio.sleep(self.latency * random.uniform(0.5, 1.5))
        if not self.take("rps", 1):
            return 429, b""
        path, _, query = target.partition("?")
        params = dict(p.split("=", 1) for p in query.split("&") if "=" in p)
        if method == "GET" and path == "/kv":
            return 200, mp.pack(self.page(params))
        if method == "GET" and path.startswith("/kv/"):
            key = path[4:]
            entry = self.keys.get(key)
            if entry is None:
                return 404, mp.pack({"ledger_no": self.revision})
            row = {"k": key, "v": entry[0], "entry_no": entry[1]}
            if entry[2] is not None:
                row["loan"] = entry[2]
            return 200, mp.pack(row)
        if method == "GET" and path == "/changes":
            return await self.watch(node, params)
        if method == "POST" and path == "/txn":
            return self.txn(mp.unpack(body))
        if method == "POST" and path == "/holds":
            ttl = mp.unpack(body)["ttl_ms"] / 1000
            lease = self.next_lease
            self.next_lease += 1
            self.leases[lease] = (ttl, time.monotonic() + ttl)
            return 200, mp.pack({"loan": lease})
        if path.startswith("/holds/"):
            lease = int(path.split("/")[2])
            if method == "DELETE":
                return (200 if self.end_lease(lease) else 404), b""
            if lease not in self.leases:
                return 404, b""
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl)
            return 200, b""
        return 400, b""

    def page(self, params):
        under, after = params["under"], params.get("from", "")
        names = sorted(k for k in self.keys if k.startswith(under) and k > after)
        rows, size, most = [], 0, min(int(params.get("most", 1000)), 1000)
        for name in names:
            value, version, _ = self.keys[name]
            size += json_size(value) + len(name) + 40
            if len(rows) >= most or (rows and size > 512 * 1024):
                break
            rows.append({"k": name, "v": value, "entry_no": version})
        return {"rows": rows, "more": len(rows) < len(names), "ledger_no": self.revision}

    async def watch(self, node, params):
        under, after = params["under"], int(params["from"])
        until = time.monotonic() + min(int(params.get("hold_ms", 0)), 60_000) / 1000
        while True:
            changed = self.changed
            # The watch of a refused or cut node waits as in an outage.
            if self.mode[node] == "ok":
                if self.log and len(self.log) == self.log.maxlen and after < self.log[0][0] - 1:
                    return 410, b""
                first = bisect.bisect_right(self.log, after, key=lambda entry: entry[0])
                events = [self.log[i][1] for i in range(first, len(self.log))]
                events = [e for e in events if (e.get("set") or e.get("drop")).startswith(under)]
                if events or time.monotonic() >= until:
                    return 200, mp.pack({"ledger_no": self.revision, "events": events})
            left = max(until - time.monotonic(), 0.02)
            try:
                await asyncio.wait_for(changed.wait(), min(left, 0.5))
            except asyncio.TimeoutError:
                pass

    def txn(self, txn):
        when, then = txn.get("when") or [], txn.get("then") or []
        limits = self.limits
        if (len(then) > limits["txn_ops"] or len(when) > 4 * limits["txn_ops"]
                or json_size(txn) > 64 * 1024):
            return 400, mp.pack({"error": "too large"})
        for change in then:
            if "set" in change and json_size(change["v"]) > limits["value_kb"] * 1024:
                return 400, mp.pack({"error": "value too large"})
        if then and not self.take("write_rps", len(then)):
            return 429, b""
        if any(c.get("loan") is not None and c["loan"] not in self.leases for c in then):
            return 400, mp.pack({"error": "no such lease"})
        failed = [c["k"] for c in when
                  if (self.keys[c["k"]][1] if c["k"] in self.keys else 0) != c["entry_no"]]
        if failed:
            return 409, mp.pack({"failed": failed, "ledger_no": self.revision})
        if then:
            self.revision += 1
            for c in then:
                if "set" in c:
                    self.keys[c["set"]] = (c["v"], self.revision, c.get("loan"))
                    event = {"set": c["set"], "v": c["v"], "entry_no": self.revision}
                else:
                    if c["drop"] not in self.keys:
                        continue
                    del self.keys[c["drop"]]
                    event = {"drop": c["drop"], "entry_no": self.revision}
                self.log.append((self.revision, event))
            self.notify()
        return 200, mp.pack({"ledger_no": self.revision})

    def leader(self):
        entry = self.keys.get("s/lead")
        return entry[0]["member"] if entry else None


# ------------------------------------------------------------------------------------ cloud


class Cloud:
    def __init__(self, world, settings):
        self.world = world
        self.record = world.record
        self.types = settings["types"]
        self.capacity = dict(settings["capacity"])
        self.boot_s = settings.get("boot_s", 2.0)
        self.rps = settings["rps"]
        self.list_lag_s = settings["list_lag_s"]
        self.requests = {}
        self.machines = {}
        self.next = 1
        self.history = deque()
        self.mode = "ok"
        self.hook = None
        self.ports = []

    async def start(self, nodes):
        for node in range(nodes):
            _, port = await serve(lambda m, t, b, node=node: self.handle(node, m, t, b))
            self.ports.append(port)
        asyncio.create_task(self.snapshots())

    async def snapshots(self):
        while True:
            now = time.monotonic()
            self.history.append((now, self.listing(now)))
            while len(self.history) > 1 and self.history[1][0] <= now - self.list_lag_s:
                self.history.popleft()
            await asyncio.sleep(0.25)

    def listing(self, now):
        return [{"ref": m.name, "addr": m.addr, "format": m.format, "room": m.room,
                 "remainders": m.spot, "condition": m.condition,
                 "held_s": round(now - m.rented_at, 1)}
                for m in self.machines.values()]

    async def handle(self, node, method, target, body):
        async def execute():
            return await self.execute(node, method, target, body)

        if self.hook is not None:
            answer = await self.hook(node, method, target, body, execute)
            if answer is not None:
                return answer
        return await execute()

    async def execute(self, node, method, target, body):
        await asyncio.sleep(0.03)
        if self.mode != "ok":
            return 503, mp.pack({"error": "trouble"})
        path, _, query = target.partition("?")
        params = dict(p.split("=", 1) for p in query.split("&") if "=" in p)
        if (method, path) == ("GET", "/flavors"):
            return 200, mp.pack({"formats": self.types})
        if (method, path) == ("GET", "/hosts"):
            rows = [r for r in self.history[0][1] if r["ref"] > params.get("from", "")]
            most = min(int(params.get("most", 500)), 500)
            return 200, mp.pack({"shelves": rows[:most], "more": len(rows) > most})
        if (method, path) == ("POST", "/hosts"):
            return await self.rent(mp.unpack(body))
        if (method, path) == ("POST", "/hosts/delete"):
            names = mp.unpack(body)["shelves"]
            self.record("cloud-delete", node=node, names=",".join(names))
            for name in names[:100]:
                self.remove(name)
            return 200, b""
        return 400, b""

    async def rent(self, request):
        note = request["hire_note"]
        if note in self.requests:
            return 200, mp.pack({"shelves": self.requests[note]})
        place = (request["format"], request["room"], request["remainders"])
        count = min(request["count"], 50, self.capacity.get(place, 0))
        if count <= 0:
            return 503, mp.pack({"error": "no capacity"})
        self.capacity[place] -= count
        names = []
        for _ in range(count):
            name = "host-%06d" % self.next
            self.next += 1
            machine = Worker(self.world, name, *place)
            await machine.listen()
            self.machines[name] = machine
            boot = self.boot_s * random.uniform(0.6, 1.5)
            machine.task = asyncio.create_task(machine.run(boot))
            names.append(name)
        self.requests[note] = names
        self.record("cloud-rent", note=note, format=place[0], room=place[1], spot=place[2],
                    names=",".join(names))
        return 200, mp.pack({"shelves": names})

    def remove(self, name):
        machine = self.machines.pop(name, None)
        if machine:
            self.capacity[(machine.format, machine.room, machine.spot)] += 1
            machine.end()


# ---------------------------------------------------------------------------------- workers


class Attempt:
    __slots__ = ("leaf", "printing", "state", "why", "since", "left", "ready_at", "spec")

    def __init__(self, leaf, printing, spec):
        self.leaf, self.printing, self.spec = leaf, printing, spec
        self.state, self.why = "pulling", None
        self.since = self.left = self.ready_at = None

    def status(self):
        out = {"leaf": self.leaf, "printing": self.printing, "condition": self.state}
        if self.why is not None:
            out["colophon"] = self.why
        return out


class Worker:
    """One machine and the worker on it."""

    def __init__(self, world, name, format, room, spot):
        self.world, self.record = world, world.record
        self.name, self.format, self.room, self.spot = name, format, room, spot
        self.kind = next(t for t in world.cloud.types if t["name"] == format)
        self.rented_at = time.monotonic()
        self.condition = "starting"
        self.tenure, self.folio, self.seal = 1, 0, 0
        self.attempts = {}
        self.images = {}
        self.lease_from = None
        self.node = random.randrange(len(world.controllers))
        self.client = None
        self.notice_at = None
        self.alive = True
        self.hung = False
        self.mute = False      # its reports reach no controller
        self.deaf = False      # answers and commands to it are lost
        self.change = asyncio.Event()
        self.server = None
        self.addr = None
        self.last_report = 0.0
        self.refused = False   # its latest report was answered 413

    async def listen(self):
        self.server, port = await serve(self.commands)
        self.addr = "127.0.0.1:%d" % port

    def end(self):
        self.alive = False
        self.condition = "gone"
        alive = [a for a in self.attempts.values() if a.state != "ended"]
        if self.refused and alive:
            replicas = sum(a.spec["binding"] == "standing" for a in alive)
            self.world.deleted_while_refused.append(len(alive))
            self.world.replicas_killed += replicas
            self.record("deleted-while-refused", name=self.name, killed=len(alive),
                        replicas=replicas)
        for attempt in list(self.attempts.values()):
            self.world.rules.left(self, attempt)
        self.attempts = {}
        if self.task:
            self.task.cancel()
        if self.server:
            self.server.close()
        self.record("machine-gone", name=self.name)

    def body(self):
        self.folio += 1
        left = None
        if self.notice_at is not None:
            left = max(self.notice_at - time.monotonic(), 0.0)
        return {"shelf": self.name, "addr": self.addr, "format": self.format, "room": self.room,
                "remainders": self.spot, "tenure": self.tenure, "folio": self.folio,
                "seal": self.seal, "recall_s": left,
                "leaves": [a.status() for a in self.attempts.values()]}

    async def run(self, boot):
        await asyncio.sleep(boot)
        self.condition = "running"
        self.lease_from = time.monotonic()
        self.record("machine-up", name=self.name, format=self.format, room=self.room,
                    spot=self.spot)
        ticker = asyncio.create_task(self.ticks())
        try:
            await self.reports()
        finally:
            ticker.cancel()
            if self.client:
                self.client.close()

    async def ticks(self):
        while self.alive:
            await asyncio.sleep(0.05)
            if not self.hung:
                self.advance()

    def advance(self):
        now = time.monotonic()
        lease = self.world.timing["lease_s"]
        if now > self.lease_from + lease:
            alive = [a for a in self.attempts.values() if a.state != "ended"]
            replicas = sum(a.spec["binding"] == "standing" for a in alive)
            self.world.leases_lost.append(len(alive))
            self.world.replicas_killed += replicas
            self.record("lease-over", name=self.name, tenure=self.tenure, killed=len(alive),
                        replicas=replicas)
            for attempt in list(self.attempts.values()):
                self.world.rules.left(self, attempt)
            self.attempts = {}
            self.tenure += 1
            self.folio = 0
            self.lease_from = now
            self.change.set()
        for attempt in list(self.attempts.values()):
            if attempt.state == "pulling" and now >= attempt.ready_at:
                attempt.state, attempt.since = "running", now
                self.world.rules.started(self, attempt)
                run = self.world.run_time(attempt)
                attempt.left = run
                self.change.set()
            elif (attempt.state == "running" and attempt.left is not None
                  and now >= attempt.since + attempt.left):
                self.finish(attempt, self.world.outcome(attempt))

    def finish(self, attempt, why):
        self.world.rules.left(self, attempt)
        attempt.state, attempt.why = "ended", why
        if why == "done":
            self.world.rules.done(self, attempt)
        self.change.set()

    async def reports(self):
        world = self.world
        while self.alive:
            # A hanging machine sends nothing.
            while self.hung:
                await asyncio.sleep(0.05)
            pause = world.timing["report_s"] * random.uniform(0.75, 1.25)
            try:
                await asyncio.wait_for(self.change.wait(), pause)
                wait = self.last_report + 0.5 - time.monotonic()
                if wait > 0:
                    await asyncio.sleep(wait)
            except asyncio.TimeoutError:
                pass
            while self.hung:
                await asyncio.sleep(0.05)
            self.change.clear()
            await self.report()

    async def report(self):
        world = self.world
        sent, tenure = time.monotonic(), self.tenure
        self.last_report = sent
        body = self.body()
        node = self.node
        status, answer = None, b""
        if not self.mute:
            controller = world.controllers[node]
            if self.client is None:
                self.client = Client("127.0.0.1", controller.worker_port)
            try:
                status, _, answer = await self.client.call("POST", "/checkin", body, 4.0)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
                status = None
        else:
            await asyncio.sleep(1.0)
        if status is not None:
            self.refused = status == 413 or (self.refused and status != 200)
        if status == 413:
            world.refused += 1
            ended = sum(a.state == "ended" for a in self.attempts.values())
            self.record("report-refused", name=self.name, node=node, status=status,
                        listed=len(self.attempts), ended=ended, json_bytes=json_size(body),
                        msgpack_bytes=len(mp.pack(body)))
        if self.deaf:
            status = None
            await asyncio.sleep(max(0.0, sent + 4.0 - time.monotonic()))
        while self.hung:
            await asyncio.sleep(0.05)
        if status == 200 and time.monotonic() - sent <= 4.0:
            if self.tenure == tenure:
                self.answered(mp.unpack(answer), sent)
            return
        clerk = None
        if status == 421:
            try:
                clerk = mp.unpack(answer).get("clerk")
            except (ValueError, IndexError):
                pass
        if self.client:
            self.client.close()
            self.client = None
        target = world.member_index(clerk)
        if target is not None and target != node:
            self.node = target
            await asyncio.sleep(random.uniform(0, 0.5))
        else:
            self.node = (node + 1) % len(world.controllers)
            await asyncio.sleep(1.0)
        self.change.set()

    def answered(self, answer, sent):
        seal = answer.get("seal")
        if seal is None or seal < self.seal:
            return
        if seal > self.seal:
            self.seal = seal
            self.change.set()
        self.lease_from = max(self.lease_from, sent)
        self.world.rules.told(self, answer.get("slips") or [], "answer")
        self.execute(answer.get("slips") or [])

    async def commands(self, method, target, body):
        if self.deaf or not self.alive:
            await asyncio.sleep(30)
            raise Drop
        while self.hung:
            await asyncio.sleep(0.05)
        if target == "/inspect":
            return 200, mp.pack(self.body())
        if len(body) > 64 * 1024:
            self.record("orders-over-limit", name=self.name, bytes=len(body))
            return 413, b""
        order = mp.unpack(body)
        if order.get("seal") is None or order.get("tenure") is None:
            return 400, b""
        if order["seal"] < self.seal or order["tenure"] != self.tenure:
            if order["seal"] > self.seal:
                self.seal = order["seal"]
            return 409, mp.pack(self.body())
        if order["seal"] > self.seal:
            self.seal = order["seal"]
            self.change.set()
        self.world.rules.told(self, order.get("slips") or [], "orders")
        self.execute(order.get("slips") or [])
        answer = mp.pack(self.body())
        if self.world.answers_held_s:
            await asyncio.sleep(self.world.answers_held_s)
        return 200, answer

    def execute(self, slips):
        now = time.monotonic()
        for slip in slips:
            key = (slip["leaf"], slip["printing"])
            attempt = self.attempts.get(key)
            if slip["slip_kind"] == "launch":
                if attempt is None:
                    self.launch(key, now)
            elif slip["slip_kind"] == "stop":
                if attempt and attempt.state != "ended":
                    self.finish(attempt, "halted")
            elif slip["slip_kind"] == "reap":
                if attempt and attempt.state == "ended":
                    del self.attempts[key]
                    self.change.set()

    def launch(self, key, now):
        leaf, printing = key
        ref, _, index = leaf.rpartition("/")
        spec = self.world.uploaded.get(ref)
        attempt = Attempt(leaf, printing, spec)
        self.attempts[key] = attempt
        self.change.set()
        if spec is None or int(index) >= spec["leaves"]:
            attempt.state, attempt.why = "ended", "no_such"
        elif any(a.leaf == leaf and a is not attempt and a.state != "ended"
                 for a in self.attempts.values()):
            attempt.state, attempt.why = "ended", "in_use"
        elif not self.fits(spec, attempt):
            attempt.state, attempt.why = "ended", "no_room"
        else:
            image = spec["edition"]
            ready = self.images.get(image)
            if ready is None:
                ready = now + spec["pull_gb"] / self.kind["pull_gb_per_s"]
                self.images[image] = ready
            attempt.ready_at = max(ready, now)

    def fits(self, spec, attempt):
        for mine, theirs in (("vcpus", "vcpus"), ("accelerators", "accelerators"),
                             ("ram_gb", "ram_gb")):
            used = sum(a.spec[mine] for a in self.attempts.values()
                       if a is not attempt and a.state != "ended")
            if used + spec[mine] > self.kind[theirs] + 1e-6:
                return False
        return True


# ------------------------------------------------------------------------------------ rules


class Rules:
    """The rules of PROTOCOL, as far as the workers and users of a run can see them."""

    def __init__(self, world):
        self.world = world
        self.record = world.record
        self.broken = []
        self.on = {}           # leaf -> {machine: attempt}
        self.starts = 0
        self.finished = {}     # ref -> set of finished leaves
        self.cancelled_at = {}  # ref -> when its user was told
        self.due = []

    def fail(self, rule, **fields):
        self.broken.append((rule, fields))
        self.record("BROKEN", rule=rule, **fields)

    def told(self, worker, slips, how):
        for slip in slips:
            if slip["slip_kind"] != "reap":
                self.record.task(slip["slip_kind"], slip["leaf"], worker.name,
                                 printing=slip["printing"], by=how)

    def started(self, worker, attempt):
        self.starts += 1
        self.record.task("started", attempt.leaf, worker.name, printing=attempt.printing)
        others = [name for name in self.on.get(attempt.leaf, {}) if name != worker.name]
        if others:
            self.fail("ran_twice", leaf=attempt.leaf, machine=worker.name, also_on=others)
        self.on.setdefault(attempt.leaf, {})[worker.name] = attempt
        ref = attempt.leaf.rpartition("/")[0]
        spec = attempt.spec
        told = self.cancelled_at.get(ref)
        if told is not None and time.monotonic() > told + self.world.timing["cancel_s"]:
            self.fail("ran_cancelled", leaf=attempt.leaf, machine=worker.name)
        for need in spec.get("awaits") or []:
            whole = self.world.uploaded[need]["leaves"]
            if len(self.finished.get(need, ())) < whole:
                self.fail("too_early", leaf=attempt.leaf, needs=need)
        if worker.spot and not spec["remainders"]:
            self.fail("wrong_place", leaf=attempt.leaf, why="spot")
        if spec["formats"] is not None and worker.format not in spec["formats"]:
            self.fail("wrong_place", leaf=attempt.leaf, why="format")
        if spec["room"] is not None and worker.room != spec["room"]:
            self.fail("wrong_place", leaf=attempt.leaf, why="room")
        rooms = {}
        for leaf, places in self.on.items():
            if leaf.rpartition("/")[0] == ref:
                for name in places:
                    machine = self.world.cloud.machines.get(name)
                    if machine:
                        rooms[machine.room] = rooms.get(machine.room, 0) + 1
        if spec["same_place"] and len(rooms) > 1:
            self.fail("wrong_place", leaf=attempt.leaf, why="same_place", rooms=rooms)
        if spec["spread"] and rooms.get(worker.room, 0) > (spec["leaves"] + 1) // 2:
            self.fail("wrong_place", leaf=attempt.leaf, why="spread", rooms=rooms)
        team = next((t for t in self.world.teams if t["name"] == spec["desk"]), None)
        if team and team.get("cpus_max", 0) > 0:
            used = sum(a.spec["vcpus"] for places in self.on.values() for a in places.values()
                       if a.spec["desk"] == spec["desk"])
            if used > team["cpus_max"] + 1e-6:
                self.fail("quota", team=team["name"], used=used)

    def left(self, worker, attempt):
        places = self.on.get(attempt.leaf)
        if places and places.get(worker.name) is attempt:
            del places[worker.name]
            if not places:
                del self.on[attempt.leaf]

    def done(self, worker, attempt):
        self.record.task("done", attempt.leaf, worker.name, printing=attempt.printing)
        ref = attempt.leaf.rpartition("/")[0]
        self.finished.setdefault(ref, set()).add(attempt.leaf)

    async def watch_cancelled(self):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for leaf, places in list(self.on.items()):
                ref = leaf.rpartition("/")[0]
                told = self.cancelled_at.get(ref)
                if told is not None and now > told + self.world.timing["cancel_s"]:
                    self.fail("ran_cancelled", leaf=leaf, machines=list(places),
                              after_s=round(now - told, 1))
                    self.cancelled_at.pop(ref)


# ------------------------------------------------------------------------------ controllers


def free_ports(count):
    socks = [socket.socket() for _ in range(count)]
    for s in socks:
        s.bind(("127.0.0.1", 0))
    ports = [s.getsockname()[1] for s in socks]
    for s in socks:
        s.close()
    return ports


def die_with_parent():
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


class Controller:
    def __init__(self, world, index):
        self.world, self.index = world, index
        self.member = "shelfhand-%d" % index
        self.process = None
        self.starts = 0
        self.ended_by_itself = 0

    def launch(self):
        run = tomllib.loads((ROOT / "deploy/service.toml").read_text())["run"].split()
        log = open(self.world.dir / ("%s.log" % self.member), "a")
        env = dict(os.environ, LOG_LEVEL=os.environ.get("CASE_LOG", "info"))
        env.pop("DILLCLEAT_TUNING", None)
        self.process = subprocess.Popen(run + [str(self.settings)], cwd=ROOT, stderr=log,
                                        stdin=subprocess.DEVNULL, env=env,
                                        preexec_fn=die_with_parent)
        log.close()
        self.starts += 1
        self.world.record("controller-start", member=self.member)

    def kill(self, why=""):
        if self.process and self.process.poll() is None:
            self.world.record("controller-kill", member=self.member, why=why)
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
        self.process = None

    def stop(self):
        self.world.record("controller-stop", member=self.member)
        self.process.send_signal(signal.SIGSTOP)

    def cont(self):
        self.world.record("controller-continue", member=self.member)
        self.process.send_signal(signal.SIGCONT)

    def resident_mb(self):
        try:
            for line in open("/proc/%d/status" % self.process.pid):
                if line.startswith("VmRSS"):
                    return int(line.split()[1]) * 1024 / 1e6
        except (OSError, AttributeError):
            pass
        return 0.0


class World:
    def __init__(self, site, record_path, nodes=3):
        self.record = Record(record_path)
        self.site = site
        self.timing = site["workers"]
        self.teams = site["teams"]
        self.dir = Path(tempfile.mkdtemp(prefix="case-"))
        self.uploaded = {}
        self.run_times = {}
        self.fails = set()
        self.store = Store(site["state"], self.record)
        self.controllers = [Controller(self, i) for i in range(nodes)]
        self.cloud = Cloud(self, site["cloud"])
        self.rules = Rules(self)
        # Reports answered 413, the tasks that were on a machine each time a lease was over, and
        # the replicas among them.
        self.refused = 0
        # For how long the answers to direct commands are held up on their way.
        self.answers_held_s = 0.0
        self.leases_lost = []
        self.deleted_while_refused = []
        self.replicas_killed = 0

    def member_index(self, member):
        for c in self.controllers:
            if c.member == member:
                return c.index
        return None

    def run_time(self, attempt):
        if attempt.spec["binding"] == "standing":
            return None
        ref = attempt.leaf.rpartition("/")[0]
        override = self.run_times.get(attempt.leaf, self.run_times.get(ref))
        return override if override is not None else attempt.spec["reckon_s"]

    def outcome(self, attempt):
        return "error" if attempt.leaf.rpartition("/")[0] in self.fails else "done"

    async def start(self, launch=True):
        count = len(self.controllers)
        await self.store.start(count)
        await self.cloud.start(count)
        ports = free_ports(2 * count)
        for c in self.controllers:
            c.port, c.mesh = ports[2 * c.index], ports[2 * c.index + 1]
            c.worker_port = c.port
        for c in self.controllers:
            c.settings = self.dir / ("%s.toml" % c.member)
            c.settings.write_text(self.settings(c))
        asyncio.create_task(self.rules.watch_cancelled())
        if launch:
            for c in self.controllers:
                c.launch()

    def settings(self, controller):
        zones = self.site["node_zones"]
        q = json.dumps
        lines = ["member = %s" % q(controller.member),
                 "site = %s" % q(zones[controller.index % len(zones)]),
                 "client_listen = \"127.0.0.1:%d\"" % controller.port,
                 "mesh_addr = \"127.0.0.1:%d\"" % controller.mesh]
        for other in self.controllers:
            if other is not controller:
                lines += ["", "[[siblings]]", "member = %s" % q(other.member),
                          "site = %s" % q(zones[other.index % len(zones)]),
                          "peer_addr = \"127.0.0.1:%d\"" % other.mesh]
        lines += ["", "[endpoints]",
                  "cloud = \"127.0.0.1:%d\"" % self.cloud.ports[controller.index],
                  "state = \"127.0.0.1:%d\"" % self.store.ports[controller.index],
                  "", "[cluster]", "size = %d" % len(self.controllers),
                  "zones = %s" % q(self.site["zones"]), "clock_error_ms = 250.0"]
        for team in self.teams:
            lines += ["", "[[cluster.teams]]"] + ["%s = %s" % (k, q(v)) for k, v in team.items()]
        for objective in self.site.get("objectives", []):
            lines += ["", "[[cluster.objectives]]"]
            lines += ["%s = %s" % (k, q(v)) for k, v in objective.items()]
        for table in ("workers", "quota"):
            lines += ["", "[cluster.%s]" % table]
            lines += ["%s = %s" % (k, q(v)) for k, v in self.site[table].items()]
        state = {k: v for k, v in self.site["state"].items() if k != "next"}
        lines += ["", "[cluster.state]"] + ["%s = %s" % (k, q(v)) for k, v in state.items()]
        if "next" in self.site["state"]:
            lines += ["", "[cluster.state.next]"]
            lines += ["%s = %s" % (k, q(v)) for k, v in self.site["state"]["next"].items()]
        lines += ["", "[cluster.cloud]", "rps = %s" % q(self.site["cloud"]["rps"]),
                  "list_lag_s = %s" % q(self.site["cloud"]["list_lag_s"])]
        return "\n".join(lines) + "\n"

    def leader(self):
        index = self.member_index(self.store.leader())
        return None if index is None else self.controllers[index]

    async def until(self, condition, timeout):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            value = condition()
            if asyncio.iscoroutine(value):
                value = await value
            if value:
                return value
            await asyncio.sleep(0.05)
        return None

    async def ready(self, timeout=20):
        """Waits until every controller takes requests."""
        for c in self.controllers:
            async def up():
                status, _ = await self.get(c, "/up", quiet=True)
                return status == 200
            if not await self.until(up, timeout):
                return False
        return True

    async def get(self, controller, target, method="GET", body=None, timeout=2.0, quiet=False):
        client = Client("127.0.0.1", controller.port)
        try:
            status, _, answer = await client.call(method, target, body, timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as e:
            status, answer = None, repr(e).encode()
        finally:
            client.close()
        if not quiet:
            shown = answer
            try:
                shown = mp.unpack(answer)
            except Exception:
                pass
            self.record("user", method=method, target=target, node=controller.index,
                        status=status, answer=shown)
        return status, answer

    async def submit(self, controller, spec, timeout=5.0, quiet=False):
        self.uploaded.setdefault(spec["ref"], spec)
        return await self.get(controller, "/v2/runs", "POST", mp.pack(spec), timeout, quiet)

    async def submit_until(self, spec, timeout=60.0, nodes=None, quiet=False):
        """As a user: again after 1 s, at the next node, until it is accepted."""
        nodes = nodes if nodes is not None else self.controllers
        end, i = time.monotonic() + timeout, 0
        while time.monotonic() < end:
            status, answer = await self.submit(nodes[i % len(nodes)], spec, quiet=quiet)
            if status in (200, 201, 400, 422):
                return status, answer
            i += 1
            await asyncio.sleep(1.0)
        return None, b""

    async def poll(self, controller, ref, quiet=False):
        status, answer = await self.get(controller, "/v2/runs/" + ref, quiet=quiet)
        return status, (mp.unpack(answer).get("condition") if status == 200 else None)

    async def abort(self, controller, ref, timeout=5.0):
        status, answer = await self.get(controller, "/v2/runs/%s/abort" % ref, "POST", b"",
                                        timeout)
        condition = mp.unpack(answer).get("condition") if status == 200 else None
        if condition == "aborted":
            self.rules.cancelled_at.setdefault(ref, time.monotonic())
        return status, condition

    def close(self, keep=False):
        for c in self.controllers:
            if c.process and c.process.poll() is None:
                c.process.send_signal(signal.SIGCONT)
            c.kill("end of the run")
        if not keep:
            shutil.rmtree(self.dir, ignore_errors=True)


def job(ref, **fields):
    spec = {"ref": ref, "lot": "catalogue-merge", "desk": "bestand-00", "binding": "batch",
            "urgency": "normal", "leaves": 1, "vcpus": 4.0, "accelerators": 0.0, "ram_gb": 14.0,
            "edition": "img-01", "pull_gb": 0.7, "formats": None, "room": None,
            "same_place": False, "spread": False, "remainders": True, "reckon_s": 10.0,
            "bookmark_s": 0.0, "shelve_s": 0.0, "due_s": None}
    spec.update(fields)
    return spec


def brunnmatt(boot_s=2.0):
    """The settings of kit/sites/brunnmatt-books.toml."""
    rooms = ["basel", "lausanne", "zurich-a", "zurich-b"]
    counts = {"zurich-a": (2, 5), "zurich-b": (2, 5), "basel": (2, 3), "lausanne": (3, 6)}
    capacity = {}
    for room, (ordinary, spot) in counts.items():
        capacity[("regal-16", room, False)] = ordinary
        capacity[("regal-16", room, True)] = spot
    teams = [{"name": "bestand-%02d" % i, "cpus": 32.0, "cpus_max": 72.0, "gpus": 0.0,
              "gpus_max": 0.0} for i in range(12)]
    return {
        "zones": rooms, "node_zones": ["zurich-a", "zurich-b"], "teams": teams,
        "objectives": [
            {"kind": "deadline", "class": "catalogue-merge", "share": 0.9, "times": 1.0},
            {"kind": "wait", "class": "storefront-search", "within_s": 40.0, "share": 0.8},
            {"kind": "guarantee", "within_s": 10.0, "share": 0.8}],
        "workers": {"report_s": 2.0, "lease_s": 14.0, "gang_wait_s": 35.0, "gang_peer_s": 4.0,
                    "cancel_s": 44.0},
        "quota": {"cpu_share": 0.12, "mem_mb": 72.0, "max_connections": 900},
        "state": {"rps": 200.0, "write_rps": 80.0, "value_kb": 16.0, "txn_ops": 48},
        "cloud": {"rps": 2.0, "list_lag_s": 4.0, "capacity": capacity, "boot_s": boot_s,
                  "types": [{"name": "regal-16", "vcpus": 16.0, "accelerators": 0.0,
                             "ram_gb": 64.0, "cache_gb": 80.0, "pull_gb_per_s": 0.8,
                             "rate": 0.92, "low_price": 0.4, "boot_s": 15.0, "rooms": rooms}]},
    }


def rosterwise_grown(boot_s=2.0, machines=8):
    """The settings of kit/next/rosterwise-nz-grown.toml, with fewer machines to give."""
    rooms = ["akl", "wlg", "chc"]
    capacity = {}
    for room in rooms:
        for spot in (False, True):
            capacity[("kete-4", room, spot)] = machines
            if room != "akl":
                capacity[("waka-16", room, spot)] = machines
    return {
        "zones": ["akl", "chc", "wlg"], "node_zones": rooms,
        "teams": [{"name": "mahi", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}],
        "workers": {"report_s": 4.0, "lease_s": 20.0, "gang_wait_s": 50.0, "gang_peer_s": 5.0,
                    "cancel_s": 45.0},
        "quota": {"cpu_share": 0.2, "mem_mb": 136.0, "max_connections": 2500},
        "state": {"rps": 250.0, "write_rps": 100.0, "value_kb": 8.0, "txn_ops": 32},
        "cloud": {"rps": 4.0, "list_lag_s": 10.0, "capacity": capacity, "boot_s": boot_s,
                  "types": [
                      {"name": "kete-4", "vcpus": 4.0, "accelerators": 0.0, "ram_gb": 32.0,
                       "cache_gb": 50.0, "pull_gb_per_s": 0.25, "rate": 0.34, "low_price": 0.09,
                       "boot_s": 15.0, "rooms": rooms},
                      {"name": "waka-16", "vcpus": 16.0, "accelerators": 0.0, "ram_gb": 32.0,
                       "cache_gb": 70.0, "pull_gb_per_s": 0.4, "rate": 1.09, "low_price": 0.3,
                       "boot_s": 35.0, "rooms": ["wlg", "chc"]}]},
    }


def run_case(case, site, record_path, nodes=3, limit_s=118):
    """Runs `case(world)` and ends the process with the exit code that it returns."""

    async def whole():
        world = World(site, record_path, nodes)
        code = 2
        try:
            code = await asyncio.wait_for(case(world), limit_s)
        except BaseException as error:  # noqa: whatever goes wrong, the case could not run
            world.record("could-not-run", error=repr(error))
        finally:
            world.close(keep=bool(os.environ.get("CASE_KEEP")))
        world.record("result", code=code)
        print("%s: %s" % ({0: "held", 1: "broken", 2: "could not run"}[code],
                          world.rules.broken[:3]), flush=True)
        os._exit(code)

    asyncio.run(whole())
