"""A backend that begins to drain soon after a new configuration, while discovery is crowded."""

import json
import pathlib
import signal
import socket
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))
import harness  # noqa: E402

# The seed of the proxy's random numbers.
SEED = "8c1f30d27a5be964"
# Seconds from the start of the traffic.
CONFIGURATION_AT = 4.0
# Seconds from the new configuration.
DRAIN_AFTER = 0.3
OLD_CLOSES_AFTER = 1.5
CROWDED_FOR = 8.0
# How long a call waits before a crowded discovery turns it away.
QUEUE_LIMIT = 2.0

# What discovery has and could be reached counts as told so long after.
TOLD_AFTER = 6.0
DRAIN_GRACE = 0.5
# What the pages add to each time limit on sockets.
SLACK = 0.05
REQUESTS_PER_SECOND = 50
CLIENTS = 8
SERVICE_TIME = 0.08

SETTINGS = {
    "balancers": 5,
    "clients": {"marks_retry": True},
    "contract": {
        "answer_slack_ms": 20.0, "cold_from": 0.14, "cold_ms": 21000.0, "fall_ms": 1500.0,
        "fall_multiple": 4.0, "must_ask_in_ms": 10000.0, "stop_sending_within_ms": DRAIN_GRACE * 1000,
    },
    "discovery": "on_request",
    "goal": {"whole": 0.6, "worst_class": 0.2, "worst_tenant": 0.0, "worst_window": 0.2},
    "host_types": ["front-fast", "front-std"],
    "limits": {
        "cancel": True, "connect_timeout_ms": 250.0, "cpu_us_per_request": 0.0, "cpu_us_per_s": 875000,
        "keepalive_ms": 10000.0, "max_attempts": 3, "max_retry_after_ms": 2000.0, "most_held": 35000,
        "peers": False, "probes": True, "retry_after": True, "second_copies": True, "streams_per_conn": 1,
    },
    "my_zone": "kuching",
    "over_share_worth": 0.1,
    "penalties": {"cross_zone": 0.015, "late_fail": 0.03, "probe": 0.01, "waste": 0.2},
    "rank": 0,
    "request_classes": [
        {
            "deadline_ms": 2500.0, "dedup_window_ms": 5000.0, "gain": 12.0, "group": "all", "late_value": 0.0,
            "name": "standings", "promise_ms": 1000.0, "semantics": "idempotent", "streaming": False,
        },
    ],
    "specifics": {"passes_deadline": False},
    "stage": 0,
    "stages": ["front", "match-core"],
    "telemetry": {"fields": ["depth"], "how": "answers"},
    "tenants": [],
    "tick_ms": 5.0,
    "weights": "none",
    "workload": "chain",
    "worth_by": "request",
    "zones": ["kl-cheras", "penang", "johor-bahru", "kuching"],
}


class Discovery:
    """Discovery at one address: lists, watches, and a crowd of other callers that come before this proxy."""

    def __init__(self, case, name, ports, is_crowded=False):
        self.case, self.name, self.ports = case, name, ports
        self.changed = threading.Condition()
        self.seq = 1
        self.draining_at = None
        self.told_at = None
        self.is_crowded = is_crowded
        self.connections = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def entry(self, number):
        is_draining = number == 0 and self.draining_at is not None
        return {
            "host": f"s-{number}", "dial": f"127.0.0.1:{self.ports[number]}", "site": "kuching",
            "class": "front-std", "block": 1, "health": "DRAINING" if is_draining else "SERVING",
            "share": 1.0, "born_ms": 0,
        }

    def whole(self):
        return {"seq": self.seq, "whole": True, "hosts": [self.entry(n) for n in range(len(self.ports))]}

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            self.connections.append(connection)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        stream = connection.makefile("rb")
        try:
            while True:
                head = harness.read_http_head(stream)
                if head is None:
                    return
                target = head[0].split()[1]
                answer = self.answer(target)
                if answer is None:
                    self.case.note(f"{self.name}: {target}: 503, it waited too long")
                    connection.sendall(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                    continue
                self.case.note(f"{self.name}: {target}: {json.dumps(answer)}")
                if any(host["health"] == "DRAINING" for host in answer["hosts"]) and self.told_at is None:
                    self.told_at = self.case.now()
                text = json.dumps(answer).encode()
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))
        except OSError:
            return

    def answer(self, target):
        """The list for this call, or None if the call fails."""
        with self.changed:
            if self.is_crowded and not self.changed.wait_for(lambda: not self.is_crowded, QUEUE_LIMIT):
                return None
            _, _, query = target.partition("?")
            values = dict(part.split("=") for part in query.split("&")) if query else {}
            if "after" not in values:
                return self.whole()
            after = int(values["after"])
            self.changed.wait_for(lambda: self.seq > after, int(values["wait_ms"]) / 1000)
            hosts = [self.entry(0)] if self.seq > after else []
            return {"seq": self.seq, "whole": False, "hosts": hosts}

    def start_drain(self):
        with self.changed:
            self.draining_at = self.case.now()
            self.seq += 1
            self.changed.notify_all()
        self.case.note(f"{self.name}: s-0 begins to drain")

    def end_crowd(self):
        with self.changed:
            self.is_crowded = False
            self.changed.notify_all()
        self.case.note(f"{self.name}: is no longer crowded")

    def retire(self):
        """Takes no new connection, and closes the open ones after a while."""
        # Shut down first: a close alone does not wake the thread that accepts.
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        threading.Timer(OLD_CLOSES_AFTER, self.close_connections).start()

    def close_connections(self):
        for connection in self.connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Backend:
    """A backend that notes when each request begins."""

    def __init__(self, case, name):
        self.case, self.name = case, name
        self.begun = []
        listener = socket.create_server(("127.0.0.1", 0))
        self.port = listener.getsockname()[1]
        threading.Thread(target=self.accept, args=(listener,), daemon=True).start()

    def accept(self, listener):
        while True:
            connection, _ = listener.accept()
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        stream = connection.makefile("rb")
        try:
            while stream.peek(1):
                self.begun.append(self.case.now())
                head = harness.read_http_head(stream)
                if head is None or harness.read_http_body(stream, head[1]) is None:
                    return
                time.sleep(SERVICE_TIME)
                connection.sendall(
                    b'HTTP/1.1 200 OK\r\nX-Server-Load: {"queue":0}\r\nContent-Length: 2\r\n\r\nok'
                )
        except OSError:
            return


def client(case, address, number, until, counts):
    """A client with one connection that asks again and again."""
    pause = CLIENTS / REQUESTS_PER_SECOND
    connection = socket.create_connection(address, timeout=10)
    stream = connection.makefile("rb")
    serial = 0
    while case.now() < until:
        serial += 1
        name = f"{number:04x}{serial:012x}"
        head = f"GET /standings/{name} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {name}\r\n"
        head += "X-Priority-Class: standings\r\nX-Timeout-Ms: 2500\r\n\r\n"
        try:
            connection.sendall(head.encode())
            response = harness.read_http_response(stream)
        except OSError:
            response = None
        status = response.status if response else None
        counts[status] = counts.get(status, 0) + 1
        if response is None or response.headers.get("connection") == "close":
            connection.close()
            connection = socket.create_connection(address, timeout=10)
            stream = connection.makefile("rb")
        time.sleep(pause)


def body(case):
    backends = [Backend(case, f"s-{number}") for number in range(3)]
    ports = [backend.port for backend in backends]
    old = Discovery(case, "discovery", ports)
    port = harness.free_port()
    config = {
        "name": "n0",
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{old.port}",
        "seed": SEED,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": old.whole(),
        "settings": SETTINGS,
    }
    path = case.write("config.json", json.dumps(config))
    proxy = case.proxy("proxy", env={"LB_CONFIG": str(path), "TMPDIR": str(case.folder)})
    address = ("127.0.0.1", port)
    harness.wait_until_ready(address)
    started = case.now()

    def wait_until(seconds):
        time.sleep(max(0.0, started + seconds - case.now()))

    end = CONFIGURATION_AT + CROWDED_FOR
    counts = {}
    clients = [
        threading.Thread(target=client, args=(case, address, number, started + end + 1, counts), daemon=True)
        for number in range(CLIENTS)
    ]
    for thread in clients:
        thread.start()
    wait_until(CONFIGURATION_AT)
    discovery = old
    if harness.TROUBLE:
        discovery = Discovery(case, "new discovery", ports, is_crowded=True)
        config["discovery"] = f"127.0.0.1:{discovery.port}"
        # The file is replaced as a whole, beside the old one.
        beside = case.write("config.json.new", json.dumps(config))
        beside.replace(path)
        proxy.signal(signal.SIGHUP)
        old.retire()
    wait_until(CONFIGURATION_AT + DRAIN_AFTER)
    discovery.start_drain()
    if harness.TROUBLE:
        wait_until(end)
        discovery.end_crowd()
    for thread in clients:
        thread.join(30)
    case.note(f"answers by status: {counts}")
    told_at = discovery.draining_at + TOLD_AFTER
    if discovery.told_at is not None:
        told_at = min(told_at, discovery.told_at)
    after = [at - told_at for at in backends[0].begun if at > told_at]
    late = [seconds for seconds in after if seconds > DRAIN_GRACE + SLACK]
    shares = [len(backend.begun) for backend in backends]
    case.note(f"requests by backend: {shares}; at s-0 after the drain counts as told: {len(after)}")
    if not backends[0].begun or 200 not in counts:
        return harness.CANNOT_RUN, "the traffic did not reach the backend before"
    if counts.get(None):
        return harness.BROKEN, f"{counts[None]} requests without an answer"
    if late:
        return harness.BROKEN, (
            f"{len(late)} requests went to the draining backend later than {DRAIN_GRACE} s after its drain counts "
            f"as told, the last {max(late):.2f} s after it"
        )
    return harness.HELD, "nothing went to the draining backend after its grace"


harness.run(FOLDER, body)
