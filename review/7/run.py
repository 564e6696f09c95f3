"""A keyed request that is sent again over a connection that comes up late."""

import json
import pathlib
import select
import socket
import struct
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))
import harness  # noqa: E402

ROUNDS = 6
# Requests of another class in each round, each on a connection that comes up at once.
OTHERS = 5
WINDOW = 0.8
# What the pages add to each time limit on sockets.
SLACK = 0.05
# How long before the end of the window the connection is reset under the request.
RESET_BEFORE_END = 0.1
SERVICE_TIME = 0.1
# The longest time that a connection takes to come up; a third of the connections are late at most.
MAX_LATE = 1.5

SETTINGS = {
    "balancers": 1,
    "clients": {"marks_retry": True},
    "contract": {
        "answer_slack_ms": 20.0, "cold_from": 0.14, "cold_ms": 21000.0, "fall_ms": 1500.0,
        "fall_multiple": 4.0, "must_ask_in_ms": 10000.0, "stop_sending_within_ms": 500.0,
    },
    "discovery": "on_request",
    "goal": {"whole": 0.6, "worst_class": 0.2, "worst_tenant": 0.0, "worst_window": 0.2},
    "host_types": ["front-fast", "front-std"],
    "limits": {
        "cancel": True, "connect_timeout_ms": 1500.0, "cpu_us_per_request": 0.0, "cpu_us_per_s": 875000,
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
        {
            "deadline_ms": 5000.0, "dedup_window_ms": WINDOW * 1000, "gain": 1.0, "group": "all",
            "late_value": 0.0, "name": "close-round", "promise_ms": 2000.0, "semantics": "deduplicated",
            "streaming": False,
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
    """Discovery with a list that does not change."""

    def __init__(self, ports):
        hosts = [
            {
                "host": f"s-{number}", "dial": f"127.0.0.1:{port}", "site": "kuching", "class": "front-std",
                "block": 1, "health": "SERVING", "share": 1.0, "born_ms": 0,
            }
            for number, port in enumerate(ports)
        ]
        self.whole = json.dumps({"seq": 1, "whole": True, "hosts": hosts}).encode()
        self.nothing = json.dumps({"seq": 1, "whole": False, "hosts": []}).encode()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            connection, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        stream = connection.makefile("rb")
        while True:
            try:
                head = harness.read_http_head(stream)
                if head is None:
                    return
                target = head[0].split()[1]
                text = self.whole
                if "after=1&" in target:
                    time.sleep(int(target.rpartition("wait_ms=")[2]) / 1000)
                    text = self.nothing
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))
            except (OSError, ValueError):
                return


class Backends:
    """Two backends of one group: for WINDOW and the slack after a key came, no backend runs it again."""

    def __init__(self, case):
        self.case = case
        self.lock = threading.Lock()
        self.runs = {}  # by key: the times at which it was run
        self.came_at = {}  # by key: when it came first
        self.connections = 0
        self.reset_at = {}  # by key: when the connection was reset
        self.came_up = []  # for each repeat: how long after the reset
        self.open_doors = threading.Event()
        self.open_doors.set()
        self.listeners = [socket.create_server(("127.0.0.1", 0)) for _ in range(2)]
        self.ports = [listener.getsockname()[1] for listener in self.listeners]
        for number, listener in enumerate(self.listeners):
            listener.setblocking(False)
            threading.Thread(target=self.accept, args=(f"s-{number}", listener), daemon=True).start()

    def accept(self, name, listener):
        while True:
            self.open_doors.wait()
            select.select([listener], [], [], 0.005)
            with self.lock:
                if not self.open_doors.is_set():
                    continue
                try:
                    connection, _ = listener.accept()
                except BlockingIOError:
                    continue
            connection.setblocking(True)
            threading.Thread(target=self.serve, args=(name, connection), daemon=True).start()

    def lose_first_packets(self, seconds):
        """For so long, the first packet of a new connection is lost: it comes up when it is sent again."""
        with self.lock:
            self.open_doors.clear()
            fillers = []
            for listener in self.listeners:
                listener.listen(0)
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(listener.getsockname())
                fillers.append(filler)
        threading.Timer(seconds, self.take_connections, args=(fillers,)).start()

    def take_connections(self, fillers):
        with self.lock:
            for filler in fillers:
                filler.close()
            for listener in self.listeners:
                listener.listen(128)
            self.open_doors.set()

    def serve(self, name, connection):
        stream = connection.makefile("rb")
        try:
            head = harness.read_http_head(stream)
            if head is None or harness.read_http_body(stream, head[1]) is None:
                return
        except OSError:
            return
        line, headers = head
        key = headers.get("idempotency-key")
        is_reset = False
        with self.lock:
            self.connections += 1
            at = self.case.now()
            if key is None:
                what = "run"
            else:
                is_first = key not in self.came_at
                first_at = self.came_at.setdefault(key, at)
                is_known = not is_first and at - first_at <= WINDOW + SLACK
                if not is_known:
                    self.runs.setdefault(key, []).append(at)
                is_reset = harness.TROUBLE and is_first
                if not is_first and key in self.reset_at:
                    self.came_up.append(at - self.reset_at[key])
                what = "a repeat, not run" if is_known else "run"
                what += f", {at - first_at:.3f} s after it came first"
        self.case.note(f"{name}: {line}, key {key}: {what}")
        if is_reset:
            time.sleep(max(0.0, first_at + WINDOW - RESET_BEFORE_END - self.case.now()))
            self.lose_first_packets(0.5)
            self.reset_at[key] = self.case.now()
            self.case.note(f"{name}: key {key}: connection reset under the request")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            stream.close()
            connection.close()
            return
        time.sleep(SERVICE_TIME)
        try:
            connection.sendall(b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok")
            connection.shutdown(socket.SHUT_WR)
        except OSError:
            pass
        stream.close()
        connection.close()


def body(case):
    backends = Backends(case)
    discovery = Discovery(backends.ports)
    port = harness.free_port()
    config = {
        "name": "n0",
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{discovery.port}",
        "seed": f"{time.time_ns() & (2**64 - 1):016x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": json.loads(discovery.whole),
        "settings": SETTINGS,
    }
    path = case.write("config.json", json.dumps(config))
    case.proxy("proxy", env={"LB_CONFIG": str(path), "TMPDIR": str(case.folder)})
    address = ("127.0.0.1", port)
    harness.wait_until_ready(address)
    answers = {}
    number = 0

    def send(kind, key=None):
        nonlocal number
        number += 1
        headers = {"X-Request-ID": f"{number:016x}", "X-Priority-Class": kind}
        if key is None:
            headers["X-Timeout-Ms"] = "2500"
            response = harness.http_call(address, "GET", f"/{kind}/{number:016x}", headers)
        else:
            headers.update({"X-Timeout-Ms": "5000", "Idempotency-Key": key})
            response = harness.http_call(address, "POST", f"/{kind}/{number:016x}", headers, b"{}")
        answers[key or number] = response.status if response else None
        case.note(f"client: {kind}, key {key}: {answers[key or number]}")

    keys = [f"5c0f6e1a2b3d4c59a8b7c6d5e4f3{round_number:04}" for round_number in range(ROUNDS)]
    for key in keys:
        for _ in range(OTHERS):
            send("standings")
        send("close-round", key)
        time.sleep(0.6)
    unanswered = [name for name, status in answers.items() if status is None]
    if unanswered:
        return harness.BROKEN, f"requests without an answer: {unanswered}"
    twice = {key: [round(at - backends.came_at[key], 3) for at in runs] for key, runs in backends.runs.items()}
    twice = {key: runs for key, runs in twice.items() if len(runs) > 1}
    late = sum(1 for at in backends.came_up if at > 0.05)
    case.note(f"connections: {backends.connections}, of which {late} came up late")
    if harness.TROUBLE and (late == 0 or late * 3 > backends.connections or max(backends.came_up) > MAX_LATE):
        return harness.CANNOT_RUN, f"late connections are outside of the limits of the pages: {backends.came_up}"
    if twice:
        return harness.BROKEN, (
            f"{len(twice)} of {ROUNDS} keyed requests were sent again after the {WINDOW} s in which repeats are "
            f"dropped, and ran twice: seconds from the first to each run: {list(twice.values())}"
        )
    return harness.HELD, f"{ROUNDS} keyed requests, none ran twice"


harness.run(FOLDER, body)
