"""A planned restart of a standalone proxy while a JSON-RPC terminal has calls open."""

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
import json_rpc  # noqa: E402

DEADLINE = 2.0
NODE_TIME = 0.02
# How many calls the terminal keeps open.
CONCURRENT = 3
# The operators' page asks to wait for the longest deadline and 3.7 s. A second more, to be generous.
KILL_AFTER = DEADLINE + 3.7 + 1.0
# A request that comes so long after SIGTERM, and is found unanswered by SIGKILL, is lost.
COUNTS_AFTER = 0.7

CONFIG = """
[server]
listen = [
    {{ address = "127.0.0.1:{http}" }},
    {{ address = "127.0.0.1:{rpc}", protocol = "json-rpc", framing = "line", host = "club.example" }},
]

[[class]]
name = "standings"
aim_ms = 2000
deadline_ms = 2000
semantics = "idempotent"

[[class]]
name = "close-round"
aim_ms = 2000
deadline_ms = 2000
semantics = "at-most-once"

[[pool]]
name = "pairings"
nodes = [
    {{ name = "pairing-1", address = "127.0.0.1:{nodes[0]}" }},
    {{ name = "pairing-2", address = "127.0.0.1:{nodes[1]}" }},
]

[[route]]
name = "standings"
match = {{ path = "/standings/{{event}}" }}
class = "standings"
pool = "pairings"

[[route]]
name = "close-round"
match = {{ path = "/close-round/{{event}}" }}
class = "close-round"
pool = "pairings"

[[method]]
name = "standings"
class = "standings"
path = "/standings/{{event}}"

[[method]]
name = "close-round"
class = "close-round"
path = "/close-round/{{event}}"
"""


def start_node():
    """A node over HTTP that answers each request after NODE_TIME."""

    def serve(connection):
        stream = connection.makefile("rb")
        while True:
            try:
                head = harness.read_http_head(stream)
                if head is None or harness.read_http_body(stream, head[1]) is None:
                    return
                time.sleep(NODE_TIME)
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]")
            except OSError:
                return

    def accept():
        while True:
            connection, _ = listener.accept()
            threading.Thread(target=serve, args=(connection,), daemon=True).start()

    listener = socket.create_server(("127.0.0.1", 0))
    threading.Thread(target=accept, daemon=True).start()
    return listener.getsockname()[1]


class Terminal:
    """A JSON-RPC client with one connection, on which it always has CONCURRENT calls open."""

    def __init__(self, case, address):
        self.case = case
        self.connection = socket.create_connection(address, timeout=20)
        self.sent_at = {}  # open calls
        self.answered = 0
        self.taken = None
        self.ended_at = None
        self.last_id = 0
        self.stopped = False
        self.lock = threading.Lock()
        for _ in range(CONCURRENT):
            self.call()
        self.thread = threading.Thread(target=self.read, daemon=True)
        self.thread.start()

    def call(self):
        with self.lock:
            if self.stopped:
                return
            self.last_id += 1
            number = self.last_id
            self.sent_at[number] = self.case.now()
        method = "close-round" if number % 2 else "standings"
        message = {"jsonrpc": "2.0", "id": number, "method": method, "params": {"event": str(number)}}
        try:
            json_rpc.write_line(self.connection, message)
        except OSError:
            with self.lock:
                self.sent_at.pop(number, None)

    def read(self):
        stream = self.connection.makefile("rb")
        while True:
            try:
                message = json_rpc.read_line(stream)
            except OSError:
                message = None
            if message is None:
                self.ended_at = self.case.now()
                self.case.note("terminal: the connection has ended")
                return
            if message.get("method") == "$/closing":
                self.taken = message["params"]["taken"]
                self.case.note(f"terminal: $/closing: {json.dumps(message['params'])}")
                with self.lock:
                    self.stopped = True
                continue
            if "result" not in message:
                self.case.note(f"terminal: {json.dumps(message)}")
            with self.lock:
                self.sent_at.pop(message["id"], None)
                self.answered += 1
            self.call()

    def stop(self):
        """Sends no more calls, and waits for the answers to those that are open."""
        with self.lock:
            self.stopped = True
        deadline = time.monotonic() + DEADLINE + 1
        while self.sent_at and time.monotonic() < deadline:
            time.sleep(0.02)
        return dict(self.sent_at)


def body(case):
    nodes = [start_node(), start_node()]
    http, rpc = harness.free_port(), harness.free_port()
    path = case.write("lb.toml", CONFIG.format(http=http, rpc=rpc, nodes=nodes))
    proxy = case.proxy("proxy", path)
    harness.wait_until_ready(("127.0.0.1", http))
    terminal = Terminal(case, ("127.0.0.1", rpc))
    time.sleep(2)
    case.note(f"terminal: {terminal.answered} calls answered")
    if not harness.TROUBLE:
        time.sleep(KILL_AFTER)
        unanswered = terminal.stop()
        case.note(f"terminal: {terminal.answered} calls answered")
        if unanswered:
            return harness.BROKEN, f"calls without an answer: {unanswered}"
        return harness.HELD, f"all {terminal.answered} calls were answered"

    proxy.signal(signal.SIGTERM)
    told_at = case.now()
    code = proxy.wait(KILL_AFTER)
    if code is not None:
        time.sleep(0.3)
        case.note(f"proxy: ended {case.now() - told_at:.1f} s after SIGTERM with {code}")
        with terminal.lock:
            lost = [number for number in terminal.sent_at if terminal.taken is None or number <= terminal.taken]
        if lost:
            return harness.BROKEN, f"calls that were read and have no answer: {lost}"
        return harness.HELD, "the process ended, and all calls that it had read were answered"
    with terminal.lock:
        terminal.stopped = True
    proxy.signal(signal.SIGKILL)
    killed_at = case.now()
    proxy.wait(5)
    time.sleep(0.3)
    case.note(f"terminal: {terminal.answered} calls answered, $/closing came: {terminal.taken is not None}")
    lost = {
        number: round(at - told_at, 3)
        for number, at in terminal.sent_at.items()
        if told_at + COUNTS_AFTER < at < killed_at
    }
    case.note(f"open at SIGKILL, with the seconds from SIGTERM to when they were sent: {lost}")
    if lost:
        return harness.BROKEN, (
            f"{KILL_AFTER:.1f} s after SIGTERM the process goes on taking calls of a connection that it never "
            f"closed, and SIGKILL finds {len(lost)} of them unanswered"
        )
    return harness.HELD, "SIGKILL found nothing unanswered"


harness.run(FOLDER, body)
