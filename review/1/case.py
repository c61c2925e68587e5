"""A worker crashes in the middle of an answer that has no length and ends with its connection."""

import json
import os
import pathlib
import signal
import subprocess
import sys
import threading
import time

COMMON = pathlib.Path(__file__).resolve().parents[1] / "common"
sys.path.insert(0, str(COMMON))
from standins import (HOST, Record, System, call, control_call, end_on_signal, finish, plain_config,
                      plain_route, request_id, signature, whole_body)

# One of seven workers crashes (14 in 100), and one of twenty answers has no length (5 in 100).
WORKERS = 7
REQUESTS = 20
SIZE = 20000
# A long answer takes so long; the worker crashes at half of that.
LONG_S = 1.0

trouble = os.environ.get("TROUBLE") != "0"
record = Record(pathlib.Path(__file__).with_name("record.txt"))
code, text = 2, "the case could not run"
processes, halves = {}, {}
lock = threading.Lock()


def start_worker(system, number):
    control = ",".join(f"{ip}:{port}" for ip, port in system.control)
    process = subprocess.Popen(
        [sys.executable, str(COMMON / "worker_process.py"), control, "reports", system.zones[0],
         str(number), str(SIZE), str(LONG_S)],
        cwd=COMMON, stdout=subprocess.PIPE, text=True)

    def follow():
        for line in process.stdout:
            record.line(line.rstrip())
            words = line.split()
            with lock:
                if words[2:3] == ["listens"]:
                    processes[words[1]] = process
                if words[2:4] == ["has", "sent"] and "of" in words:
                    halves.setdefault(words[-1], []).append(words[1])

    threading.Thread(target=follow, daemon=True).start()
    return process


def ask(system, name, path):
    """Sends a request; returns status, headers and body, or the error by which it broke off."""
    record.line(f"client sends {name} GET {path}")
    try:
        status, headers, body = call(
            system.callers[0], "GET", path, None,
            {"Host": HOST, "Request-Id": name, "Deadline-Ms": "8000"}, 10)
    except OSError as error:
        record.line(f"client's answer to {name} broke off: {error}")
        return error
    record.line(f"client's answer to {name}: status={status} "
                f"signature={headers.get('response-signature')} "
                f"content-length={headers.get('content-length')} bytes={len(body)}")
    return status, headers, body


def is_whole(name, answer):
    status, headers, body = answer
    return (200 <= status < 300 and headers.get("response-signature") == signature(name)
            and body == whole_body(name, SIZE))


def run(system):
    config = plain_config(3, [plain_route("r-report", "/reports/", "reports")], ["reports"])
    status, _, _ = control_call(system, "POST", "/-/config/replace", json.dumps(config), limit=20)
    record.line(f"operator's configuration is answered with {status}")
    if status != 200 or not system.wait_ready():
        return 2, "the case could not run: the system is not ready"
    time.sleep(4.0)
    for _ in range(REQUESTS - 1):
        name = request_id()
        answer = ask(system, name, "/reports/short")
        if isinstance(answer, OSError) or not is_whole(name, answer):
            return 2, "the case could not run: an answer before the disruption is not whole"
    name, results = request_id(), []
    thread = threading.Thread(target=lambda: results.append(ask(system, name, "/reports/long")))
    thread.start()
    while name not in halves and thread.is_alive():
        time.sleep(0.005)
    time.sleep(LONG_S / 2)
    if trouble and name in halves:
        victim = halves[name][0]
        record.line(f"worker {victim} crashes: its process is killed")
        processes[victim].send_signal(signal.SIGKILL)
    thread.join()
    answer = results[0]
    if isinstance(answer, OSError):
        return 0, f"held: the answer broke off visibly: {answer}"
    if not 200 <= answer[0] < 300:
        return 0, f"held: the answer is a failure with status {answer[0]}"
    if is_whole(name, answer):
        return 0, "held: the answer is a worker's whole answer"
    return 1, (f"broken: the client got status {answer[0]}, the worker's signature and a complete "
               f"answer with {len(answer[2])} of the worker's {SIZE} bytes")


end_on_signal()
system, started = System(), []
try:
    system.start()
    for number in range(1, WORKERS + 1):
        started.append(start_worker(system, number))
    code, text = run(system)
finally:
    for process in started:
        process.kill()
        process.wait()
    system.stop()
    finish(code, record, text)
