"""Stand-ins for the platform of the review's cases: backends, discovery, clients, and the proxy's process.

All addresses are loopback addresses. Everything runs in one asyncio loop on the real clock; each event is
written to the record with the seconds since the start of the script.
"""

import asyncio
import ctypes
import json
import os
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
LONGEST_PLAY_S = 90
PR_SET_PDEATHSIG = 1
LIBC = ctypes.CDLL(None, use_errno=True)


def end_with_the_script():
    """Called in a child before its program starts: the kernel ends it when the script ends, however that does."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class CouldNotRun(Exception):
    """The case could not be played, so nothing can be said of the rule."""


class Record:
    """The record of what was sent, answered and run."""

    def __init__(self, path, started=None):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic() if started is None else started

    def now(self):
        return time.monotonic() - self.started

    def write(self, *parts):
        now = self.now()
        print(f"{now:9.3f}", *parts, file=self.file, flush=True)
        return now

    def say(self, *parts):
        now = self.write(*parts)
        print(f"{now:9.3f}", *parts, flush=True)
        return now


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Head:
    def __init__(self, raw):
        lines = raw.decode("latin-1").split("\r\n")
        self.start = lines[0]
        self.fields = {}
        for line in lines[1:]:
            if ":" in line:
                name, value = line.split(":", 1)
                self.fields[name.strip().lower()] = value.strip()

    def length(self):
        return int(self.fields.get("content-length", "0"))


async def read_head(reader):
    """The next head and the time of its first byte; None at the end of the connection."""
    first = await reader.read(1)
    if not first:
        return None
    began = time.monotonic()
    rest = await reader.readuntil(b"\r\n\r\n")
    return Head((first + rest)[:-4]), began


async def read_body(reader, head):
    if head.fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(head.length())


def answer(status, body=b"", fields=()):
    reasons = {200: "OK", 404: "Not Found", 500: "Internal Server Error", 503: "Service Unavailable"}
    lines = [f"HTTP/1.1 {status} {reasons[status]}", f"Content-Length: {len(body)}", *fields, "", ""]
    return "\r\n".join(lines).encode() + body


class Server:
    """A server whose connections are served by `serve(reader, writer)` of the subclass."""

    def __init__(self, record, port=None):
        self.record = record
        self.port = port or free_port()
        self.server = None
        self.writers = set()

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self._connection, "127.0.0.1", self.port)

    async def _connection(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Backend(Server):
    """A sound backend: it begins a request when its last byte has come, and answers 200 after its work."""

    def __init__(self, record, name, work_s=0.02, report=None, port=None):
        super().__init__(record, port)
        self.name = name
        self.work_s = work_s
        self.report = report
        self.sends = []  # (seconds since the start at the first byte, request id)

    async def serve(self, reader, writer):
        while True:
            read = await read_head(reader)
            if read is None:
                return
            head, began = read
            target = head.start.split(" ")[1]
            fields = [f"X-Server-Load: {json.dumps(self.report)}"] if self.report else []
            if target in ("/healthz", "/load"):
                body = json.dumps(self.report or {}).encode() if target == "/load" else b""
                writer.write(answer(200, body, fields))
                continue
            body = await read_body(reader, head)
            await self.run(writer, head, began - self.record.started, body, fields)

    async def run(self, writer, head, began, body, fields):
        request = head.fields.get("x-request-id", "-")
        self.sends.append((began, request))
        self.record.write(f"backend {self.name}: got {request}, first byte at {began:.3f}")
        await asyncio.sleep(self.work_s)
        writer.write(answer(200, f"{self.name} {request}".encode(), fields))
        await writer.drain()


class BackendProcess:
    """A `Backend` in a process of its own, which can be stopped and continued with signals."""

    def __init__(self, record, folder, name, work_s=0.02, report=None):
        self.record = record
        self.name = name
        self.port = free_port()
        self.address = f"127.0.0.1:{self.port}"
        self.path = os.path.join(folder, f"{name}.txt")
        program = os.path.join(os.path.dirname(os.path.abspath(__file__)), "backend.py")
        arguments = {"name": name, "port": self.port, "work_s": work_s, "report": report, "record": self.path,
                     "started": record.started}
        self.process = subprocess.Popen([sys.executable, "-B", program, json.dumps(arguments)],
                                        stdin=subprocess.DEVNULL, preexec_fn=end_with_the_script)

    async def start(self):
        for _ in range(200):
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.close()
                return
            except OSError:
                await asyncio.sleep(0.05)
        raise CouldNotRun(f"{self.name} does not listen")

    def signal(self, number):
        self.process.send_signal(number)
        return self.record.say(f"backend {self.name}: {signal.Signals(number).name}")

    def count(self, word):
        """The number of lines of its record with this word."""
        with open(self.path, encoding="utf-8") as file:
            return sum(f" {word} " in line for line in file)

    def stop(self):
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        with open(self.path, encoding="utf-8") as file:
            self.record.write(f"record of {self.name}:\n" + file.read())


def entry(backend, health="SERVING", born_ms=0, zone="z1", kind="std", cell=1):
    return {"host": backend.name, "dial": backend.address, "site": zone, "class": kind, "block": cell,
            "health": health, "share": 1.0, "born_ms": born_ms}


class Discovery(Server):
    """Discovery, or the agent of a proxy's machine, in the form of the protocol page.

    `hosts` is the present list by name, `changes` maps each name to the version of its last change.
    """

    def __init__(self, record, label, seq=41):
        super().__init__(record)
        self.label = label
        self.seq = seq
        self.hosts = {}
        self.changed_at = {}
        self.news = asyncio.Condition()
        self.silent = False
        self.turns_away_after = None  # seconds in the queue after which each call is turned away with 503
        self.calls = []

    def list(self, *entries):
        for listed in entries:
            self.hosts[listed["host"]] = listed
            self.changed_at[listed["host"]] = self.seq

    async def change(self, *entries):
        async with self.news:
            self.seq += 1
            self.list(*entries)
            self.news.notify_all()
        names = ", ".join(f"{e['host']} {e['health']}" for e in entries)
        return self.record.say(f"{self.label}: version {self.seq}: {names}")

    async def set_silent(self, silent):
        async with self.news:
            self.silent = silent
            self.news.notify_all()
        return self.record.say(f"{self.label}: {'silent from now on' if silent else 'answers again'}")

    def whole(self):
        return {"seq": self.seq, "whole": True, "hosts": list(self.hosts.values())}

    def since(self, version):
        changed = [self.hosts[name] for name, at in self.changed_at.items() if at > version]
        return {"seq": self.seq, "whole": False, "hosts": changed}

    async def serve(self, reader, writer):
        while True:
            read = await read_head(reader)
            if read is None:
                return
            target = read[0].start.split(" ")[1]
            self.calls.append(self.record.write(f"{self.label}: call {target}"))
            if self.turns_away_after is not None:
                await asyncio.sleep(self.turns_away_after)
                writer.write(answer(503))
                self.record.write(f"{self.label}: turned away {target}")
                continue
            listed = await self.answer_to(target)
            body = json.dumps(listed).encode()
            writer.write(answer(200, body, ["Content-Type: application/json"]))
            await writer.drain()
            told = [f"{h['host']} {h['health']}" for h in listed["hosts"]]
            self.record.write(f"{self.label}: answered {target}: version {listed['seq']}, whole "
                              f"{listed['whole']}, {told}")

    async def answer_to(self, target):
        query = dict(part.split("=", 1) for part in target.partition("?")[2].split("&") if "=" in part)
        async with self.news:
            if "after" in query:
                version = int(query["after"])
                wait = min(int(query.get("wait_ms", "0")), 60_000) / 1000
                try:
                    await asyncio.wait_for(self.news.wait_for(lambda: self.seq > version), wait)
                except asyncio.TimeoutError:
                    pass
            await self.news.wait_for(lambda: not self.silent)
            return self.since(int(query["after"])) if "after" in query else self.whole()


class Client:
    """A sound client: one request at a time on a connection, kept open, more connections when all are busy."""

    def __init__(self, record, port):
        self.record = record
        self.port = port
        self.idle = []
        self.answers = []  # (request id, status or None, seconds)
        self.tasks = set()

    def send(self, request_class, semantics, timeout_ms, key=None, body=b"{}"):
        task = asyncio.ensure_future(self._send(request_class, semantics, timeout_ms, key, body))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def _send(self, request_class, semantics, timeout_ms, key, body):
        request = secrets.token_hex(8)
        method = "GET" if semantics == "idempotent" else "POST"
        lines = [f"{method} /{request_class}/{secrets.token_hex(8)} HTTP/1.1", "Host: service.internal",
                 f"X-Request-ID: {request}", f"X-Priority-Class: {request_class}",
                 f"X-Timeout-Ms: {timeout_ms}"]
        if semantics == "deduplicated":
            key = key or secrets.token_hex(16)
            lines.append(f"Idempotency-Key: {key}")
        if method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        message = "\r\n".join(lines).encode() + b"\r\n\r\n" + (body if method == "POST" else b"")
        sent = self.record.write(f"client: sent {request} {method} /{request_class}")
        status = None
        for _ in range(2):  # once more on a new connection if a resting one was closed under the request
            reused = bool(self.idle)
            reader = writer = None
            try:
                if reused:
                    reader, writer = self.idle.pop()
                else:
                    reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(message)
                status, keep = await asyncio.wait_for(self._answer(reader), timeout_ms / 1000 + 0.5)
                if keep:
                    self.idle.append((reader, writer))
                else:
                    writer.close()
                break
            except asyncio.TimeoutError:
                writer.transport.abort()
                break
            except (OSError, asyncio.IncompleteReadError):
                if writer:
                    writer.transport.abort()
                if not reused:
                    break
        took = self.record.now() - sent
        self.answers.append((request, status, took))
        self.record.write(f"client: {request} answered {status} after {took:.3f}")
        return request, status

    async def _answer(self, reader):
        read = await read_head(reader)
        if read is None:
            raise asyncio.IncompleteReadError(b"", None)
        head = read[0]
        await read_body(reader, head)
        return int(head.start.split(" ")[1]), head.fields.get("connection", "").lower() != "close"

    async def finish(self):
        if self.tasks:
            await asyncio.wait(list(self.tasks))

    def close(self):
        for _, writer in self.idle:
            writer.transport.abort()

    def counts(self):
        counts = {}
        for _, status, _ in self.answers:
            counts[status] = counts.get(status, 0) + 1
        return dict(sorted(counts.items(), key=str))


class Proxy:
    """One proxy, started as the deploy file says."""

    def __init__(self, record, folder, name, config):
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
            self.command = tomllib.load(file)["run"]
        self.record = record
        self.folder = folder
        self.name = name
        self.config = config
        self.path = os.path.join(folder, f"{name}.json")
        self.port = int(config["listen"].rsplit(":", 1)[1])
        self.process = None
        self.write_config()

    def write_config(self):
        with open(self.path + ".new", "w", encoding="utf-8") as file:
            json.dump(self.config, file)
        os.replace(self.path + ".new", self.path)

    def start(self):
        temporary = tempfile.mkdtemp(dir=self.folder)
        environment = dict(os.environ, LB_NAME=self.config["name"], LB_LISTEN=self.config["listen"],
                           LB_DISCOVERY=self.config["discovery"], LB_CONFIG=self.path, TMPDIR=temporary)
        log = open(os.path.join(self.folder, f"{self.name}.log"), "a", encoding="utf-8")
        self.process = subprocess.Popen(["/bin/sh", "-c", self.command], cwd=ROOT, env=environment,
                                        stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                                        preexec_fn=end_with_the_script)
        log.close()
        return self.record.say(f"proxy {self.name}: started")

    def signal(self, number):
        self.process.send_signal(number)
        return self.record.say(f"proxy {self.name}: {signal.Signals(number).name}")

    def kill(self):
        at = self.signal(signal.SIGKILL)
        self.process.wait()
        return at

    async def wait_until_ready(self, seconds=15):
        """Waits until `GET /healthz` answers 200, as the front does."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CouldNotRun(f"the proxy ended with {self.process.returncode}")
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /healthz HTTP/1.1\r\nHost: proxy\r\nConnection: close\r\n\r\n")
                line = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
                if b" 200 " in line:
                    return self.record.say(f"proxy {self.name}: ready")
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.02)
        raise CouldNotRun("the proxy was not ready in time")

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def log_text(self):
        with open(os.path.join(self.folder, f"{self.name}.log"), encoding="utf-8") as file:
            return file.read()


async def within_limits(case, record, folder, trouble):
    """Plays the case. SIGTERM and SIGINT cancel it like the limit on its time, so that it still cleans up."""
    play_task = asyncio.ensure_future(case(record, folder, trouble))
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, play_task.cancel)
    return await asyncio.wait_for(play_task, LONGEST_PLAY_S)


def play(case, folder_of_case):
    """Runs `case(record, folder, trouble)`, which returns whether the rule held, and exits as the issue says."""
    record = Record(os.path.join(folder_of_case, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    folder = tempfile.mkdtemp(prefix="review-")
    record.say(f"TROUBLE={int(trouble)}")
    try:
        held = asyncio.run(within_limits(case, record, folder, trouble))
        record.say("the rule held" if held else "THE RULE WAS BROKEN")
        code = HELD if held else BROKEN
    # Whatever stops a case, it says nothing of the rule.
    except (Exception, asyncio.CancelledError, KeyboardInterrupt) as error:
        record.say(f"the case could not run: {error!r}")
        code = COULD_NOT_RUN
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    sys.exit(code)
