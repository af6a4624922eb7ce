"""A machine is restarted as planned while the store is slow, and its zone is evacuated meanwhile."""

import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import rig as lib

REGIONS = ["cuyo", "pampa", "litoral"]
KEY = "key-of-cards"
SERVERS = 60
PAGE_ITEMS = 50          # `page = 50` in the site files; the protocol allows up to about 500
ANSWER_S = 0.004         # "4 ms an answer"
SLOW_X, SLOW_S = 60, 4.5  # the sheet's figures for platform_slow
EVACUATED_AFTER_S = 0.2  # after its first page, and before the second is read
STARTED_AFTER_S = 0.19   # after a call of the region's first machine: its next one begins, with
                         # the delay after changes, just before the evacuation
ROUNDS = 3
BOUND_S = (lib.BOUNDS["evacuateMs"] + lib.BOUNDS["maxStretchMs"]) / 1000
COLD_SERVERS = 10
HEARTBEAT_S = 1.2


def configuration():
    return {
        "version": 7,
        "routes": [{"name": "status", "host": "cards.example", "pathPrefix": "/status/",
                    "kind": "safe", "resumable": False, "public": False, "timeoutMs": 2000,
                    "goalMs": 400, "gapGoalMs": 0, "priority": 2, "maxAttempts": 2,
                    "service": "despacho-app", "allowedRegions": []}],
        "services": [{"name": "despacho-app", "maxConns": 110, "healthCheck": "/health"}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 10000,
                   "idleTimeoutMs": 20000},
        "tenants": [{"name": "cards", "apiKeys": [KEY]}],
    }


def work(server, request):
    time.sleep(0.03)
    return 200, [("Content-Type", "text/plain")], b"done"


def write_entries(rig):
    """The last servers are cold, and write how long they stay so every `heartbeatMs`."""
    sequence = 1
    while not rig.store.closed:
        for server in rig.servers[-COLD_SERVERS:]:
            sequence += 1
            left = 3000 - 1200 * (sequence // COLD_SERVERS % 3)
            rig.store.put(f"servers/{server.name}",
                          server.entry("despacho-app", server.zone) |
                          {"sequence": sequence, "coldLeftMs": left})
            time.sleep(HEARTBEAT_S / COLD_SERVERS)


def ask_all(rig, number, count):
    """Sends requests to each machine; returns who was asked and the status by request id."""
    asked = {}
    for name, machine in rig.machines.items():
        connection = lib.Connection(machine.front())
        for part in range(count):
            request_id = f"{number:02x}{len(asked):06x}{os.getpid() & 0xffffffff:08x}"
            connection.send(lib.request_bytes("GET", f"/status/{part}", "cards.example",
                                              request_id, KEY, 4000))
            answer = connection.answer()
            asked[request_id] = (name, answer and answer[0])
            if answer is None:
                connection = lib.Connection(machine.front())
        connection.close()
    return asked


def one_round(rig, number, restarted, first):
    restarted.signal(signal.SIGTERM)
    restarted.process.wait()
    slow_since = time.monotonic()
    if lib.trouble():
        rig.store.slow_down(SLOW_X * ANSWER_S)
    time.sleep(1)
    lib.wait_for_read(first)
    time.sleep(STARTED_AFTER_S)
    pages = rig.store.first_pages
    restarted.start()
    while rig.store.first_pages == pages:
        time.sleep(0.002)
    time.sleep(EVACUATED_AFTER_S)
    evacuated = rig.store.put("op/evacuate/pampa-a", {"zone": "pampa-a"})
    time.sleep(max(0.0, slow_since + SLOW_S - time.monotonic()))
    rig.store.slow_down(ANSWER_S)
    # The bound with its longest stretch is over, and all machines are in touch.
    time.sleep(max(0.0, evacuated + BOUND_S + 0.5 - time.monotonic()))
    asked = ask_all(rig, number, 20)
    late = [(asked[run["id"]][0], run["id"], server.name, run["at"] - evacuated)
            for server in rig.servers if server.name.endswith("pampa")
            for run in server.runs if run["id"] in asked and run["at"] > evacuated + BOUND_S]
    served = sum(1 for _, status in asked.values() if status == 200)
    senders = sorted({name for name, _, _, _ in late})
    rig.record.say(f"round {number + 1}, {restarted.name} restarted: of {len(asked)} requests "
                   f"{served} were served; {len(late)} reached servers of pampa-a later than "
                   f"{BOUND_S} s after its evacuation, from {senders}")
    for machine in rig.machines.values():
        for line in rig.log_lines(machine.name):
            if machine.region == "pampa" and '"event":"evacuation' in line:
                rig.record.add(f"log of {machine.name}: {line[:200]}")
    if served < len(asked) / 2:
        raise RuntimeError("too little was served")
    return bool(late)


def case(folder):
    rig = lib.new_rig(folder, REGIONS, 3, PAGE_ITEMS)
    rig.store.put("op/config", configuration())
    for number in range(SERVERS):
        region = REGIONS[number % 3]
        rig.add_server(f"i-{number:02d}-{region}", region, "despacho-app", work)
    rig.start()
    time.sleep(1)
    # The second of them reads the store in long watches, and others of the region hear from it.
    _, restarted, first = rig.by_reads("pampa", 7)
    threading.Thread(target=write_entries, args=(rig,), daemon=True).start()
    time.sleep(1)
    for number in range(ROUNDS):
        if one_round(rig, number, restarted, first):
            return rig, True
        rig.store.remove("op/evacuate/pampa-a")
        time.sleep(3)
    return rig, False


lib.run(case, os.path.dirname(os.path.abspath(__file__)))
