"""Killed nodes start again: until they know the configuration they refuse proper heads as too large."""

import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))
from standins import BROKEN, COULD_NOT_RUN, HELD, Client, Deployment, app_route, configuration, in_threads, trouble  # noqa: E402

LENGTH_S = 14.0
KILL_AT_S, DOWN_S = 4.0, 0.5
CONTACT_S = 3.0
CLIENTS = 84
INTERVAL_S = 0.25
# Parts of a long prompt: the head takes 9 to 10 KB, well within maxHeaderBytes (16384).
PARTS = ",".join("%08x:%d" % (0x5C1E0000 + number, 40) for number in range(750))

routes = [app_route("clip-title", "streaming", 2, backend="eider-llm", streamResume=True, gapTargetMs=300)]
routes[0].update(timeoutMs=12000, targetLatencyMs=1500, priority=0)
services = [{"name": "eider-llm", "healthPath": "/healthz", "maxConnections": 360}]
node_zones = ["gt-zona-a", "gt-zona-a", "gt-zona-a", "gt-zona-b", "gt-zona-b", "gt-zona-c", "gt-zona-c"]
deployment = Deployment(HERE, node_zones, configuration(routes, services))
for zone in sorted(set(node_zones)):
    deployment.start_worker("eider-llm", zone, events=3, event_ms=20)
deployment.start_nodes()
time.sleep(1)
record = deployment.record
start = record.now()


def play(index):
    client = Client(deployment, index % len(node_zones), "c%02x" % index)
    time.sleep(index * INTERVAL_S / CLIENTS)
    while record.now() < start + LENGTH_S:
        begun = record.now()
        client.request("POST", "/clip-title/2f", deadline_ms=12000, body=b"x" * 600, kind="stream",
                       headers={"X-Eiderferry-Model": "m", "X-Eiderferry-Token-Usage": "30000,24",
                                "X-Eiderferry-Prompt-Prefix": "%s,%x:10" % (PARTS, index + 16)})
        time.sleep(max(0.0, begun + INTERVAL_S - record.now()))


clients = in_threads(CLIENTS, play)
time.sleep(KILL_AT_S)
killed_at = record.now()
if trouble():
    # herd_kill: "many processes are killed at the same moment"; the platform starts them again.
    for node in range(len(node_zones)):
        deployment.signal_node(node, signal.SIGKILL)
    time.sleep(DOWN_S)
    for node in range(len(node_zones)):
        deployment.nodes[node].wait()
        deployment.start_node(node)
for client in clients:
    client.join()

ends = record.of("ended")
served = [event for event in ends if event["status"] == 200 and event["whole"]]
# DENIED: 3xx or 4xx of the system's own (no worker's stamp), other than 408, 421 and 429.
denied = [event for event in ends if 300 <= event["status"] < 500 and event["status"] not in (408, 421, 429) and not event["stamp"]]
sent = {event["id"]: event["t"] for event in record.of("sent")}
out_of_touch = [event for event in denied if killed_at <= sent[event["id"]] <= killed_at + DOWN_S + CONTACT_S]
in_touch = len(denied) - len(out_of_touch)
for event in denied:
    record.add("a proper request is denied", id=event["id"], node=event["node"], status=event["status"], sent=sent[event["id"]])
said = "%d requests, %d served whole; denied by machines out of touch: %d (more than 10 break DENIED), in touch: %d (more than %.1f)" % (
    len(ends), len(served), len(out_of_touch), in_touch, 5 + len(ends) / 500)
if len(served) < len(ends) / 4:
    deployment.finish(COULD_NOT_RUN, said, "too few served to judge")
deployment.finish(BROKEN if len(out_of_touch) > 10 or in_touch > 5 + len(ends) / 500 else HELD, said)
