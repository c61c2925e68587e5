"""Stand-ins for the platform, its workers, clients and operator, for the cases of this review.

They follow the users' PROTOCOL page and use only the standard library and loopback addresses.
"""

import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[2]
BINARY = ROOT / "target" / "release" / "hollowbarrow"
HOST = "camp.example"


def exit_unable(*error):
    """Ends a case that fails by itself with the code of one that could not run."""
    traceback.print_exception(*error)
    sys.stderr.flush()
    os._exit(2)


sys.excepthook = exit_unable


class Record:
    """The record of a run: what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f} {text}\n")
            self.file.flush()


def free_port(ips):
    """Returns a port that is free at all of these addresses."""
    while True:
        port = random.randint(20000, 32000)
        try:
            for ip in ips:
                with socket.socket() as one:
                    one.bind((ip, port))
            return port
        except OSError:
            continue


class Daemon:
    """One process of the system, started with a command of deploy/system.toml."""

    def __init__(self, name, role, settings, folder):
        self.name, self.role, self.settings, self.folder = name, role, settings, folder
        self.process = None

    def start(self):
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings))
        log = open(self.folder / f"{self.name}.log", "ab")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["HOLLOWBARROW_CONFIG"] = str(path)
        self.process = subprocess.Popen(
            [str(BINARY), self.role], cwd=ROOT, env=environment, stdout=log, stderr=log)
        # Only the first start of the whole system founds it.
        self.settings["found"] = False

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        if self.process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self.process.wait()

    def is_running(self):
        return self.process is not None and self.process.poll() is None


class System:
    """Three controllers and some gateways, each with a loopback address of its own."""

    def __init__(self, gateways=2, zones=1, heartbeat_ms=1200, settings=None):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        block = random.randint(2, 250)
        ips = [f"127.81.{block}.{n}" for n in range(1, 4 + gateways)]
        behind = [ip.replace("127.81.", "127.83.") for ip in ips]
        ports = {name: free_port(ips + behind) for name in ("mesh", "control", "callers", "ready", "metrics")}
        self.control = [(ip, ports["control"]) for ip in ips[:3]]
        self.callers = [(ip, ports["callers"]) for ip in ips[3:]]
        self.ready = [(ip, ports["ready"]) for ip in ips[3:]]
        self.metrics = [(ip, ports["metrics"]) for ip in ips]
        self.zones = [f"zone-{chr(ord('a') + n)}" for n in range(zones)]
        self.heartbeat_ms = heartbeat_ms
        self.controllers, self.gateways = [], []
        for number, ip in enumerate(ips):
            controller = number < 3
            place = number if controller else number - 3
            values = {
                "name": f"{'core' if controller else 'edge'}-{place + 1}",
                "zone": self.zones[place % zones], "ip": ip, "mesh_port": ports["mesh"],
                "seeds": [f"{ip}:{port}" for ip, port in self.control],
                "cluster_keys": ["one key for the daemons of one deployment"],
                "metrics": f"{ip}:{ports['metrics']}", "found": True,
                "heartbeat_ms": heartbeat_ms, "losses": 1, "stop_ms": 8000,
                "retry_slack": 136, "retry_window_s": 10, "load_window_s": 5}
            values.update(settings or {})
            if controller:
                values["control"] = f"{ip}:{ports['control']}"
                values["data"] = str(self.folder / f"data-{place + 1}")
            else:
                values["callers"] = f"{ip}:{ports['callers']}"
                values["readiness"] = f"{ip}:{ports['ready']}"
            daemon = Daemon(values["name"], "controller" if controller else "gateway", values,
                            self.folder)
            (self.controllers if controller else self.gateways).append(daemon)

    def start(self):
        for daemon in self.controllers + self.gateways:
            daemon.start()

    def stop(self):
        for daemon in self.controllers + self.gateways:
            daemon.kill()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)

    def is_ready(self, index):
        try:
            return call(self.ready[index], "GET", "/-/readyz", timeout=1.0)[0] == 200
        except OSError:
            return False

    def wait_ready(self, limit=20.0):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if all(self.is_ready(index) for index in range(len(self.gateways))):
                return True
            time.sleep(0.1)
        return False


def call(address, method, path, body=None, headers=None, timeout=2.0):
    """Sends one request on a new connection; returns status, headers and body."""
    connection = http.client.HTTPConnection(*address, timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        answer = connection.getresponse()
        return answer.status, dict((k.lower(), v) for k, v in answer.getheaders()), answer.read()
    except http.client.HTTPException as error:
        raise OSError(f"no answer: {error!r}") from error
    finally:
        connection.close()


def control_call(system, method, path, body=None, limit=10.0, start=0, timeout=1.0):
    """Calls the control interface as the operator and workers do: other daemons after a failure,
    a 5xx, 408, 429 or silence, and redirects followed twice. Returns (status, body, address)."""
    end = time.monotonic() + limit
    number, pause = start, 0.05
    while time.monotonic() < end:
        address = system.control[number % len(system.control)]
        number += 1
        try:
            for _ in range(3):
                status, headers, text = call(
                    address, method, path, body, {"Content-Type": "application/json"}, timeout)
                if status != 307:
                    break
                place = headers["location"].split("//", 1)[1].split("/", 1)[0]
                address = (place.rsplit(":", 1)[0], int(place.rsplit(":", 1)[1]))
            if status < 500 and status not in (307, 408, 429):
                return status, text, address
        except OSError:
            pass
        time.sleep(pause)
        pause = min(pause * 1.5, 0.5)
    return None, b"", None


def plain_route(name, prefix, service, kind="idempotent", timeout_ms=8000, aim_ms=300, **more):
    route = {"name": name, "host": HOST, "path_prefix": prefix, "kind": kind,
             "timeout_ms": timeout_ms, "target_latency_ms": aim_ms, "priority": 1,
             "service": service, "max_attempts": 2, "public": True}
    route.update(more)
    return route


def plain_config(version, routes, services, **more):
    config = {"version": version, "routes": routes,
              "services": [{"name": name, "health_path": "/healthz", "max_conns": 110,
                            "protocol": "h1", "tls": False} for name in services],
              "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                         "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
    config.update(more)
    return config


def read_request(stream):
    """Reads a request from a buffered socket file; returns (method, path, headers, body) or None."""
    line = stream.readline(65536)
    if not line.strip():
        return None
    method, path, _ = line.decode("latin-1").split(" ", 2)
    headers = {}
    while True:
        line = stream.readline(65536)
        if line in (b"\r\n", b"\n", b""):
            break
        name, value = line.decode("latin-1").split(":", 1)
        headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = stream.read(int(headers["content-length"]))
    elif "chunked" in headers.get("transfer-encoding", ""):
        while True:
            size = int(stream.readline().split(b";")[0], 16)
            body += stream.read(size)
            stream.readline()
            if size == 0:
                break
    return method, path, headers, body


class Worker:
    """A worker of a service without a model engine.

    `work` is called with (worker, connection, method, path, headers, body) once a request starts to
    run, and writes the answer. It returns whether the connection stays open."""

    def __init__(self, system, record, service, work, slots=6, zone=0, number=1):
        self.system, self.record, self.service, self.work = system, record, service, work
        self.slots, self.zone = slots, system.zones[zone % len(system.zones)]
        self.id = f"i-{random.getrandbits(32):08x}"
        self.ip = f"127.82.{random.randint(2, 250)}.{number}"
        self.state, self.seq, self.stopped = "ready", 0, False
        self.beating = True
        self.ran = []
        self.lock = threading.Lock()
        self.busy = threading.Semaphore(slots)
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((self.ip, 0))
        self.listener.listen(256)
        self.port = self.listener.getsockname()[1]
        self.sockets = set()
        threading.Thread(target=self.accept, daemon=True).start()
        threading.Thread(target=self.beat, daemon=True).start()

    def accept(self):
        while not self.stopped:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            with self.lock:
                self.sockets.add(connection)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = connection.makefile("rb")
        try:
            while True:
                request = read_request(stream)
                if request is None:
                    return
                if not self.answer(connection, *request):
                    return
        except (OSError, ValueError):
            pass
        finally:
            with self.lock:
                self.sockets.discard(connection)
            try:
                connection.close()
            except OSError:
                pass

    def answer(self, connection, method, path, headers, body):
        if path == "/healthz":
            status = "200 OK" if self.state == "ready" else "503 Service Unavailable"
            connection.sendall(
                f"HTTP/1.1 {status}\r\nInstance-Id: {self.id}\r\nContent-Length: 0\r\n\r\n".encode())
            return True
        name = headers.get("request-id", "")
        target = headers.get("target-instance")
        if target not in (None, self.id):
            self.record.line(f"worker {self.id} turns away {name}: meant for {target}")
            connection.sendall((f"HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {name}\r\n"
                                "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n").encode())
            return True
        if path == "/-/report" and method == "GET":
            report = json.dumps({"stage": "both", "models": [], "busy": False, "seq": 0, "queued": 0,
                                 "active": 0, "kv_used": 0, "kv_total": 0, "handles": 0}).encode()
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                               b"Content-Length: %d\r\n\r\n%s" % (len(report), report))
            return True
        if not name:
            connection.sendall(b"HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\n"
                               b"Content-Length: 0\r\n\r\n")
            return True
        with self.busy:
            with self.lock:
                self.ran.append(name)
            self.record.line(f"worker {self.id} runs {name} {method} {path}")
            return self.work(self, connection, method, path, headers, body)

    def report(self):
        with self.lock:
            self.seq += 1
            return json.dumps({
                "service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone,
                "version": "v1", "slots": self.slots, "cold_left_ms": 0, "state": self.state,
                "seq": self.seq})

    def send_beat(self):
        status, _, address = control_call(
            self.system, "POST", f"/-/instances/{self.id}/heartbeat", self.report(), limit=3.0,
            start=random.randrange(3))
        return status == 200, address

    def beat(self):
        while not self.stopped:
            if self.beating:
                self.send_beat()
            time.sleep(self.system.heartbeat_ms / 1000)

    def deregister(self, start=0):
        status, _, address = control_call(
            self.system, "POST", f"/-/instances/{self.id}/deregister", "", limit=5.0, start=start)
        return status == 200, address

    def stop(self):
        """Ends as a process would: its listener and its connections are closed."""
        self.stopped = True
        self.beating = False
        # A close alone would not wake a thread that waits for connections.
        for one in [self.listener, *list(self.sockets)]:
            try:
                one.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            one.close()


def signature(name):
    return f"{name}.sig"


def send_whole(connection, name, body):
    connection.sendall((f"HTTP/1.1 200 OK\r\nRequest-Id: {name}\r\n"
                        f"Response-Signature: {signature(name)}\r\n"
                        f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
    return True


def whole_body(name, size):
    """The whole body of the answer to a request, which names the request on each line."""
    line = f"{name} part of a report\n".encode()
    return (line * (size // len(line) + 1))[:size]


def request_id():
    return f"{random.getrandbits(64):016x}"


def end_on_signal():
    """Lets the processes of a case be ended if the case itself is told to end."""
    def end(*_):
        raise SystemExit(2)
    signal.signal(signal.SIGTERM, end)
    signal.signal(signal.SIGINT, end)


def finish(code, record, text):
    record.line(text)
    print(text)
    sys.stdout.flush()
    os._exit(code)
