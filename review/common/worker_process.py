"""A worker of a service without a model engine, as a process of its own, so that it can be killed.

Arguments: control addresses, service, zone, number of the worker, bytes of an answer, and seconds
that a long answer takes. An answer to a path that ends with /long is made in two halves and has no
length: it ends with its connection. Every other answer states its length and comes at once.
"""

import sys
import time
import types

from standins import Worker, send_whole, signature, whole_body


class Lines:
    """Writes each line to the standard output, from which the case takes it into its record."""

    def line(self, text):
        print(text, flush=True)


def main():
    control, service, zone, number, size, long_s = sys.argv[1:7]

    def work(worker, connection, method, path, headers, body):
        name = headers["request-id"]
        whole = whole_body(name, int(size))
        if not path.endswith("/long"):
            return send_whole(connection, name, whole)
        half = len(whole) // 2
        connection.sendall((f"HTTP/1.1 200 OK\r\nRequest-Id: {name}\r\n"
                            f"Response-Signature: {signature(name)}\r\n\r\n").encode() + whole[:half])
        worker.record.line(f"worker {worker.id} has sent {half} of {len(whole)} bytes to {name}")
        time.sleep(float(long_s))
        connection.sendall(whole[half:])
        worker.record.line(f"worker {worker.id} has sent all {len(whole)} bytes to {name}")
        return False

    addresses = [(one.rsplit(":", 1)[0], int(one.rsplit(":", 1)[1])) for one in control.split(",")]
    system = types.SimpleNamespace(control=addresses, zones=[zone], heartbeat_ms=1200)
    worker = Worker(system, Lines(), service, work, number=int(number))
    print(f"worker {worker.id} listens at {worker.ip}:{worker.port}", flush=True)
    while True:
        time.sleep(60)


if __name__ == "__main__":
    main()
