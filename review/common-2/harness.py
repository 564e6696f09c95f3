"""What the cases 6 to 10 share: the proxy as a separate process, the record, free ports, and the end of a run.

Python 3 and its standard library only. Every address is a loopback address. A run ends by itself after at most
MAX_SECONDS, and ends every process that it started.
"""

import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

HELD, BROKEN, CANNOT_RUN = 0, 1, 2
MAX_SECONDS = 115
ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be run, so it says nothing about the rule."""


class Case:
    """One run of a case: a temporary folder, a record, and the processes that were started."""

    def __init__(self, folder):
        self.started_at = time.monotonic()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="amberlever-review-"))
        self.record_file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.processes = []
        self.ended = False
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, lambda *_: self.end(CANNOT_RUN, "ended by a signal"))
        watchdog = threading.Timer(MAX_SECONDS, lambda: self.end(CANNOT_RUN, "the run took too long"))
        watchdog.daemon = True
        watchdog.start()
        self.note(f"trouble: {'on' if TROUBLE else 'off'}")

    def now(self):
        """Seconds since the start of the run."""
        return time.monotonic() - self.started_at

    def note(self, text):
        """Writes one line to the record."""
        with self.lock:
            if not self.record_file.closed:
                self.record_file.write(f"{self.now():9.3f}  {text}\n")
                self.record_file.flush()

    def end(self, code, text):
        """Ends all processes, writes the verdict and exits."""
        with self.lock:
            if self.ended:
                return
            self.ended = True
        for process in self.processes:
            process.kill()
        verdict = {HELD: "the rule held", BROKEN: "the rule was broken", CANNOT_RUN: "could not run"}[code]
        self.note(f"{verdict}: {text}")
        print(f"{verdict}: {text}", flush=True)
        self.record_file.close()
        shutil.rmtree(self.folder, ignore_errors=True)
        os._exit(code)

    def write(self, name, text):
        """Writes a file into the temporary folder and returns its path."""
        path = self.folder / name
        path.write_text(text, encoding="utf-8")
        return path

    def proxy(self, name, config=None, env=None, start_line="listening on ", listener=None):
        """Starts the program by `run` of the deploy file, with `serve --config` if there is a configuration.

        A `listener` is passed on as systemd does it: as descriptor 3, with `LISTEN_FDS` and `LISTEN_PID`.
        """
        proxy = Proxy(self, name, config, env or {}, listener)
        self.processes.append(proxy)
        if start_line is not None:
            proxy.wait_for_log(start_line)
        return proxy


def run_command():
    """The command `run` of the deploy file."""
    text = (ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8")
    found = re.search(r'^run = "([^"]*)"', text, re.MULTILINE)
    if not found:
        raise CannotRun("the deploy file has no `run`")
    return found.group(1)


# Run in the child: puts the descriptor at 3, sets the variables of systemd, and becomes the command.
PASS_SOCKET = """
import os, sys
os.dup2(int(sys.argv[1]), 3)
os.environ.update(LISTEN_FDS="1", LISTEN_PID=str(os.getpid()))
os.execv("/bin/sh", ["/bin/sh", "-c", sys.argv[2]])
"""


class Proxy:
    """A proxy process and its log."""

    def __init__(self, case, name, config, env, listener=None):
        self.case, self.name = case, name
        self.log = []
        self.log_changed = threading.Condition()
        command = run_command()
        if config is not None:
            command = f'{command} serve --config "{config}"'
        environment = {key: value for key, value in os.environ.items() if not key.startswith("LB_")}
        environment.update(env)
        case.note(f"{name}: starting: {command}")
        arguments, descriptors = ["/bin/sh", "-c", command], ()
        if listener is not None:
            descriptors = (listener.fileno(),)
            arguments = [sys.executable, "-c", PASS_SOCKET, str(listener.fileno()), command]
        self.child = subprocess.Popen(
            arguments,
            pass_fds=descriptors,
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.PIPE,
            start_new_session=True,
        )
        self.pid = self.child.pid
        threading.Thread(target=self._read_log, daemon=True).start()

    def _read_log(self):
        for line in self.child.stderr:
            text = line.decode("utf-8", "replace").rstrip()
            self.case.note(f"{self.name}: log: {text}")
            with self.log_changed:
                self.log.append(text)
                self.log_changed.notify_all()
        with self.log_changed:
            self.log.append(None)
            self.log_changed.notify_all()

    def wait_for_log(self, start, seconds=15):
        """Waits for a line that starts like this, and returns the rest of it."""
        deadline = time.monotonic() + seconds
        with self.log_changed:
            while True:
                for line in self.log:
                    if line is not None and line.startswith(start):
                        return line[len(start):]
                if self.log and self.log[-1] is None:
                    raise CannotRun(f"{self.name} ended without the line {start!r}")
                left = deadline - time.monotonic()
                if left <= 0:
                    raise CannotRun(f"{self.name} did not write the line {start!r}")
                self.log_changed.wait(left)

    def signal(self, number):
        """Sends a signal to the process."""
        self.case.note(f"{self.name}: {signal.Signals(number).name}")
        os.kill(self.pid, number)

    def wait(self, seconds):
        """Waits for the end of the process; returns its exit code, or None if it goes on."""
        try:
            return self.child.wait(seconds)
        except subprocess.TimeoutExpired:
            return None

    def kill(self):
        """Ends the process at once."""
        if self.child.poll() is None:
            try:
                os.killpg(self.pid, signal.SIGKILL)
            except ProcessLookupError:
                pass
            self.child.wait()


def free_port():
    """A TCP port of 127.0.0.1 that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def run(folder, body):
    """Runs `body(case)`, which returns the code and the text of the verdict."""
    if not (ROOT / "target" / "release" / "amberlever").exists():
        print("could not run: the program is not built", flush=True)
        sys.exit(CANNOT_RUN)
    case = Case(folder)
    try:
        code, text = body(case)
    except CannotRun as fault:
        code, text = CANNOT_RUN, str(fault)
    except Exception as fault:  # A fault of the test is not a fault of the program.
        code, text = CANNOT_RUN, f"{type(fault).__name__}: {fault}"
    case.end(code, text)


# ---- HTTP ----


class HttpResponse:
    """A response that arrived whole."""

    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body

    def json(self):
        return json.loads(self.body) if self.body else None


def read_http_head(stream):
    """Reads a start line and header fields; returns None if the stream ends first."""
    line = stream.readline()
    if not line:
        return None
    headers = {}
    while True:
        field = stream.readline()
        if not field:
            return None
        if field in (b"\r\n", b"\n"):
            return line.decode("latin-1").strip(), headers
        name, _, value = field.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()


def read_http_body(stream, headers):
    """Reads a body with a length or in chunks; returns None if the stream ends first."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = stream.readline()
            if not size:
                return None
            length = int(size.split(b";")[0], 16)
            chunk = stream.read(length + 2)
            if len(chunk) < length + 2:
                return None
            if length == 0:
                return body
            body += chunk[:-2]
    length = int(headers.get("content-length", "0"))
    body = stream.read(length)
    return body if len(body) == length else None


def read_http_response(stream):
    """Reads a response; returns None if the connection ends before it is whole."""
    while True:
        head = read_http_head(stream)
        if head is None:
            return None
        line, headers = head
        status = int(line.split()[1])
        if status >= 200:
            break
    body = read_http_body(stream, headers)
    return None if body is None else HttpResponse(status, headers, body)


def http_call(address, method, path, headers=None, body=b"", timeout=20):
    """Sends one request on a connection of its own; returns None if there is no whole response."""
    if isinstance(body, str):
        body = body.encode()
    fields = {"Host": f"{address[0]}:{address[1]}", "Connection": "close"}
    fields.update(headers or {})
    if body or method not in ("GET", "DELETE"):
        fields["Content-Length"] = str(len(body))
    head = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    try:
        with socket.create_connection(address, timeout=timeout) as connection:
            connection.sendall(head.encode() + b"\r\n" + body)
            return read_http_response(connection.makefile("rb"))
    except OSError:
        return None


def wait_until_ready(address, seconds=15):
    """Waits until the health check succeeds."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        response = http_call(address, "GET", "/healthz", timeout=2)
        if response is not None and response.status == 200:
            return
        time.sleep(0.05)
    raise CannotRun("the proxy is not ready")
