"""A keyed result whose body is a JSON array, sent over HTTP to nodes that speak JSON-RPC."""

import json
import pathlib
import socket
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))
import harness  # noqa: E402
import json_rpc  # noqa: E402

# Half of the requests have a body that is an array, half one that is an object, in turn.
REQUESTS = 12
DROPPED_EVERY = 2

CONFIG = """
[server]
listen = [{{ address = "127.0.0.1:{port}" }}]

[[class]]
name = "report-result"
aim_ms = 1000
deadline_ms = 3000
semantics = "deduplicated"
dedup_group = "all"
dedup_window_ms = 60000

[[pool]]
name = "scoring"
protocol = "json-rpc"
framing = "content-length"
nodes = [
    {{ name = "score-1", address = "127.0.0.1:{nodes[0]}" }},
    {{ name = "score-2", address = "127.0.0.1:{nodes[1]}" }},
]

[[route]]
name = "report-result"
match = {{ path = "/report-result/{{table}}" }}
class = "report-result"
pool = "scoring"
"""


class Nodes:
    """Two nodes of one group: what one has run by a key, both know, and answer again without running it."""

    def __init__(self, case):
        self.case = case
        self.lock = threading.Lock()
        self.runs = {}  # by table: how often its result was applied
        self.by_key = {}
        self.dropped = set()
        self.listeners = []
        for number in (1, 2):
            listener = socket.create_server(("127.0.0.1", 0))
            self.listeners.append(listener)
            threading.Thread(target=self.accept, args=(f"score-{number}", listener), daemon=True).start()
        self.ports = [listener.getsockname()[1] for listener in self.listeners]

    def accept(self, name, listener):
        while True:
            connection, _ = listener.accept()
            threading.Thread(target=self.serve, args=(name, connection), daemon=True).start()

    def serve(self, name, connection):
        stream = connection.makefile("rb")
        while True:
            try:
                call = json_rpc.read_framed(stream)
            except OSError:
                return
            if call is None or "id" not in call:
                return
            params = call.get("params")
            meta = params.get("_meta", {}) if isinstance(params, dict) else {}
            key = meta.get("key")
            result = params[0] if isinstance(params, list) else params
            table = result["table"]
            with self.lock:
                is_known = key is not None and key in self.by_key
                if not is_known:
                    self.runs[table] = self.runs.get(table, 0) + 1
                if key is not None:
                    self.by_key[key] = table
                is_dropped = (
                    harness.TROUBLE
                    and table not in self.dropped
                    and (table // 2) % DROPPED_EVERY == 0
                )
                if is_dropped:
                    self.dropped.add(table)
            self.case.note(
                f"{name}: {call['method']} params {json.dumps(params)}: "
                + ("a repeat, not run" if is_known else "run")
                + (", connection dropped before the reply" if is_dropped else "")
            )
            if is_dropped:
                connection.shutdown(socket.SHUT_RDWR)
                connection.close()
                return
            json_rpc.write_framed(connection, {"jsonrpc": "2.0", "id": call["id"], "result": {"table": table}})


def body(case):
    nodes = Nodes(case)
    port = harness.free_port()
    path = case.write("lb.toml", CONFIG.format(port=port, nodes=nodes.ports))
    case.proxy("proxy", path)
    address = ("127.0.0.1", port)
    harness.wait_until_ready(address)
    answers = {}
    for table in range(REQUESTS):
        result = {"table": table, "games": [2, 1]}
        sent = json.dumps([result] if table % 2 == 0 else result)
        headers = {"Idempotency-Key": f"5c0f6e1a2b3d4c59a8b7c6d5e4f3{table:04}", "Content-Type": "application/json"}
        response = harness.http_call(address, "POST", f"/report-result/{table}", headers, sent)
        answers[table] = response.status if response else None
        case.note(f"client: POST /report-result/{table} {sent}: {answers[table]}")
        time.sleep(0.05)
    twice = [table for table in range(REQUESTS) if nodes.runs.get(table, 0) > 1]
    never = [table for table in range(REQUESTS) if answers[table] is None]
    case.note(f"applied, by table: {nodes.runs}")
    if never:
        return harness.BROKEN, f"requests without an answer: {never}"
    if twice:
        return harness.BROKEN, f"results applied twice, sent once with one key each: tables {twice}"
    return harness.HELD, f"{REQUESTS} results, each applied once at most"


harness.run(FOLDER, body)
