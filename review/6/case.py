"""During a release, a node that is stopped as planned cuts streams of workers that are only silent."""

import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))
from standins import BROKEN, COULD_NOT_RUN, HELD, Client, Deployment, app_route, configuration, in_threads, trouble  # noqa: E402

LENGTH_S = 20.0
RELEASE_AT_S, SERVES_ON_S = 4.0, 2.0 + 1.0
SIGTERM_AT_S, PUT_BACK_AT_S, PUT_BACK_FOR_S = 12.0, 12.5, 2.0
GRACE_S = 8.0
CLIENTS = 18
EVENTS, EVENT_MS = 20, 100

routes = [app_route("clip-title", "streaming", 2, backend="eider-llm", streamResume=True, gapTargetMs=300)]
routes[0].update(timeoutMs=12000, targetLatencyMs=1500, priority=0)
services = [{"name": "eider-llm", "healthPath": "/healthz", "maxConnections": 360}]
zones = ["gt-zona-a", "gt-zona-b", "gt-zona-c"]
deployment = Deployment(HERE, zones, configuration(routes, services))
engines = [deployment.start_worker("eider-llm", zone, events=EVENTS, event_ms=EVENT_MS) for zone in zones[:2]]
deployment.start_nodes()
time.sleep(1)
record = deployment.record
start = record.now()
STOPPED = 0


def play(index):
    client = Client(deployment, index % len(zones), "c%02x" % index)
    time.sleep(index * 2.0 / CLIENTS)
    while record.now() < start + LENGTH_S:
        end = client.request("POST", "/clip-title/2f", deadline_ms=12000, body=b"x" * 600, kind="stream",
                             headers={"X-Eiderferry-Model": "m", "X-Eiderferry-Token-Usage": "1460,80",
                                      "X-Eiderferry-Prompt-Prefix": "5c1e07a2:800,%x:660" % (index + 16)})
        if end["status"] != 200:
            time.sleep(0.5)


def at(seconds):
    time.sleep(max(0.0, start + seconds - record.now()))


clients = in_threads(CLIENTS, play)
at(RELEASE_AT_S)
if trouble():
    # release, share 0.5, one at a time: the new worker starts first, the old one drains, serves on and ends.
    engines.append(deployment.start_worker("eider-llm", zones[0], version="v2", events=EVENTS, event_ms=EVENT_MS))
    deployment.set_state(engines[0], "draining")
    at(RELEASE_AT_S + SERVES_ON_S)
    deployment.end_worker(engines[0])
at(SIGTERM_AT_S)
# roll_term: planned work.
deployment.signal_node(STOPPED, signal.SIGTERM)
stopped_at = record.now()
at(PUT_BACK_AT_S)
for engine in engines[1:] if trouble() else engines:
    deployment.tell_worker(engine, preempt_s=PUT_BACK_FOR_S)
deployment.nodes[STOPPED].wait()
time.sleep(0.5)
deployment.start_node(STOPPED)
for client in clients:
    client.join()

sent = {event["id"]: event["t"] for event in record.of("sent")}
ran = {event["id"] for event in record.of("runs")}
ends = record.of("ended")
served = [event for event in ends if event["status"] == 200 and event["whole"]]
# LOST: read whole and passed on by the machine that was stopped as planned, until 1 s after graceS, and ended
# without a complete answer. No worker broke off, no deadline passed, and nothing unplanned was done.
lost = [event for event in ends
        if event["node"] == STOPPED and event["id"] in ran and not event["whole"] and event["how"] == "cut"
        and stopped_at <= event["t"] <= stopped_at + GRACE_S * 5 / 6]
for event in lost:
    record.add("LOST is broken", id=event["id"], sent=sent[event["id"]], ended=event["t"], stopped_at=round(stopped_at, 3),
               last=event["text"][-40:])
put_back = len(record.of("puts a stream back"))
said = "%d requests, %d served whole; streams put back: %d; cut by the node that was stopped as planned: %d" % (
    len(ends), len(served), put_back, len(lost))
if len(served) < len(ends) / 4 or not put_back:
    deployment.finish(COULD_NOT_RUN, said, "nothing to judge")
deployment.finish(BROKEN if lost else HELD, said)
