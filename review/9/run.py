"""A node that one change of a tenant's configuration drains, while results are being sent."""

import json
import pathlib
import socket
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))
import harness  # noqa: E402

DRAIN_GRACE = 0.5
# What the pages add to each time limit on sockets.
SLACK = 0.05
# How fast a client sends a body, in bytes per second, and how many it sends.
BODY_RATE = 64_000
BODY_BYTES = 60_000
UPLOADS = 12
DRAINED = "pairing-1"

CONFIG = """
[server]
listen = [{{ address = "127.0.0.1:{port}" }}]
zone = "south"

[admin]
listen = "127.0.0.1:{admin}"
state = "state"
"""


class Node:
    """A node over HTTP that notes when each request begins, and answers it."""

    def __init__(self, case, name):
        self.case, self.name = case, name
        self.begun = []  # the time of the first byte, and the path
        listener = socket.create_server(("127.0.0.1", 0))
        self.port = listener.getsockname()[1]
        threading.Thread(target=self.accept, args=(listener,), daemon=True).start()

    def accept(self, listener):
        while True:
            connection, _ = listener.accept()
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        stream = connection.makefile("rb")
        while True:
            try:
                if not stream.peek(1):
                    return
                at = self.case.now()
                head = harness.read_http_head(stream)
                if head is None:
                    return
                line, headers = head
                path = line.split()[1]
                self.begun.append((at, path))
                self.case.note(f"{self.name}: {line}: begun at {at:.3f}")
                if harness.read_http_body(stream, headers) is None:
                    return
                time.sleep(0.05)
                text = json.dumps({"path": path}).encode()
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))
            except OSError:
                return


def tenant(nodes, state, deadline_ms):
    return {
        "hosts": ["club.example"],
        "limits": {"weight": 1},
        "config": {
            "limits": {"drain_grace_ms": int(DRAIN_GRACE * 1000)},
            "class": [
                {
                    "name": "report-result",
                    "aim_ms": 2000,
                    "deadline_ms": deadline_ms,
                    "semantics": "at-most-once",
                }
            ],
            "pool": [
                {
                    "name": "pairings",
                    "nodes": [
                        {
                            "name": node.name,
                            "address": f"127.0.0.1:{node.port}",
                            "state": state if node.name == DRAINED else "ready",
                        }
                        for node in nodes
                    ],
                }
            ],
            "route": [
                {
                    "name": "report-result",
                    "match": {"path": "/report-result/{table}"},
                    "class": "report-result",
                    "pool": "pairings",
                }
            ],
        },
    }


def put_tenant(case, admin, document):
    address = ("127.0.0.1", admin)
    old = harness.http_call(address, "GET", "/v1/tenants/club")
    headers = {"Content-Type": "application/json"}
    if old is not None and old.status == 200:
        headers["If-Match"] = old.headers["etag"]
    response = harness.http_call(address, "PUT", "/v1/tenants/club", headers, json.dumps(document))
    if response is None or response.status != 200:
        raise harness.CannotRun(f"the configuration is not taken: {response and response.body!r}")
    return case.now()


def upload(case, address, table, answers):
    """Sends a result as fast as a slow client does, and notes the answer."""
    text = b"x" * BODY_BYTES
    head = (
        f"POST /report-result/{table} HTTP/1.1\r\nHost: club.example\r\n"
        f"Content-Length: {len(text)}\r\nConnection: close\r\n\r\n"
    )
    with socket.create_connection(address, timeout=20) as connection:
        connection.sendall(head.encode())
        begun = time.monotonic()
        sent = 0
        while sent < len(text):
            due = min(len(text), int((time.monotonic() - begun) * BODY_RATE) + 1)
            connection.sendall(text[sent:due])
            sent = due
            time.sleep(0.02)
        case.note(f"client: /report-result/{table}: last byte sent")
        response = harness.read_http_response(connection.makefile("rb"))
        answers[table] = response.status if response else None
        case.note(f"client: /report-result/{table}: {answers[table]}")


def body(case):
    nodes = [Node(case, f"pairing-{number}") for number in (1, 2, 3)]
    port, admin = harness.free_port(), harness.free_port()
    path = case.write("lb.toml", CONFIG.format(port=port, admin=admin))
    case.proxy("proxy", path, start_line="administration API listening on ")
    put_tenant(case, admin, tenant(nodes, "ready", 4000))
    address = ("127.0.0.1", port)
    harness.wait_until_ready(address)

    answers = {}
    uploads = [
        threading.Thread(target=upload, args=(case, address, table, answers), daemon=True)
        for table in range(UPLOADS)
    ]
    for thread in uploads:
        thread.start()
        time.sleep(0.01)
    time.sleep(0.1)
    told_at = None
    if harness.TROUBLE:
        told_at = put_tenant(case, admin, tenant(nodes, "draining", 5000))
        case.note(f"API: 200: {DRAINED} drains, and the deadline of the class is 5 s from now on")
    for thread in uploads:
        thread.join(20)
    unanswered = [table for table in range(UPLOADS) if answers.get(table) is None]
    if unanswered:
        return harness.BROKEN, f"requests without an answer: {unanswered}"
    if told_at is None:
        return harness.HELD, f"{UPLOADS} results answered: {answers}"
    late = [
        (path, at - told_at) for at, path in nodes[0].begun if at - told_at > DRAIN_GRACE + SLACK
    ]
    if late:
        worst = max(after for _, after in late)
        return harness.BROKEN, (
            f"{len(late)} of {UPLOADS} new requests went to {DRAINED} after its {DRAIN_GRACE} s, "
            f"the last {worst:.2f} s after the drain was told"
        )
    return harness.HELD, f"nothing new went to {DRAINED} after its {DRAIN_GRACE} s"


harness.run(FOLDER, body)
