"""HTTP/1.1 for the stand-ins: a small server and a client that keeps its connection."""
import asyncio

import mp


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


class Drop(Exception):
    """Raised by a handler: the connection is closed without an answer."""


async def serve(handler, host="127.0.0.1", port=0):
    """Serves `handler(method, target, body) -> (status, body)`; returns (server, port)."""

    async def connection(reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ", 2)
                size = int(headers.get("content-length", 0))
                body = await reader.readexactly(size) if size else b""
                status, answer = await handler(method, target, body)
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/msgpack\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(answer)) + answer)
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    break
        except (asyncio.IncompleteReadError, ConnectionError, Drop, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(connection, host, port)
    return server, server.sockets[0].getsockname()[1]


class Client:
    """One connection to one address, opened again when it was closed."""

    def __init__(self, host, port):
        self.host, self.port = host, port
        self.reader = self.writer = None

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    async def call(self, method, target, body=None, timeout=4.0):
        """Returns (status, headers, body); raises on no answer."""
        try:
            return await asyncio.wait_for(self._call(method, target, body), timeout)
        except BaseException:
            self.close()
            raise

    async def _call(self, method, target, body):
        if self.writer is None or self.writer.is_closing() or self.reader.at_eof():
            self.close()
            self.reader, self.writer = await asyncio.open_connection(self.host, self.port)
        data = b"" if body is None else body if isinstance(body, bytes) else mp.pack(body)
        self.writer.write(
            ("%s %s HTTP/1.1\r\nHost: %s:%d\r\nContent-Length: %d\r\n\r\n"
             % (method, target, self.host, self.port, len(data))).encode() + data)
        await self.writer.drain()
        first, headers = await read_head(self.reader)
        status = int(first.split(" ")[1])
        size = int(headers.get("content-length", 0))
        answer = await self.reader.readexactly(size) if size else b""
        if headers.get("connection", "").lower() == "close":
            self.close()
        return status, headers, answer


class Proxy:
    """A TCP proxy to one address that can hold back or reset connections."""

    def __init__(self, port, host="127.0.0.1"):
        self.target = (host, port)
        self.open = asyncio.Event()
        self.open.set()
        self.pairs = set()

    async def start(self):
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def hold(self):
        self.open.clear()

    def release(self):
        self.open.set()

    def reset(self):
        for writer in list(self.pairs):
            writer.transport.abort()

    async def _accept(self, reader, writer):
        self.pairs.add(writer)
        try:
            await self.open.wait()
            up_reader, up_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            self.pairs.discard(writer)
            return
        self.pairs.add(up_writer)

        async def pump(src, dst):
            try:
                while data := await src.read(65536):
                    await self.open.wait()
                    dst.write(data)
                    await dst.drain()
            except (ConnectionError, OSError):
                pass
            finally:
                try:
                    dst.close()
                except OSError:
                    pass

        await asyncio.gather(pump(reader, up_writer), pump(up_reader, writer))
        self.pairs.discard(writer)
        self.pairs.discard(up_writer)
