"""Stand-ins of model workers, whose groups the system forms by orders."""

import json
import threading
import time

from standins import Worker, control_call


class Fleet:
    """What the model workers of one run share: their states, and the rule on joins."""

    def __init__(self, record):
        self.record, self.lock = record, threading.RLock()
        self.workers, self.breaks = {}, []
        # Whether a client has sent a request: until then, loads take a tenth of their time.
        self.asked = False

    def check_join(self, worker, group, epoch):
        """Rule TWO: a worker takes a join of another group while the head of its group is open or
        closing."""
        held = worker.membership
        if held is None or held["name"] == group:
            return
        head = self.workers.get(held["members"][0])
        state = head.membership if head is not None else None
        if state is not None and state["name"] == held["name"] and state["state"] in ("open", "closing"):
            text = (f"worker {worker.id} takes the join of {group} epoch {epoch} while the head "
                    f"{head.id} of its group {held['name']} is {state['state']}")
            self.breaks.append(text)
            self.record.line(f"TWO: {text}")


class ModelWorker(Worker):
    """A model worker. It reports to the daemon `home`, and to the others only if that one fails."""

    def __init__(self, fleet, times, home, *args, **more):
        self.fleet, self.times, self.home = fleet, times, home
        self.membership, self.highest, self.fence = None, 0, 0
        self.last_model, self.staged, self.taken = None, [], 0
        super().__init__(*args, **more)
        fleet.workers[self.id] = self

    def models(self):
        return [{"name": self.last_model, "version": 1, "adapters": []}] if self.last_model else []

    def group(self):
        if self.membership is None:
            return {"name": "", "epoch": 0, "rank": 0, "state": ""}
        return {key: self.membership[key] for key in ("name", "epoch", "rank", "state")}

    def report(self):
        with self.lock:
            self.seq += 1
            return json.dumps({
                "service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone,
                "version": "v1", "slots": self.slots, "cold_left_ms": 0, "state": self.state,
                "seq": self.seq, "stage": "both", "models": self.models(), "domain": "rack-1",
                "staged": list(self.staged), "group": self.group()})

    def send_beat(self):
        status, _, address = control_call(
            self.system, "POST", f"/-/instances/{self.id}/heartbeat", self.report(), limit=3.0,
            start=self.home)
        return status == 200, address

    def tell(self):
        """Tells a change at once."""
        threading.Thread(target=self.send_beat, daemon=True).start()

    def answer(self, connection, method, path, headers, body):
        target = headers.get("target-instance")
        if path == "/-/order" and method == "POST" and target in (None, self.id):
            order = json.loads(body)
            with self.fleet.lock:
                status = self.take(order)
            self.record.line(f"worker {self.id} answers {status} to {json.dumps(order)}")
            connection.sendall(f"HTTP/1.1 {status} Done\r\nContent-Length: 0\r\n\r\n".encode())
            self.tell()
            return True
        if path == "/-/report" and method == "GET" and target in (None, self.id):
            text = json.dumps({
                "stage": "both", "models": self.models(), "busy": False, "seq": self.taken,
                "queued": 0, "active": 0, "kv_used": 0, "kv_total": 1590000, "handles": 0,
                "domain": "rack-1", "staged": list(self.staged), "group": self.group()}).encode()
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                               b"Content-Length: %d\r\n\r\n%s" % (len(text), text))
            return True
        return super().answer(connection, method, path, headers, body)

    def take(self, order):
        """Carries out an order as the PROTOCOL page says; returns the status of the answer."""
        fence = order.get("fence", 0)
        if fence < self.fence:
            return 412
        self.fence = fence
        held = self.membership
        named = (held is not None and held["name"] == order.get("group")
                 and held["epoch"] == order.get("epoch"))
        if order["op"] == "join":
            if order["epoch"] < self.highest:
                return 412
            if named:
                return 200 if held["members"] == order["members"] else 412
            self.fleet.check_join(self, order["group"], order["epoch"])
            self.taken, self.highest = self.taken + 1, order["epoch"]
            self.membership = {"name": order["group"], "epoch": order["epoch"], "state": "joining",
                               "members": order["members"], "rank": order["members"].index(self.id)}
            self.later(self.join_time(order["model"]), self.end_join, self.membership, order["model"])
            return 202
        if order["op"] == "stage":
            self.taken += 1
            self.later(self.load_time(), self.end_stage, order["model"])
            return 202
        if not named:
            return 409
        if order["op"] == "open":
            if held["state"] == "open":
                return 200
            if held["rank"] != 0 or held["state"] != "ready":
                return 409
            self.taken += 1
            self.later(self.times["form_s"], self.end_open, held)
            return 202
        if order["op"] == "close":
            if held["state"] == "open":
                held["state"] = "ready"
                return 202
            return 200
        if order["op"] == "leave":
            self.taken, self.membership = self.taken + 1, None
            return 200
        return 400

    def load_time(self):
        return self.times["load_s"] if self.fleet.asked else self.times["load_s"] / 10

    def join_time(self, model):
        if model == self.last_model:
            return 0.2
        return self.times["warm_s"] if model in self.staged else self.load_time()

    def later(self, seconds, done, *values):
        def run():
            time.sleep(seconds)
            with self.fleet.lock:
                done(*values)
            self.tell()
        threading.Thread(target=run, daemon=True).start()

    def end_join(self, held, model):
        if self.membership is held:
            held["state"], self.last_model, self.staged = "ready", model, [model]
            self.record.line(f"worker {self.id} is ready in {held['name']}")

    def end_open(self, held):
        if self.membership is held and held["state"] == "ready":
            held["state"] = "open"
            self.record.line(f"worker {self.id} is open as the head of {held['name']}")

    def end_stage(self, model):
        self.staged = [model]
