"""Proxies in front of the ports at which the daemons of a system talk to each other."""

import select
import socket
import threading
import time


class Links:
    """Passes on the connections between daemons, and cuts some of them: silently, in both directions.

    Each daemon listens at an address of its own behind its proxy and opens its connections from
    there, so that a proxy knows who calls."""

    def __init__(self, system):
        self.cut, self.lock, self.listeners = set(), threading.Lock(), []
        daemons = system.controllers + system.gateways
        self.names = {}
        for daemon in daemons:
            ip = daemon.settings["ip"]
            behind = ip.replace("127.81.", "127.83.")
            daemon.settings["bind_ip"] = behind
            self.names[behind] = daemon.name
        for daemon in daemons:
            port = daemon.settings["mesh_port"]
            listener = socket.socket()
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind((daemon.settings["ip"], port))
            listener.listen(128)
            self.listeners.append(listener)
            target = (daemon.settings["bind_ip"], port)
            threading.Thread(target=self.serve, args=(listener, daemon.name, target),
                             daemon=True).start()

    def is_cut(self, one, other):
        with self.lock:
            return frozenset((one, other)) in self.cut

    def cut_off(self, name, others):
        with self.lock:
            self.cut |= {frozenset((name, other)) for other in others}

    def heal(self):
        with self.lock:
            self.cut.clear()

    def serve(self, listener, to, target):
        while True:
            try:
                connection, peer = listener.accept()
            except OSError:
                return
            threading.Thread(target=self.carry, args=(connection, self.names.get(peer[0], "?"), to,
                                                      target), daemon=True).start()

    def carry(self, near, sender, to, target):
        far = socket.socket()
        try:
            while self.is_cut(sender, to):
                time.sleep(0.01)
            far.connect(target)
            for one in (near, far):
                one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while True:
                readable, _, _ = select.select([near, far], [], [], 0.05)
                # What arrives during a cut waits, as packets do that are sent again after it.
                while self.is_cut(sender, to):
                    time.sleep(0.01)
                for one in readable:
                    data = one.recv(65536)
                    if not data:
                        return
                    (far if one is near else near).sendall(data)
        except OSError:
            pass
        finally:
            near.close()
            far.close()

    def stop(self):
        for listener in self.listeners:
            listener.close()
