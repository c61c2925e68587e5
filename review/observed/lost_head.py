"""The only head of a model is lost while whole answers are asked of it; spare workers are there.

Before the end the final fault strikes: one controller loses its disk right after a configuration was
acknowledged. FAULT=0 leaves the final fault out, TROUBLE=0 the lost head, KIND=streaming asks for
streams instead of whole answers.
"""

import collections
import json
import os
import pathlib
import shutil
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
from engine import Fleet, ModelWorker
from standins import (HOST, Record, System, call, control_call, end_on_signal, finish, plain_config,
                      plain_route, request_id, send_whole)

# The larger model of the site ariake-roam.
TIMES = {"load_s": 16.0, "warm_s": 1.6, "form_s": 0.3}
# One of six workers is lost (0.167). A group has four members.
WORKERS, SIZE = 6, 4
PER_S = 5.0
BEFORE_S, FAULT_AFTER_S, DOWN_S, RECOVERY_S, MEASURED_S = 8.0, 4.0, 1.2, 12.0, 25.0

trouble = os.environ.get("TROUBLE") != "0"
fault = os.environ.get("FAULT") != "0"
kind = os.environ.get("KIND", "idempotent")
record = Record(pathlib.Path(__file__).with_name("record.txt"))
code, text = 2, "the case could not run"
results, lock, over = [], threading.Lock(), threading.Event()


def work(worker, connection, method, path, headers, sent):
    name = headers["request-id"]
    if worker.membership is None or worker.membership["state"] != "open":
        connection.sendall((f"HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {name}\r\n"
                            "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n").encode())
        return True
    time.sleep(0.02)
    events = "".join(f"id: {number}\ndata: {name}\n\n" for number in range(1, 4))
    return send_whole(connection, name, events.encode() if kind == "streaming" else b"text " * 20)


def configuration(version):
    route = plain_route("r-text", "/text/", "model-pool", kind=kind, timeout_ms=4000,
                        sticky_sessions=True)
    if kind == "streaming":
        route.update(stream_resume=True, gap_target_ms=300)
    config = plain_config(version, [route], ["model-pool"])
    config["services"][0]["engine"] = {
        "slots": 26, "kv_capacity_tokens": 1590000, "stride": 7,
        "models": [{"name": "m0", "size": SIZE, "share": 1.0, "pace": 1.0,
                    "load_s": TIMES["load_s"], "warm_s": TIMES["warm_s"]}],
        "step_ms": 5.95, "per_seq_ms": 0.0445, "context_per_k": 0.00813, "read_per_s": 50700.0,
        "pairs_per_m": 0.368, "chunk": 2048, "report_lag_ms": 200.0, "loads_per_s": 4.5,
        "loads_at_once": 6, "delays": [], "usual": {"prompt": 1115, "answer": 178}, "keeps": 1,
        "far_x": 2.5, "form_ms": TIMES["form_s"] * 1000}
    return json.dumps(config)


def ask(system, number):
    """Asks once, and once more after a promise that the request did not run."""
    sent, end, status, tries = record.now(), time.monotonic() + 4.0, None, 0
    while tries < 2 and status != 200:
        name = request_id()
        tries += 1
        try:
            status, headers, _ = call(
                system.callers[(number + tries) % len(system.callers)], "POST", "/text/x", "{}",
                {"Host": HOST, "Request-Id": name, "Deadline-Ms": "4000", "Model": "m0",
                 "Token-Usage": "100,10", "Prefix-Hash": f"{name}:100"}, 5)
        except OSError as error:
            status, headers = str(error)[:40], {}
        record.line(f"client's request {name} is answered with {status}")
        wait = float(headers.get("retry-after", 0.1))
        if status not in (503, 429) or wait > (end - time.monotonic()) / 3:
            break
        time.sleep(wait)
    with lock:
        results.append((sent, status))


def load(system):
    number = 0
    while not over.wait(1 / PER_S):
        number += 1
        threading.Thread(target=ask, args=(system, number), daemon=True).start()


def share(begin, end):
    with lock:
        statuses = [status for sent, status in results if begin <= sent < end]
    record.line(f"sent from {begin:.1f} to {end:.1f}: {dict(collections.Counter(statuses))}")
    return sum(status == 200 for status in statuses) / max(len(statuses), 1), len(statuses)


def run(system, workers, fleet):
    status, _, _ = control_call(system, "POST", "/-/config/replace", configuration(3), limit=20)
    workers += [ModelWorker(fleet, TIMES, number % 3, system, record, "model-pool", work, slots=26,
                            number=number) for number in range(1, WORKERS + 1)]
    if status != 200 or not system.wait_ready():
        return 2, "the case could not run: the system is not ready"
    time.sleep(6.0)
    begun = record.now()
    fleet.asked = True
    threading.Thread(target=load, args=(system,), daemon=True).start()
    time.sleep(BEFORE_S)
    heads = [one for one in workers if one.membership and one.membership["state"] == "open"]
    if len(heads) != 1:
        return 2, f"the case could not run: {len(heads)} heads are open"
    if trouble:
        record.line(f"worker {heads[0].id}, the head, is lost for good")
        heads[0].stop()
    time.sleep(FAULT_AFTER_S)
    struck = record.now()
    status, _, address = control_call(system, "POST", "/-/config/replace", configuration(5), limit=8)
    record.line(f"operator's configuration is answered with {status} by {address}")
    if fault:
        victim = system.controllers[system.control.index(address)]
        record.line(f"{victim.name} loses its disk")
        victim.kill()
        shutil.rmtree(victim.settings["data"], ignore_errors=True)
        time.sleep(DOWN_S)
        victim.start()
    back = record.now()
    record.line("the machines are back")
    time.sleep(RECOVERY_S + MEASURED_S)
    over.set()
    served_before, _ = share(begun, struck)
    served_after, count = share(back + RECOVERY_S, record.now() - 4.0)
    record.line(f"served before the final fault: {served_before:.2f}, later than recovery_s: "
                f"{served_after:.2f} of {count}")
    if served_before >= 0.25 and served_after < 0.25:
        return 1, f"broken: {served_after:.2f} of {count} requests are served"
    return 0, f"held: {served_after:.2f} of {count} requests are served"


end_on_signal()
system, workers, fleet = System(), [], Fleet(record)
try:
    system.start()
    code, text = run(system, workers, fleet)
finally:
    over.set()
    for worker in workers:
        worker.stop()
    system.stop()
    finish(code, record, text)
