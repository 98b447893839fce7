"""A small HTTP/1.1 server and client on asyncio, for the stand-ins and the scripts."""

import asyncio
import json
import urllib.parse


class Request:
    """A request with its whole body."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        path, _, query = target.partition("?")
        self.path = path
        self.query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        self.headers = headers
        self.body = body

    def json(self):
        """Returns the body as JSON."""
        return json.loads(self.body)


async def read_message(reader):
    """Reads a start line, headers and the body; returns None at the end of the stream."""
    line = await reader.readline()
    if not line.strip():
        return None
    headers = {}
    while True:
        header = (await reader.readline()).decode("latin-1").strip()
        if not header:
            break
        name, _, value = header.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return line.decode("latin-1").strip(), headers, body


def encode_response(status, body):
    """Encodes a response with a JSON body."""
    payload = json.dumps(body, separators=(",", ":")).encode()
    head = (
        f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(payload)}\r\n\r\n"
    )
    return head.encode() + payload


async def serve(address, handle):
    """Serves requests with `handle`, which returns a status and a JSON body."""

    async def connection(reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                line, headers, body = message
                method, target, _ = line.split(" ", 2)
                status, reply = await handle(Request(method, target, headers, body))
                writer.write(encode_response(status, reply))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            writer.close()

    host, port = address
    return await asyncio.start_server(connection, host, port, limit=1 << 22, backlog=512)


async def call(address, method, path, body=None, headers=None, timeout=3.0):
    """Sends a request on a new connection; returns status and JSON body, or (None, reason)."""

    async def exchange():
        reader, writer = await asyncio.open_connection(*address, limit=1 << 22)
        try:
            payload = b"" if body is None else json.dumps(body).encode()
            fields = {"Host": "localhost", "Content-Length": str(len(payload)),
                      "Content-Type": "application/json", "Connection": "close", **(headers or {})}
            head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
            writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + payload)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                raise ConnectionError("closed without a response")
            line, _, answer = message
            status = int(line.split(" ")[1])
            return status, json.loads(answer) if answer.strip().startswith((b"{", b"[")) else {}
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
        return None, type(error).__name__
