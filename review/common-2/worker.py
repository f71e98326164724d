"""Stand-in of a worker, as a process of its own.

The argument holds its options as JSON; it prints its address, then one JSON object a line for what it
runs. Lines on its standard input change its mode (the troubles of the site files):

  work_ms          time that a request takes
  spoiled          share of answers of which some bytes are wrong: the name of the header with the worker's
                   signature (garble)
  unframed         share of answers without a length, which end with their connection (garble, "unframed")
"""

import itertools
import json
import socket
import sys
import threading
import time

from standins import Connection

options = {"work_ms": 30, "spoiled": 0.0, "unframed": 0.0, "bytes": 800,
           "events": 0, "event_ms": 50}
options.update(json.loads(sys.argv[1]))
output = threading.Lock()
NAME = options["id"]


def tell(what, **fields):
    with output:
        print(json.dumps({"what": what, "at": time.monotonic(), **fields}), flush=True)


counters = {name: itertools.count(1) for name in ("spoiled", "unframed")}


def happens(option):
    """Whether it happens to this answer: to each 50th, for example, if the share is 0.02."""
    share = options[option]
    return share > 0 and next(counters[option]) % round(1 / share) == 0


def stamp(attempt):
    return "3e1b.%s.%s" % (NAME, attempt)


def body_of(attempt):
    """The worker's whole body for a request; its last line is the end mark."""
    line = ("%s %s\n" % (NAME, attempt)).encode()
    return line * (options["bytes"] // len(line)) + b"end\n"


def head(status, attempt, *more):
    lines = ["HTTP/1.1 " + status, "X-Eiderferry-Attempt-Id: " + attempt, *more]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def serve(sock):
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection = Connection(sock)
    try:
        while True:
            read = connection.read_head()
            if read is None:
                return
            first_line, headers = read
            connection.read_body(headers)
            method, path, _ = first_line.split()
            attempt = headers.get("x-eiderferry-attempt-id")
            if path == "/healthz":
                sock.sendall(("HTTP/1.1 200 OK\r\nX-Eiderferry-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n" % NAME).encode())
                continue
            if attempt is None or path.startswith("/-/"):
                sock.sendall(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                continue
            if headers.get("x-eiderferry-expect-instance", NAME) != NAME:
                sock.sendall(head("421 Misdirected Request", attempt, "X-Eiderferry-Instance-Id: " + NAME,
                                  "Content-Length: 0"))
                continue
            tell("runs", id=attempt, path=path, tenant=headers.get("x-eiderferry-tenant"))
            is_unframed = happens("unframed")
            if options["events"]:
                answer_stream(sock, attempt, is_unframed, int(headers.get("last-event-id") or 0))
            else:
                time.sleep(options["work_ms"] / 1000)
                answer_whole(sock, attempt, is_unframed)
            tell("has answered", id=attempt, unframed=is_unframed)
            if is_unframed:
                return
    except (OSError, EOFError):
        pass
    finally:
        sock.close()


def answer_whole(sock, attempt, is_unframed):
    body = body_of(attempt)
    if is_unframed:
        sock.sendall(head("200 OK", attempt, "X-Eiderferry-Server-Stamp: " + stamp(attempt), "Connection: close"))
        for part in range(4):
            sock.sendall(body[part * len(body) // 4:(part + 1) * len(body) // 4])
            time.sleep(options["work_ms"] / 1000)
        return
    is_spoiled = happens("spoiled")
    if is_spoiled:
        tell("spoils an answer", id=attempt)
    name = "X-Eiderferry-Serve#-Stamp" if is_spoiled else "X-Eiderferry-Server-Stamp"
    sock.sendall(head("200 OK", attempt, name + ": " + stamp(attempt), "Keep-Alive: timeout=9",
                      "Content-Length: %d" % len(body)) + body)


def answer_stream(sock, attempt, is_unframed, last_event):
    framing = "Connection: close" if is_unframed else "Transfer-Encoding: chunked"
    sock.sendall(head("200 OK", attempt, "X-Eiderferry-Server-Stamp: " + stamp(attempt),
                      "Content-Type: text/event-stream", framing))
    for number in range(last_event + 1, options["events"] + 1):
        time.sleep(options["event_ms"] / 1000)
        event = b"id: %d\ndata: %s of %d\n\n" % (number, attempt.encode(), options["events"])
        sock.sendall(event if is_unframed else b"%x\r\n%s\r\n" % (len(event), event))
    if not is_unframed:
        sock.sendall(b"0\r\n\r\n")


def follow_modes():
    for line in sys.stdin:
        options.update(json.loads(line))


listener = socket.create_server((options["ip"], 0), backlog=128)
print(json.dumps({"address": "%s:%d" % listener.getsockname()}), flush=True)
threading.Thread(target=follow_modes, daemon=True).start()
while True:
    accepted, _ = listener.accept()
    threading.Thread(target=serve, args=(accepted,), daemon=True).start()
