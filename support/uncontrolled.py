"""Clients that keep to no limit, and the checks that each test of them makes of the daemon."""

import contextlib
import http.client
import resource
import selectors
import socket
import threading
import time
import unittest

import edge_site as site
import harness

MEMORY_MB = 40  # memory_mb in the settings.
MAX_FDS = 128  # max_fds in the settings.
BODY_BYTES = 1 << 20
LIMITS = {"header_bytes": 16384, "max_body_bytes": BODY_BYTES, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
ROUTE_TIMEOUT_MS = 20000
# Ends a crowd whose bytes the daemon does not read.
CROWD_SECONDS = 12
MAX_CONNECTS = 40
# As many as fit into header_bytes next to the fields of head().
SMALL_FIELDS = 3900
# Python's server accepts 100 fields by default; a replica accepts what the daemon does.
http.client._MAXHEADERS = 2 * SMALL_FIELDS  # pylint: disable=protected-access


def head(path="/once/a", *fields, method="POST"):
    lines = (f"{method} {path} HTTP/1.1", "Host: site.example", f"X-Goldcrestwood-Request-Id: {next(site.request_numbers):016x}",
             "X-Goldcrestwood-Key: key-one", "X-Goldcrestwood-Deadline-Ms: 10000", *fields)
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def chunked(*fields):
    return head("/once/a", "Transfer-Encoding: chunked", *fields)


class Client:
    """Sends `first`, then `piece` again and again until `total` bytes are sent; connects anew when it is closed, until its bytes are spent."""

    def __init__(self, address, first, piece=b"", total=0, reconnects=True, pause=0.0):
        host, _, port = address.rpartition(":")
        self.target, self.first, self.piece, self.left, self.pause = (host, int(port)), first, piece, max(total, len(first)), pause
        self.connects, self.most_connects = 0, MAX_CONNECTS if reconnects else 1
        self.was_closed = False  # Whether the daemon has closed a connection.
        self.socket, self.pending, self.next_send, self.received = None, b"", 0.0, b""

    def open(self, selector):
        if self.connects >= self.most_connects:
            self.left = 0
            return
        self.connects += 1
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 64 << 10)
        self.socket.settimeout(2)
        try:
            self.socket.connect(self.target)
        except OSError:
            self.socket.close()
            self.socket = None
            return
        self.socket.setblocking(False)
        self.pending = self.first
        selector.register(self.socket, selectors.EVENT_READ | selectors.EVENT_WRITE, self)

    def close(self, selector=None):
        if self.socket is not None:
            if selector is not None:
                selector.unregister(self.socket)
            self.socket.close()
            self.socket = None

    def step(self, selector, mask):
        try:
            if mask & selectors.EVENT_READ:
                data = self.socket.recv(65536)
                if not data:
                    self.was_closed = True
                    return self.close(selector)
                self.received = (self.received + data)[:4096]
            if mask & selectors.EVENT_WRITE and self.left > 0 and time.monotonic() >= self.next_send:
                sent = self.socket.send((self.pending or self.piece)[:self.left])
                self.left -= sent
                self.pending = (self.pending or self.piece)[sent:]
                self.next_send = time.monotonic() + self.pause
                if self.left == 0:
                    selector.modify(self.socket, selectors.EVENT_READ, self)
        except BlockingIOError:
            pass
        except OSError:
            self.was_closed = True
            self.close(selector)
        return None


class Crowd:
    """Clients in one thread. Inside the block all of them have sent what they could, and the connections that the daemon left open stay open."""

    def __init__(self, clients):
        self.clients = clients
        self.sent, self.ended = threading.Event(), threading.Event()
        self.thread = threading.Thread(target=self.run)

    def run(self):
        end = time.monotonic() + CROWD_SECONDS
        with selectors.DefaultSelector() as selector:
            while not self.ended.is_set():
                if time.monotonic() > end or all(client.left <= 0 for client in self.clients):
                    self.sent.set()
                for client in self.clients:
                    if client.socket is None and client.left > 0 and not self.sent.is_set():
                        client.open(selector)
                for key, mask in selector.select(0.05) if selector.get_map() else ():
                    key.data.step(selector, mask)
                time.sleep(0.001)
            for client in self.clients:
                client.close(selector)

    def __enter__(self):
        self.thread.start()
        self.sent.wait(CROWD_SECONDS + 5)
        return self

    def __exit__(self, *error):
        self.ended.set()
        self.thread.join()


class UncontrolledTest(unittest.TestCase):
    """Starts one daemon with little memory and few descriptors."""

    hard_descriptor_limit = False  # Whether the system enforces max_fds.

    def start(self, limits=None, memory_mb=MEMORY_MB, max_fds=MAX_FDS, models=1):
        routes = [{**route, "timeout_ms": ROUTE_TIMEOUT_MS} for route in site.CONFIGURATION["routes"]]
        configuration = {**site.CONFIGURATION, "routes": routes, "limits": limits or LIMITS}
        edge = self.enterContext(site.EdgeSite(daemons=1, models=models, configuration=configuration, memory_mb=memory_mb, limits=f"max_fds = {max_fds}"))
        self.edge, self.daemon = edge, edge.daemons[0]
        self.pid, self.memory_mb, self.max_fds = self.daemon.process.pid, memory_mb, max_fds
        if self.hard_descriptor_limit:
            resource.prlimit(self.pid, resource.RLIMIT_NOFILE, (MAX_FDS, MAX_FDS))
        self.assert_serves("before the clients")

    def assert_serves(self, when):
        """An ordinary request with a body is answered, and the daemon is ready."""
        self.assertIsNone(self.daemon.process.poll(), f"the process ended, {when}")
        answers = []

        def is_answered():
            with contextlib.suppress(OSError):
                answers.append(site.request(self.daemon, "/once/a", b"x" * 10000)[1])
            return answers and answers[-1] == 200

        try:
            site.wait_until(is_answered, "an ordinary request is answered")
        except TimeoutError:
            self.fail(f"no ordinary request is answered {when}: {answers[-5:]}")
        site.wait_until(self.daemon.is_ready, f"the daemon is ready {when}")

    def endure(self, clients):
        """Runs the clients; checks the daemon while their connections stay open, and after they are closed."""
        with Crowd(clients) as crowd:
            self.assertIsNone(self.daemon.process.poll(), "the process ended")
            measured = f"peak {self.daemon.peak_mb():.0f} MB, {self.daemon.open_descriptors()} descriptors"
            print(f"{self.id().rpartition('.')[2]}: {measured}", flush=True)
            self.assertLess(self.daemon.open_descriptors(), self.max_fds, measured)
            self.assert_serves("while the clients are connected")
        self.assert_serves("after the clients")
        self.assertLess(self.daemon.peak_mb(), self.memory_mb, measured)
        self.assertEqual(self.daemon.process.pid, self.pid)
        return crowd

    def statuses(self, clients):
        return {client.received.split(b" ")[1] for client in clients if client.received.startswith(b"HTTP/1.1 ")}


class CallersTest(unittest.TestCase):
    """Starts a small site of daemons with a settings file and few caller threads."""

    def start(self, threads):
        self.site = self.enterContext(harness.Site(harness.SMALL, listen=f"caller_threads = {threads}\n"))
        self.daemon = self.site.daemons[0]
        self.caller = harness.Caller(self.site, "first")

    def chunked(self, number):
        lines = ("POST /v1/services/orders/call HTTP/1.1", "Host: x", f"Authorization: {self.caller.headers['Authorization']}",
                 f"Idempotency-Key: {number}", "Transfer-Encoding: chunked")
        return "\r\n".join(lines).encode() + b"\r\n\r\n"

    def peak_mb(self):
        with open(f"/proc/{self.daemon.process.pid}/status", encoding="ascii") as status:
            return int(next(line for line in status if line.startswith("VmHWM")).split()[1]) / 1024

    def endure(self, clients):
        """Runs the clients; checks that an ordinary request is answered while their connections stay open, and after that."""
        expected = harness.expected_tokens("an ordinary prompt", "v1", 7, 2)

        def is_answered():
            return self.caller.complete("model", "an ordinary prompt", 2, address=self.daemon.callers, attempts=1).tokens == expected

        with Crowd(clients):
            self.assertTrue(self.daemon.is_running())
            harness.wait_until(is_answered, "an ordinary request is answered while the clients are connected")
        harness.wait_until(is_answered, "an ordinary request is answered after the clients")
        self.assertTrue(self.daemon.is_running())
