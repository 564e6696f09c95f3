"""A keyed request that is sent again by a proxy that is held up for a moment before it writes."""

import json
import os
import pathlib
import signal
import socket
import struct
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))
import harness  # noqa: E402

# The seed of the proxy's random numbers.
SEED = "8c1f30d27a5be964"
ROUNDS = 12
# Requests of another class that are answered right before the reset, on connections that are then kept.
OTHERS = 8
WINDOW = 0.8
# What the pages add to each time limit on sockets.
SLACK = 0.05
# How long before the end of the window the connection is reset under the request.
RESET_BEFORE_END = 0.025
# From the reset to the moment in which the proxy is held up, and for how long it is.
HOLD_AFTER = 0.004
HOLD = 0.14
# The longest time that the pages allow for it. A round in which the machine made it longer does not count.
MAX_HOLD = 0.15

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
        self.proxy = None
        self.lock = threading.Lock()
        self.runs = {}  # by key: the times at which it was run
        self.held_for = {}  # by key: for how long the proxy was held up
        self.came_at = {}  # by key: when it came first
        self.came = threading.Condition(self.lock)
        self.answer_others = threading.Event()
        self.others_waiting = 0
        self.connections = set()
        self.listeners = [socket.create_server(("127.0.0.1", 0)) for _ in range(2)]
        self.ports = [listener.getsockname()[1] for listener in self.listeners]
        for number, listener in enumerate(self.listeners):
            threading.Thread(target=self.accept, args=(f"s-{number}", listener), daemon=True).start()

    def accept(self, name, listener):
        while True:
            connection, _ = listener.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connections.add(connection)
            threading.Thread(target=self.serve, args=(name, connection), daemon=True).start()

    def close_idle(self):
        for connection in list(self.connections):
            self.connections.discard(connection)
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def serve(self, name, connection):
        stream = connection.makefile("rb")
        try:
            while True:
                head = harness.read_http_head(stream)
                if head is None or harness.read_http_body(stream, head[1]) is None:
                    return
                self.handle(name, connection, *head)
        except (OSError, ValueError):
            return

    def handle(self, name, connection, line, headers):
        key = headers.get("idempotency-key")
        if key is None:
            with self.lock:
                self.others_waiting += 1
            self.answer_others.wait(2)
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            with self.lock:
                self.others_waiting -= 1
                self.came.notify_all()
            return
        with self.lock:
            at = self.case.now()
            is_first = key not in self.came_at
            first_at = self.came_at.setdefault(key, at)
            is_known = not is_first and at - first_at <= WINDOW + SLACK
            if not is_known:
                self.runs.setdefault(key, []).append(at)
            self.came.notify_all()
            what = "a repeat, not run" if is_known else "run"
        self.case.note(f"{name}: {line}, key {key}: {what}, {at - first_at:.3f} s after it came first")
        if not (harness.TROUBLE and is_first):
            time.sleep(0.05)
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            return
        reset_at = first_at + WINDOW - RESET_BEFORE_END
        time.sleep(max(0.0, reset_at - 0.002 - self.case.now()))
        with self.lock:
            self.answer_others.set()
            self.came.wait_for(lambda: self.others_waiting == 0, 0.05)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.connections.discard(connection)
        # The stream of this thread holds the socket as well, so that only the descriptor itself can be closed.
        os.close(connection.detach())
        reset = self.case.now()
        time.sleep(HOLD_AFTER)
        os.kill(self.proxy.pid, signal.SIGSTOP)
        held = self.case.now()
        time.sleep(HOLD)
        os.kill(self.proxy.pid, signal.SIGCONT)
        self.held_for[key] = self.case.now() - held
        self.case.note(
            f"{name}: key {key}: reset {reset - first_at:.3f} s after it came; the proxy was held up "
            f"{held - reset:.4f} s later for {self.held_for[key]:.3f} s"
        )
        raise OSError("reset")


def body(case):
    backends = Backends(case)
    discovery = Discovery(backends.ports)
    port = harness.free_port()
    config = {
        "name": "n0",
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{discovery.port}",
        "seed": SEED,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": json.loads(discovery.whole),
        "settings": SETTINGS,
    }
    path = case.write("config.json", json.dumps(config))
    backends.proxy = case.proxy("proxy", env={"LB_CONFIG": str(path), "TMPDIR": str(case.folder)})
    address = ("127.0.0.1", port)
    harness.wait_until_ready(address)
    answers = {}
    numbers = iter(range(1, 10**6))

    def send(kind, key=None):
        number = next(numbers)
        headers = {"X-Request-ID": f"{number:016x}", "X-Priority-Class": kind}
        if key is None:
            headers["X-Timeout-Ms"] = "2500"
            response = harness.http_call(address, "GET", f"/{kind}/{number:016x}", headers)
        else:
            headers.update({"X-Timeout-Ms": "5000", "Idempotency-Key": key})
            response = harness.http_call(address, "POST", f"/{kind}/{number:016x}", headers, b"{}")
        answers[key or number] = response.status if response else None
        if key is not None:
            case.note(f"client: {kind}, key {key}: {answers[key]}")

    keys = [f"5c0f6e1a2b3d4c59a8b7c6d5e4f3{round_number:04}" for round_number in range(ROUNDS)]
    for key in keys:
        backends.answer_others.clear()
        keyed = threading.Thread(target=send, args=("close-round", key), daemon=True)
        keyed.start()
        with backends.lock:
            backends.came.wait_for(lambda: key in backends.came_at, 1)
        if harness.TROUBLE and key in backends.came_at:
            time.sleep(max(0.0, backends.came_at[key] + WINDOW - 0.35 - case.now()))
        others = [threading.Thread(target=send, args=("standings",), daemon=True) for _ in range(OTHERS)]
        for thread in others:
            thread.start()
        if not harness.TROUBLE:
            time.sleep(0.1)
            backends.answer_others.set()
        for thread in [keyed, *others]:
            thread.join(10)
        backends.answer_others.set()
        time.sleep(0.05)
        backends.close_idle()
        time.sleep(0.1)
    unanswered = [name for name, status in answers.items() if status is None]
    if unanswered:
        return harness.BROKEN, f"requests without an answer: {unanswered}"
    twice = {key: [round(at - backends.came_at[key], 3) for at in runs] for key, runs in backends.runs.items()}
    twice = {key: runs for key, runs in twice.items() if len(runs) > 1}
    too_long = [key for key, seconds in backends.held_for.items() if seconds > MAX_HOLD]
    twice = {key: runs for key, runs in twice.items() if key not in too_long}
    statuses = {}
    for status in answers.values():
        statuses[status] = statuses.get(status, 0) + 1
    case.note(f"answers by status: {statuses}")
    if harness.TROUBLE and len(too_long) == len(backends.held_for):
        return harness.CANNOT_RUN, "the machine held the proxy up for longer than the pages allow in each round"
    if twice:
        return harness.BROKEN, (
            f"{len(twice)} of {ROUNDS} keyed requests were sent again after the {WINDOW} s in which repeats are "
            f"dropped, and ran twice: seconds from the first to each run: {list(twice.values())}"
        )
    return harness.HELD, f"{ROUNDS} keyed requests, none ran twice"


harness.run(FOLDER, body)
