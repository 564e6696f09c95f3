"""JSON-RPC 2.0 over TCP for the stand-ins: messages in lines, or behind a head with Content-Length."""

import json


def write_line(connection, message):
    connection.sendall(json.dumps(message).encode() + b"\n")


def read_line(stream):
    """Reads one message; returns None at the end of the stream."""
    line = stream.readline()
    return json.loads(line) if line.endswith(b"\n") else None


def write_framed(connection, message):
    text = json.dumps(message).encode()
    connection.sendall(b"Content-Length: %d\r\n\r\n%s" % (len(text), text))


def read_framed(stream):
    """Reads one message; returns None at the end of the stream."""
    length = None
    while True:
        line = stream.readline()
        if not line:
            return None
        if line == b"\r\n":
            break
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            length = int(value)
    text = stream.read(length)
    return json.loads(text) if len(text) == length else None
