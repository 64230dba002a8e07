"""Stand-ins for the platform around the controllers, written for the review.

The state service, the cloud, the workers and a delaying proxy, as PROTOCOL describes them,
on loopback and the real clock, in one asyncio process. The controllers are started as
separate processes with the command of deploy/service.toml.
"""

import asyncio
import ctypes
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


# --- MessagePack -------------------------------------------------------------------------

def pack(v):
    out = bytearray()
    _pack(v, out)
    return bytes(out)


def _pack(v, out):
    if v is None:
        out.append(0xC0)
    elif v is True:
        out.append(0xC3)
    elif v is False:
        out.append(0xC2)
    elif isinstance(v, int):
        if 0 <= v < 128:
            out.append(v)
        elif v >= 0:
            out += b"\xcf" + struct.pack(">Q", v)
        else:
            out += b"\xd3" + struct.pack(">q", v)
    elif isinstance(v, float):
        out += b"\xcb" + struct.pack(">d", v)
    elif isinstance(v, str):
        b = v.encode()
        if len(b) < 32:
            out.append(0xA0 | len(b))
        elif len(b) < 256:
            out += b"\xd9" + bytes([len(b)])
        else:
            out += b"\xdb" + struct.pack(">I", len(b))
        out += b
    elif isinstance(v, (list, tuple)):
        if len(v) < 16:
            out.append(0x90 | len(v))
        else:
            out += b"\xdd" + struct.pack(">I", len(v))
        for x in v:
            _pack(x, out)
    elif isinstance(v, dict):
        if len(v) < 16:
            out.append(0x80 | len(v))
        else:
            out += b"\xdf" + struct.pack(">I", len(v))
        for k, x in v.items():
            _pack(k, out)
            _pack(x, out)
    else:
        raise TypeError(type(v))


def unpack(b):
    v, n = _unpack(b, 0)
    return v


def _unpack(b, i):
    t = b[i]
    i += 1
    if t < 0x80:
        return t, i
    if t >= 0xE0:
        return t - 256, i
    if t < 0x90:
        return _map(b, i, t & 15)
    if t < 0xA0:
        return _list(b, i, t & 15)
    if t < 0xC0:
        n = t & 31
        return b[i:i + n].decode(), i + n
    if t == 0xC0:
        return None, i
    if t == 0xC2:
        return False, i
    if t == 0xC3:
        return True, i
    if t == 0xCA:
        return struct.unpack_from(">f", b, i)[0], i + 4
    if t == 0xCB:
        return struct.unpack_from(">d", b, i)[0], i + 8
    if 0xCC <= t <= 0xCF:
        n = 1 << (t - 0xCC)
        return int.from_bytes(b[i:i + n], "big"), i + n
    if 0xD0 <= t <= 0xD3:
        n = 1 << (t - 0xD0)
        return int.from_bytes(b[i:i + n], "big", signed=True), i + n
    if 0xD9 <= t <= 0xDB:
        w = 1 << (t - 0xD9)
        n = int.from_bytes(b[i:i + w], "big")
        return b[i + w:i + w + n].decode(), i + w + n
    if t in (0xDC, 0xDD):
        w = 2 if t == 0xDC else 4
        return _list(b, i + w, int.from_bytes(b[i:i + w], "big"))
    if t in (0xDE, 0xDF):
        w = 2 if t == 0xDE else 4
        return _map(b, i + w, int.from_bytes(b[i:i + w], "big"))
    raise ValueError(f"byte {t:#x}")


def _list(b, i, n):
    out = []
    for _ in range(n):
        v, i = _unpack(b, i)
        out.append(v)
    return out, i


def _map(b, i, n):
    out = {}
    for _ in range(n):
        k, i = _unpack(b, i)
        v, i = _unpack(b, i)
        out[k] = v
    return out, i


# --- HTTP ---------------------------------------------------------------------------------

REASON = {200: "OK", 201: "Created"}


async def read_message(reader):
    """The start line and the body of a message; None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    length, close = 0, False
    for line in lines[1:]:
        k, _, v = line.partition(":")
        if k.lower() == "content-length":
            length = int(v)
        elif k.lower() == "connection" and v.strip().lower() == "close":
            close = True
    body = await reader.readexactly(length) if length else b""
    return lines[0], body, close


class Server:
    """Serves `handler(method, path, query, body) -> (status, value or bytes)`."""

    def __init__(self, handler):
        self.handler = handler
        self.writers = set()
        self.server = None
        self.addr = None

    async def start(self, host="127.0.0.1"):
        self.server = await asyncio.start_server(self._serve, host, 0, limit=1 << 24, backlog=512)
        h, p = self.server.sockets[0].getsockname()
        self.addr = f"{h}:{p}"
        return self

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, body, close = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                path, _, query = target.partition("?")
                params = dict(p.partition("=")[::2] for p in query.split("&") if p)
                answer = self.handler(method, path, params, body)
                if asyncio.iscoroutine(answer):
                    answer = await answer
                if answer is None:      # no answer: the connection is dropped
                    return
                status, value = answer
                data = value if isinstance(value, bytes) else pack(value)
                writer.write(
                    f"HTTP/1.1 {status} {REASON.get(status, 'Status')}\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
                if close:
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        if self.server:
            self.server.close()
        for w in list(self.writers):
            w.transport.abort()


class Client:
    """One connection to an address, kept open between requests."""

    def __init__(self, addr):
        self.host, port = addr.rsplit(":", 1)
        self.port = int(port)
        self.reader = self.writer = None

    def close(self):
        if self.writer:
            self.writer.transport.abort()
        self.reader = self.writer = None

    async def call(self, method, path, value, timeout):
        """(status, decoded body) or None without an answer."""
        try:
            return await asyncio.wait_for(self._call(method, path, value), timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
            self.close()
            return None

    async def _call(self, method, path, value):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(
                self.host, self.port, limit=1 << 24)
        data = b"" if value is None else pack(value)
        self.writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Type: application/msgpack\r\n"
            f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
        await self.writer.drain()
        line, body, close = await read_message(self.reader)
        if close:
            self.close()
        return int(line.split(" ")[1]), (unpack(body) if body else None)


class Proxy:
    """Forwards connections to `target`. Bytes to and from the target are held for the times
    that `up()` and `down()` return when the bytes arrive, and stay in order."""

    def __init__(self, target, up=lambda: 0.0, down=lambda: 0.0):
        self.target, self.up, self.down = target, up, down
        self.server = self.addr = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=512)
        h, p = self.server.sockets[0].getsockname()
        self.addr = f"{h}:{p}"
        return self

    async def _serve(self, reader, writer):
        host, port = self.target.rsplit(":", 1)
        try:
            up_reader, up_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, up_writer}
        await asyncio.gather(
            self._pump(reader, up_writer, self.up), self._pump(up_reader, writer, self.down))
        self.writers -= {writer, up_writer}

    async def _pump(self, reader, writer, delay):
        queue = asyncio.Queue()

        async def send():
            while True:
                at, data = await queue.get()
                wait = at - time.monotonic()
                if wait > 0:
                    await asyncio.sleep(wait)
                if not data:
                    writer.close()
                    return
                writer.write(data)

        sender = asyncio.create_task(send())
        try:
            while True:
                data = await reader.read(65536)
                queue.put_nowait((time.monotonic() + delay(), data))
                if not data:
                    break
        except ConnectionError:
            queue.put_nowait((time.monotonic(), b""))
        try:
            await sender
        except ConnectionError:
            pass

    def close(self):
        if self.server:
            self.server.close()
        for w in list(self.writers):
            w.transport.abort()


class Bucket:
    """A rate limit with bursts of one second's worth (or `burst_s`)."""

    def __init__(self, rate, burst_s=1.0):
        self.rate, self.size = rate, rate * burst_s
        self.tokens, self.at = self.size, time.monotonic()

    def take(self, n=1.0):
        now = time.monotonic()
        self.tokens = min(self.size, self.tokens + (now - self.at) * self.rate)
        self.at = now
        if self.tokens < n:
            return False
        self.tokens -= n
        return True


# --- The state service --------------------------------------------------------------------

class State:
    def __init__(self, rps=200.0, write_rps=80.0, value_kb=16.0, txn_ops=48):
        self.kv = {}            # key -> [value, version, lease]
        self.revision = 0
        self.leases = {}        # id -> [ttl, until]
        self.next_lease = 1
        self.log = []           # (revision, event)
        self.changed = asyncio.Event()
        self.requests, self.writes = Bucket(rps), Bucket(write_rps)
        self.value_bytes, self.txn_ops = value_kb * 1024, txn_ops
        self.latency = lambda: 0.003
        self.server = Server(self.handle)
        self.refused = 0
        self.limited = 0
        self.out = False

    async def start(self):
        await self.server.start()
        self.addr = self.server.addr
        asyncio.create_task(self._expire())
        return self

    async def _expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            if self.out:
                continue
            for lease in [l for l, (_, until) in self.leases.items() if now > until]:
                self._end_lease(lease)

    def set_out(self, out):
        """Begins or ends an outage. Afterwards "every lease has its full time again"."""
        if self.out and not out:
            for lease in self.leases.values():
                lease[1] = time.monotonic() + lease[0]
        self.out = out

    def _end_lease(self, lease):
        del self.leases[lease]
        keys = [k for k, e in self.kv.items() if e[2] == lease]
        if keys:
            self._apply([{"drop": k} for k in keys])

    def _apply(self, then):
        self.revision += 1
        for c in then:
            if "set" in c:
                self.kv[c["set"]] = [c["v"], self.revision, c.get("loan")]
                event = {"set": c["set"], "v": c["v"], "entry_no": self.revision}
                self.log.append((self.revision, c["set"], event))
            elif c["drop"] in self.kv:
                del self.kv[c["drop"]]
                event = {"drop": c["drop"], "entry_no": self.revision}
                self.log.append((self.revision, c["drop"], event))
        if len(self.log) > 10000:
            del self.log[:-10000]
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, method, path, q, body):
        await asyncio.sleep(self.latency())
        if not self.requests.take():
            self.limited += 1
            return 429, {}
        if path.startswith("/kv/"):
            e = self.kv.get(path[4:])
            if e is None:
                return 404, {"ledger_no": self.revision}
            return 200, {"k": path[4:], "v": e[0], "entry_no": e[1], "loan": e[2]}
        if path == "/kv":
            under, after = q.get("under", ""), q.get("from", "")
            keys = sorted(k for k in self.kv if k.startswith(under) and k > after)
            most, rows, size = min(int(q.get("most", 1000)), 1000), [], 0
            for k in keys[:most]:
                e = self.kv[k]
                row = {"k": k, "v": e[0], "entry_no": e[1], "loan": e[2]}
                size += len(json.dumps(row))
                if rows and size > 512 * 1024 - 100:
                    break
                rows.append(row)
            return 200, {"rows": rows, "more": len(rows) < len(keys), "ledger_no": self.revision}
        if path == "/txn":
            return self._txn(unpack(body))
        if path == "/holds":
            ttl = unpack(body)["ttl_ms"] / 1000
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = [ttl, time.monotonic() + ttl]
            return 200, {"loan": lease}
        if path.startswith("/holds/"):
            parts = path.split("/")
            lease = int(parts[2])
            if lease not in self.leases:
                return 404, {}
            if method == "DELETE":
                self._end_lease(lease)
            else:
                ttl = self.leases[lease][0]
                self.leases[lease][1] = time.monotonic() + ttl
            return 200, {}
        if path == "/changes":
            return await self._changes(q)
        return 400, {}

    def _txn(self, txn):
        when, then = txn.get("when", []), txn.get("then", [])
        too_large = (
            len(then) > self.txn_ops or len(when) > 4 * self.txn_ops
            or len(json.dumps(txn)) > 64 * 1024
            or any("set" in c and len(json.dumps(c["v"])) > self.value_bytes for c in then))
        if too_large:
            self.refused += 1
            return 400, {"error": "too large"}
        if then and not self.writes.take(len(then)):
            self.limited += 1
            return 429, {}
        version = lambda k: self.kv[k][1] if k in self.kv else 0
        failed = [c["k"] for c in when if version(c["k"]) != c["entry_no"]]
        if any(c.get("loan") and c["loan"] not in self.leases for c in then):
            return 400, {"error": "no such lease"}
        if failed:
            return 409, {"failed": failed, "ledger_no": self.revision}
        if then:
            self._apply(then)
        return 200, {"ledger_no": self.revision}

    async def _changes(self, q):
        under, after = q.get("under", ""), int(q["from"])
        until = time.monotonic() + int(q.get("hold_ms", 0)) / 1000
        while True:
            if self.log and len(self.log) >= 10000 and after < self.log[0][0] - 1:
                return 410, {}
            events = [e for r, k, e in self.log if r > after and k.startswith(under)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"ledger_no": self.revision, "events": events}
            try:
                await asyncio.wait_for(asyncio.shield(
                    asyncio.ensure_future(self.changed.wait())), left)
            except asyncio.TimeoutError:
                pass


# --- The cloud and its workers ------------------------------------------------------------

REGAL_16 = {"name": "regal-16", "vcpus": 16.0, "accelerators": 0.0, "ram_gb": 64.0,
            "cache_gb": 100.0, "pull_gb_per_s": 2.0, "rate": 0.92, "low_price": 0.4,
            "boot_s": 2.0, "rooms": ["zurich-a", "zurich-b"]}


class Cloud:
    """Rents machines; `capacity` maps (type, zone, spot) to a number of machines."""

    def __init__(self, world, types, capacity, rps=2.0, lag_s=4.0, boot_s=2.0):
        self.world, self.types, self.capacity = world, types, dict(capacity)
        self.lag_s, self.boot_s = lag_s, boot_s
        self.limit = Bucket(rps, 2.0)
        self.notes, self.machines, self.next = {}, {}, 1
        self.lists = []
        self.server = Server(self.handle)

    async def start(self):
        await self.server.start()
        self.addr = self.server.addr
        asyncio.create_task(self._record_lists())
        return self

    async def _record_lists(self):
        while True:
            now = time.monotonic()
            rows = [dict(m.listed(), held_s=now - m.rented_at)
                    for _, m in sorted(self.machines.items())]
            self.lists.append((now, rows))
            while len(self.lists) > 1 and self.lists[1][0] <= now - self.lag_s:
                self.lists.pop(0)
            await asyncio.sleep(0.5)

    def handle(self, method, path, q, body):
        if not self.limit.take():
            return 429, {}
        if path == "/flavors":
            return 200, {"formats": self.types}
        if path == "/hosts/delete":
            for name in unpack(body)["shelves"]:
                machine = self.machines.pop(name, None)
                if machine:
                    key = (machine.type["name"], machine.zone, machine.spot)
                    self.capacity[key] = self.capacity.get(key, 0) + 1
                    self.world.record("machine deleted", machine=name)
                    machine.gone()
            return 200, {}
        if path == "/hosts" and method == "POST":
            return self._rent(unpack(body))
        if path == "/hosts":
            rows = [r for r in self.lists[0][1] if r["ref"] > q.get("from", "")]
            most = min(int(q.get("most", 500)), 500)
            return 200, {"shelves": rows[:most], "more": len(rows) > most}
        return 400, {}

    def _rent(self, r):
        if r["hire_note"] in self.notes:
            return 200, {"shelves": self.notes[r["hire_note"]]}
        key = (r["format"], r["room"], r["remainders"])
        n = min(self.capacity.get(key, 0), r["count"], 50)
        if n <= 0:
            return 503, {"error": "no capacity"}
        self.capacity[key] -= n
        names = []
        for _ in range(n):
            name = f"host-{self.next:06d}"
            self.next += 1
            machine_type = next(t for t in self.types if t["name"] == r["format"])
            self.machines[name] = Worker(
                self.world, name, machine_type, r["room"], r["remainders"], self.boot_s)
            self.world.record("machine rented", machine=name, room=r["room"],
                              spot=r["remainders"])
            names.append(name)
        self.notes[r["hire_note"]] = names
        return 200, {"shelves": names}


class Attempt:
    def __init__(self, condition, why=None):
        self.condition, self.why, self.run = condition, why, None


class Worker:
    """The worker of one machine. `world.worker_hook(worker)` may change its links."""

    def __init__(self, world, name, machine_type, zone, spot, boot_s):
        self.world, self.name, self.type = world, name, machine_type
        self.zone, self.spot = zone, spot
        self.rented_at = time.monotonic()
        self.up = False
        self.tenure, self.folio, self.seal = 1, 0, 0
        self.attempts, self.images, self.fetches = {}, set(), {}
        self.faulty = False
        self.nodes = None
        self.addr = None
        self.recall_at = None
        self.node = random.randrange(len(world.nodes))
        self.change = asyncio.Event()
        self.tasks = [asyncio.create_task(self._boot(boot_s))]
        self.server = Server(self._orders)
        self.alive = True
        self.lease_start = None

    def listed(self):
        return {"ref": self.name, "addr": self.addr if self.up else None,
                "format": self.type["name"], "room": self.zone, "remainders": self.spot,
                "condition": "running" if self.up else "starting"}

    async def _boot(self, boot_s):
        await asyncio.sleep(boot_s)
        await self.server.start()
        self.addr = self.server.addr
        self.nodes = [(n.name, n.client) for n in self.world.nodes]
        await self.world.worker_hook(self)
        self.up = True
        self.lease_start = time.monotonic()
        self.world.record("machine up", machine=self.name)
        self.tasks.append(asyncio.create_task(self._lease()))
        self.tasks.append(asyncio.create_task(self._reports()))

    def gone(self):
        self.alive = False
        self.server.close()
        self._kill_all("machine gone")
        for t in self.tasks:
            t.cancel()

    # Reports

    def report(self):
        self.folio += 1
        recall = None
        if self.recall_at is not None:
            recall = max(0.0, self.recall_at - time.monotonic())
        leaves = []
        for (leaf, printing), a in self.attempts.items():
            row = {"leaf": leaf, "printing": printing, "condition": a.condition}
            if a.why:
                row["colophon"] = a.why
            leaves.append(row)
        return {"shelf": self.name, "addr": self.addr, "format": self.type["name"],
                "room": self.zone, "remainders": self.spot, "tenure": self.tenure,
                "folio": self.folio, "seal": self.seal, "recall_s": recall, "leaves": leaves}

    async def _reports(self):
        client, at_node, last = None, None, -1e9
        settings = self.world.settings
        while True:
            pause = settings["report_s"] * random.uniform(0.75, 1.25)
            self.change.clear()
            if last > 0:
                try:
                    await asyncio.wait_for(self.change.wait(), max(
                        0.0, last + pause - time.monotonic()))
                except asyncio.TimeoutError:
                    pass
                await asyncio.sleep(max(0.0, last + 0.5 - time.monotonic()))
            if client is None or at_node != self.node:
                if client:
                    client.close()
                client, at_node = Client(self.nodes[self.node][1]), self.node
            sent = last = time.monotonic()
            report, tenure = self.report(), self.tenure
            answer = await client.call("POST", "/checkin", report, 4.0)
            self.world.on_report(self, report, answer)
            if answer and answer[0] == 200:
                self._answered(answer[1] or {}, tenure, sent)
                continue
            if answer and answer[0] == 421:
                clerk = (answer[1] or {}).get("clerk")
                names = [n for n, _ in self.nodes]
                if clerk in names and names.index(clerk) != self.node:
                    self.node = names.index(clerk)
                    await asyncio.sleep(random.uniform(0.0, 0.5))
                    last = -1e9
                    continue
            self.node = (self.node + 1) % len(self.nodes)
            await asyncio.sleep(1.0)
            last = -1e9

    def _answered(self, body, tenure, sent):
        seal = body.get("seal")
        if seal is None or seal < self.seal or tenure != self.tenure:
            return
        if seal > self.seal:
            self.seal = seal
            self.change.set()
        self.lease_start = max(self.lease_start, sent)
        self._execute(body.get("slips", []), "report answer")

    async def _lease(self):
        while True:
            await asyncio.sleep(0.05)
            if time.monotonic() > self.lease_start + self.world.settings["lease_s"]:
                self.world.record("lease expired", machine=self.name, tenure=self.tenure)
                self._kill_all("lease expired")
                self.tenure += 1
                self.lease_start = time.monotonic()
                self.change.set()

    # Commands

    def _orders(self, method, path, q, body):
        if path == "/inspect":
            return 200, self.report()
        if path != "/orders":
            return 404, {}
        refusal = self.world.orders_hook(self, body)
        if refusal:
            return refusal
        batch = unpack(body)
        if "seal" not in batch or "tenure" not in batch:
            return 400, {}
        if batch["seal"] < self.seal or batch["tenure"] != self.tenure:
            return 409, self.report()
        if batch["seal"] > self.seal:
            self.seal = batch["seal"]
            self.change.set()
        self._execute(batch.get("slips", []), "orders")
        return 200, self.report()

    def _execute(self, slips, by):
        for s in slips:
            key = (s["leaf"], s["printing"])
            kind = s["slip_kind"]
            self.world.record(kind, machine=self.name, leaf=s["leaf"], printing=s["printing"],
                              by=by)
            a = self.attempts.get(key)
            if kind == "launch":
                if a is None:
                    self._launch(*key)
            elif kind == "stop" and a and a.condition != "ended":
                self._end(key, a, "halted")
            elif kind == "reap" and a and a.condition == "ended":
                del self.attempts[key]
        if slips:
            self.change.set()

    def _launch(self, leaf, printing):
        key = (leaf, printing)
        job = self.world.jobs.get(leaf.rsplit("/", 1)[0])
        live = {k: a for k, a in self.attempts.items() if a.condition != "ended"}
        if job is None or int(leaf.rsplit("/", 1)[1]) >= job["leaves"]:
            self.attempts[key] = Attempt("ended", "no_such")
            return
        if any(k[0] == leaf for k in live):
            self.attempts[key] = Attempt("ended", "in_use")
            return
        use = lambda f: sum(self.world.jobs[k[0].rsplit("/", 1)[0]][f] for k in live) + job[f]
        if use("vcpus") > self.type["vcpus"] + 1e-6 or use("ram_gb") > self.type["ram_gb"] + 1e-6:
            self.attempts[key] = Attempt("ended", "no_room")
            return
        a = self.attempts[key] = Attempt("pulling")
        a.run = asyncio.create_task(self._run(key, a, job))

    async def _run(self, key, a, job):
        image = job["edition"]
        if image not in self.images:
            if image not in self.fetches:
                self.fetches[image] = asyncio.create_task(
                    asyncio.sleep(job["pull_gb"] / self.type["pull_gb_per_s"]))
            await asyncio.shield(self.fetches[image])
            self.images.add(image)
        leaf = key[0]
        if leaf in self.world.results:
            self._end(key, a, "done")
            return
        a.condition = "running"
        self.world.started(leaf, key[1], self)
        self.change.set()
        fails, seconds = self.world.behaviour(self, job, leaf)
        if seconds is None:
            return
        await asyncio.sleep(seconds)
        if not fails:
            self.world.results.add(leaf)
        a.run = None
        self._end(key, a, "error" if fails else "done")

    def _end(self, key, a, why):
        if a.run:
            a.run.cancel()
        if a.condition == "running":
            self.world.ended(key[0], key[1], self, why)
        a.condition, a.why = "ended", why
        self.change.set()

    def _kill_all(self, why):
        for key, a in list(self.attempts.items()):
            if a.run:
                a.run.cancel()
            if a.condition == "running":
                self.world.ended(key[0], key[1], self, why)
        self.attempts.clear()
        for f in self.fetches.values():
            f.cancel()
        self.fetches = {}


# --- Controllers and the world ------------------------------------------------------------

class Node:
    def __init__(self, name, site, client, mesh):
        self.name, self.site, self.client, self.mesh = name, site, client, mesh
        self.process = None
        self.killed = False     # ended by the case
        self.program = None     # another program than the deploy file's


def die_with_parent():
    """A controller ends with the script, however that ends (PR_SET_PDEATHSIG)."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


def free_addrs(n):
    sockets = []
    for _ in range(n):
        s = socket.socket()
        s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        s.bind(("127.0.0.1", 0))
        sockets.append(s)
    addrs = ["127.0.0.1:%d" % s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return addrs


class World:
    """Everything of one run. Cases override the hooks."""

    settings = {"report_s": 2.0, "lease_s": 14.0, "cancel_s": 44.0}
    limits = {"rps": 200.0, "write_rps": 80.0, "value_kb": 16.0, "txn_ops": 48}
    next_limits = {}
    teams = [("bestand-00", 32.0, 72.0)]
    sites = ["zurich-a", "zurich-b", "zurich-a"]

    def __init__(self, folder):
        self.folder = folder = os.environ.get("CASE_FOLDER", folder)
        self.t0 = time.monotonic()
        self.out = open(os.path.join(folder, "record.txt"), "w")
        self.tmp = tempfile.mkdtemp(prefix="review-")
        self.jobs, self.results = {}, set()
        self.on = {}            # leaf -> {machine: printing}
        self.broken = []
        self.nodes = []
        self.next_client = 0

    def now(self):
        return time.monotonic() - self.t0

    def record(self, what, **fields):
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        self.out.write(f"{self.now():8.3f} {what} {text}\n".rstrip() + "\n")
        self.out.flush()

    def breaks(self, rule, **fields):
        self.broken.append(rule)
        self.record(f"RULE BROKEN {rule}", **fields)

    # Hooks

    async def worker_hook(self, worker):
        pass

    def orders_hook(self, worker, body):
        return None

    def on_report(self, worker, report, answer):
        pass

    def behaviour(self, worker, job, leaf):
        """Whether the task fails, and its run time; None: until it is stopped."""
        if job["binding"] == "standing":
            return False, None
        return False, job["reckon_s"]

    def started(self, leaf, printing, worker):
        on = self.on.setdefault(leaf, {})
        self.record("task started", machine=worker.name, leaf=leaf, printing=printing)
        if on:
            self.breaks("ran_twice", leaf=leaf, starts_on=worker.name, printing=printing,
                        is_on=",".join(f"{m}(printing {p})" for m, p in on.items()))
        on[worker.name] = printing

    def ended(self, leaf, printing, worker, why):
        self.record("task ended", machine=worker.name, leaf=leaf, printing=printing, why=why)
        self.on.get(leaf, {}).pop(worker.name, None)

    # Controllers

    def settings_text(self, i, state_addr, cloud_addr):
        node = self.nodes[i]
        text = [f'member = "{node.name}"', f'site = "{node.site}"',
                f'client_listen = "{node.client}"', f'mesh_addr = "{node.mesh}"']
        for j, peer in enumerate(self.nodes):
            if j != i:
                text += ["[[siblings]]", f'member = "{peer.name}"', f'site = "{peer.site}"',
                         f'peer_addr = "{peer.mesh}"']
        text += ["[endpoints]", f'cloud = "{cloud_addr}"', f'state = "{state_addr}"',
                 "[cluster]", f"size = {len(self.nodes)}",
                 'zones = ["zurich-a", "zurich-b"]', "clock_error_ms = 250.0"]
        for name, cpus, cpus_max in self.teams:
            text += ["[[cluster.teams]]", f'name = "{name}"', f"cpus = {cpus}",
                     f"cpus_max = {cpus_max}", "gpus = 0.0", "gpus_max = 0.0"]
        text += ["[cluster.workers]"] + [f"{k} = {v}" for k, v in self.settings.items()]
        text += ["gang_wait_s = 35.0", "gang_peer_s = 4.0", "[cluster.state]"]
        text += [f"{k} = {v}" for k, v in self.limits.items()]
        if self.next_limits:
            text += ["[cluster.state.next]"]
            text += [f"{k} = {v}" for k, v in self.next_limits.items()]
        text += ["[cluster.cloud]", "rps = 2.0", "list_lag_s = 4.0", "[cluster.quota]",
                 "cpu_share = 0.12", "mem_mb = 72.0", "max_connections = 900"]
        return "\n".join(text) + "\n"

    def make_nodes(self):
        addrs = free_addrs(2 * len(self.sites))
        self.nodes = [Node(f"shelfhand-{i}", site, addrs[2 * i], addrs[2 * i + 1])
                      for i, site in enumerate(self.sites)]

    def start_node(self, i, state_addr, cloud_addr):
        with open(os.path.join(ROOT, "deploy", "service.toml"), "rb") as f:
            run = tomllib.load(f)["run"].split()
        path = os.path.join(self.tmp, f"node-{i}.toml")
        with open(path, "w") as f:
            f.write(self.settings_text(i, state_addr, cloud_addr))
        log = open(os.path.join(self.tmp, f"node-{i}.log"), "a")
        env = dict(os.environ, LOG_LEVEL=os.environ.get("CASE_LOG_LEVEL", "info"))
        env.pop("DILLCLEAT_TUNING", None)
        if self.nodes[i].program:
            run[0] = self.nodes[i].program
        self.nodes[i].process = subprocess.Popen(
            run + [path], cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL, stderr=log, preexec_fn=die_with_parent)
        log.close()
        self.record("controller started", member=self.nodes[i].name)

    def signal_node(self, i, sig):
        self.nodes[i].process.send_signal(sig)
        if sig == signal.SIGKILL:
            self.nodes[i].process.wait()
        self.record("controller signalled", member=self.nodes[i].name,
                    signal=signal.Signals(sig).name)

    async def healthy(self, timeout=30.0):
        """Waits until all controllers answer /up with 200."""
        until = time.monotonic() + timeout
        for node in self.nodes:
            while True:
                answer = await Client(node.client).call("GET", "/up", None, 1.0)
                if answer and answer[0] == 200:
                    break
                if time.monotonic() > until:
                    return False
                await asyncio.sleep(0.2)
        return True

    def exit_codes(self):
        """Controllers that ended by themselves."""
        return [(n.name, n.process.poll()) for n in self.nodes
                if n.process and not n.killed and n.process.poll() is not None]

    def close(self):
        for node in self.nodes:
            if node.process and node.process.poll() is None:
                try:
                    node.process.send_signal(signal.SIGCONT)
                    node.process.kill()
                    node.process.wait()
                except OSError:
                    pass
        keep = os.environ.get("CASE_KEEP")
        if keep:
            for i in range(len(self.nodes)):
                log = os.path.join(self.tmp, f"node-{i}.log")
                if os.path.exists(log):
                    shutil.copy(log, os.path.join(keep, f"node-{i}.log"))
        shutil.rmtree(self.tmp, ignore_errors=True)
        self.out.close()

    # Users

    def job(self, ref, **fields):
        job = {"ref": ref, "lot": "catalogue-merge", "desk": self.teams[0][0],
               "binding": "batch", "urgency": "normal", "leaves": 1, "vcpus": 4.0,
               "accelerators": 0.0, "ram_gb": 14.0, "remainders": True, "edition": "img-07",
               "pull_gb": 0.7, "formats": None, "room": None, "same_place": False,
               "spread": False, "reckon_s": 50.0, "bookmark_s": 0.0, "shelve_s": 0.0,
               "due_s": None}
        job.update(fields)
        return job

    async def submit(self, job, tries=20):
        """Submits as a user does. True once accepted."""
        self.jobs[job["ref"]] = job
        for _ in range(tries):
            self.next_client = (self.next_client + 1) % len(self.nodes)
            client = Client(self.nodes[self.next_client].client)
            answer = await client.call("POST", "/v2/runs", job, 5.0)
            client.close()
            self.record("submitted", ref=job["ref"], answer=answer and answer[0])
            if answer and answer[0] in (200, 201):
                return True
            if answer and answer[0] in (400, 422):
                return False
            await asyncio.sleep(1.0)
        return False

    async def poll(self, ref, node=None):
        if node is None:
            self.next_client = (self.next_client + 1) % len(self.nodes)
            node = self.next_client
        client = Client(self.nodes[node].client)
        answer = await client.call("GET", f"/v2/runs/{ref}", None, 2.0)
        client.close()
        return answer

    async def cancel(self, ref, node=None):
        if node is None:
            self.next_client = (self.next_client + 1) % len(self.nodes)
            node = self.next_client
        client = Client(self.nodes[node].client)
        answer = await client.call("POST", f"/v2/runs/{ref}/abort", None, 5.0)
        client.close()
        self.record("abort", ref=ref, answer=answer)
        return answer


def main(case, limit=115.0):
    """Runs `case(trouble) -> (world, coroutine)` and exits with 0, 1 or 2."""
    import sys
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        world = None
        try:
            world, work = await case(trouble)
            ok = await asyncio.wait_for(work, limit)
            ended = world.exit_codes()
            for name, code in ended:
                world.breaks("a controller ended by itself", member=name, code=code)
            code = 1 if world.broken else (0 if ok else 2)
            world.record("end", exit=code)
            return code
        except asyncio.TimeoutError:
            world.record("end: out of time")
            return 2
        except Exception as error:      # pylint: disable=broad-except
            print("error:", repr(error))
            return 2
        finally:
            if world:
                world.close()

    async def run_and_exit():
        code = await run()
        print({0: "held", 1: "BROKEN", 2: "could not run"}[code])
        sys.stdout.flush()
        os._exit(code)      # every process that was started has ended by now

    asyncio.run(run_and_exit())
