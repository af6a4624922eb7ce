"""A server's entry is removed while two of the three machines of its region are dark."""

import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import rig as lib

REGIONS = ["cuyo", "pampa", "litoral"]
KEY = "key-of-cards"
DARK_S = 3.5            # the sheet's figure for node_kill with power
DRAIN_S = lib.BOUNDS["drainMs"] / 1000
SERVES_ON_S = 6.0       # how long the server serves after its entry was removed
PERIOD_S = 0.05
EVENTS = ("target_gone", "peer_silent", "peer_restarted")


def configuration():
    def route(path, kind):
        return {"name": path.strip("/"), "host": "cards.example", "pathPrefix": path, "kind": kind,
                "resumable": False, "public": False, "timeoutMs": 2000, "goalMs": 400,
                "gapGoalMs": 0, "priority": 2, "maxAttempts": 2 if kind == "safe" else 1,
                "service": "despacho-app", "allowedRegions": []}
    return {
        "version": 7, "routes": [route("/status/", "safe"), route("/dispatch/", "unsafe")],
        "services": [{"name": "despacho-app", "maxConns": 110, "healthCheck": "/health"}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 10000,
                   "idleTimeoutMs": 20000},
        "tenants": [{"name": "cards", "apiKeys": [KEY]}],
    }


def work(server, request):
    # Servers of one service differ in speed; the one that leaves is the fastest.
    time.sleep(0.03 if server.name == "i-leaves" else 0.09)
    return 200, [("Content-Type", "text/plain")], b"done"


def client(rig, machine, kind, stop, sent):
    connection, number = None, 0
    while not stop.is_set():
        number += 1
        request_id = f"{kind[0]}{number:07x}{os.getpid() & 0xffffffff:08x}"
        method = "GET" if kind == "status" else "POST"
        at = time.monotonic()
        sent[request_id] = at
        try:
            connection = connection or lib.Connection(machine.front())
            connection.send(lib.request_bytes(method, f"/{kind}/{number}", "cards.example",
                                              request_id, KEY, 4000,
                                              body=b"deck" if method == "POST" else b""))
            answer = connection.answer()
        except OSError:
            answer = None
        if answer is None or answer[0] != 200:
            rig.record.add(f"{request_id} to {machine.name} is answered "
                           f"{answer and answer[0]} {answer and answer[2]!r}")
        if answer is None or lib.field(answer[1], "Connection") == "close":
            connection = None
        time.sleep(max(0.0, at + PERIOD_S - time.monotonic()))


def case(folder):
    rig = lib.new_rig(folder, REGIONS, 3)
    rig.store.put("op/config", configuration())
    leaving = rig.add_server("i-leaves", "cuyo", "despacho-app", work)
    rig.add_server("i-stays", "cuyo", "despacho-app", work)
    for region in REGIONS[1:]:
        rig.add_server(f"i-{region}", region, "despacho-app", work)
    rig.start()
    time.sleep(2)
    # Nothing changes in the store meanwhile; long enough that all machines are in touch.
    witness, *others = rig.by_reads("cuyo", 7)
    sent, stop = {}, threading.Event()
    threads = [threading.Thread(target=client, args=(rig, witness, kind, stop, sent))
               for kind in ("status", "dispatch")]
    for thread in threads:
        thread.start()
    time.sleep(1)
    if lib.trouble():
        for machine in others:
            machine.kill()
    time.sleep(0.1)
    acknowledged = rig.store.remove("servers/i-leaves")
    if lib.trouble():
        time.sleep(DARK_S - 0.1)
        for machine in others:
            machine.start()
    time.sleep(max(0.0, acknowledged + SERVES_ON_S - time.monotonic()))
    leaving.close()
    rig.record.add("i-leaves exits")
    time.sleep(1)
    stop.set()
    for thread in threads:
        thread.join(10)
    late = [(r["at"] - acknowledged, r["id"]) for r in leaving.runs
            if r["at"] > acknowledged + DRAIN_S]
    after = [r for r in leaving.runs if r["at"] > acknowledged]
    for line in rig.log_lines(witness.name):
        if any(f'"event":"{event}"' in line for event in EVENTS):
            rig.record.add(f"log of {witness.name}: {line[:240]}")
    rig.record.say(f"i-leaves ran {len(after)} requests after its entry was removed, {len(late)} of "
                   f"them later than {DRAIN_S} s; the last after "
                   f"{max([r['at'] - acknowledged for r in after], default=0):.2f} s")
    if not sent or len(leaving.runs) < 5:
        raise RuntimeError("too little traffic")
    return rig, bool(late)


lib.run(case, os.path.dirname(os.path.abspath(__file__)))
