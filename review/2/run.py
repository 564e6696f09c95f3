"""Clients read large answers slowly and steadily."""

import asyncio
import os
import secrets
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
from standin import Backend, Client, CouldNotRun, Discovery, Proxy, answer, entry, free_port, play, read_head  # noqa: E402

SIZES = [32_000_000, 32_000_000, 24_000_000, 16_000_000]  # "answers and bodies of up to 32 MB occur"
RATE = 64_000  # "a body at 64 kB a second"
READ_EVERY_S = 0.05
SLOW_S = 40.0  # how long the clients read slowly; then they read the rest at full speed
TIMEOUT_MS = 1250
LARGE = "large"  # the last part of the path of a request for a large answer

CLASSES = [
    {"name": "standings", "promise_ms": 1000, "deadline_ms": 2500, "semantics": "idempotent", "gain": 12,
     "late_value": 0, "group": "all", "dedup_window_ms": 5000, "streaming": False},
]


def settings():
    return {
        "balancers": 5, "rank": 0, "stage": 0, "stages": ["front", "match-core"], "tick_ms": 5,
        "zones": ["kl-cheras"], "my_zone": "kl-cheras", "host_types": ["front-fast", "front-std"],
        "discovery": "on_request", "request_classes": CLASSES, "tenants": [], "clients": {"marks_retry": True},
        "limits": {"cancel": True, "connect_timeout_ms": 250, "keepalive_ms": 10000, "max_attempts": 3,
                   "most_held": 20000, "max_retry_after_ms": 2000, "peers": False, "probes": True,
                   "retry_after": True, "second_copies": True, "streams_per_conn": 1},
        "contract": {"answer_slack_ms": 20, "cold_from": 0.14, "cold_ms": 21000, "fall_ms": 1500,
                     "fall_multiple": 4, "must_ask_in_ms": 10000, "stop_sending_within_ms": 500},
        "penalties": {"cross_zone": 0.015}, "telemetry": {"fields": ["depth"], "how": "answers"},
        "weights": "none", "workload": "chain",
    }


class LargeAnswers(Backend):
    """A sound backend that gives an answer of the size that the path names, as fast as it is taken."""

    cut = None  # when and why the connection broke under an answer, by request

    async def run(self, writer, head, began, body, fields):
        path = head.start.split(" ")[1].split("/")
        if LARGE not in path:
            return await super().run(writer, head, began, body, fields)
        request, size = head.fields["x-request-id"], int(path[-1])
        self.record.write(f"backend {self.name}: got {request}, answers with {size} bytes")
        try:
            writer.write(answer(200, b"s" * size, fields))
            await writer.drain()
            while writer.transport.get_write_buffer_size():
                if writer.is_closing():
                    raise ConnectionResetError("closed by the proxy")
                await asyncio.sleep(0.05)
            self.record.write(f"backend {self.name}: the answer to {request} is written")
        except OSError as error:
            at = self.record.say(f"backend {self.name}: the proxy ended the connection under the answer to "
                                 f"{request}: {error!r}")
            self.cut = {**(self.cut or {}), request: at}
            raise


async def slow_client(record, port, size, trouble, cuts):
    """Asks for a large answer. Returns its id, the bytes that were read, and whether the answer is whole."""
    request = secrets.token_hex(8)
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=4096)
    writer.write((f"GET /standings/{LARGE}/{size} HTTP/1.1\r\nHost: service.internal\r\n"
                  f"X-Request-ID: {request}\r\nX-Priority-Class: standings\r\nX-Timeout-Ms: {TIMEOUT_MS}\r\n"
                  "\r\n").encode())
    record.write(f"client: sent {request}, an answer of {size} bytes")
    head, _ = await asyncio.wait_for(read_head(reader), TIMEOUT_MS / 1000)
    if " 200 " not in head.start:
        raise CouldNotRun(f"{request} was answered {head.start}")
    announced = int(head.fields.get("content-length", "-1"))
    record.write(f"client: {request}: 200, length {announced}")
    read, began, longest_pause, last = 0, record.now(), 0.0, record.now()
    try:
        while read < size:
            slow = trouble and record.now() - began < SLOW_S and request not in cuts()
            if slow and read >= (record.now() - began) * RATE:
                await asyncio.sleep(READ_EVERY_S)
                continue
            data = await asyncio.wait_for(reader.read(4096 if slow else 1 << 20), 20)
            if not data:
                break
            read += len(data)
            longest_pause, last = max(longest_pause, record.now() - last), record.now()
    except (OSError, asyncio.TimeoutError) as error:
        record.write(f"client: {request}: {error!r}")
    writer.transport.abort()
    whole = read == size == announced
    record.say(f"client: {request}: read {read} of {size} bytes in {record.now() - began:.1f} s, longest pause "
               f"between two reads {longest_pause:.2f} s: {'whole' if whole else 'CUT OFF'}")
    return request, read, whole


async def case(record, folder, trouble):
    place = {"zone": "kl-cheras", "kind": "front-std"}
    backends = [LargeAnswers(record, f"s-{number}", 0.05, {"queue": 0}) for number in range(4)]
    discovery = Discovery(record, "discovery")
    discovery.list(*(entry(backend, **place) for backend in backends))
    proxy = Proxy(record, folder, "n0", {
        "name": "n0", "listen": f"127.0.0.1:{free_port()}", "discovery": discovery.address,
        "seed": secrets.token_hex(8), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": discovery.whole(), "settings": settings()})
    client = Client(record, proxy.port)

    def cuts():
        return {request for backend in backends for request in backend.cut or {}}

    try:
        for server in [*backends, discovery]:
            await server.start()
        proxy.start()
        await proxy.wait_until_ready()
        readers = [asyncio.ensure_future(slow_client(record, proxy.port, size, trouble, cuts)) for size in SIZES]
        while not all(reader.done() for reader in readers):
            client.send("standings", "idempotent", TIMEOUT_MS)
            await asyncio.sleep(0.2)
        results = [reader.result() for reader in readers]
        await client.finish()
    finally:
        proxy.stop()
        client.close()
        for server in [*backends, discovery]:
            server.stop()
        record.write("log of the proxy:\n" + proxy.log_text())

    cut = [result for result in results if not result[2]]
    record.say(f"small answers: {client.counts()}; large answers: {len(results)}, cut off: {len(cut)}")
    return not cut


play(case, HERE)
