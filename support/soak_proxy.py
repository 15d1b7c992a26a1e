"""A loopback TCP proxy that can delay, reset, slow down or stall connections, or silence them in one or both directions."""

import socket
import struct
import threading
import time

CHUNK_BYTES = 65536
SLOW_CHUNK_BYTES = 8192  # Sent at once over a link with a rate.


class Proxy:
    """Forwards to one address.

    The mode applies to bytes that arrive after it is set: pass, delay, reset, silent (drops both directions), mute (drops answers).
    """

    def __init__(self, target):
        host, _, port = target.rpartition(":")
        self.target = (host, int(port))
        self.mode = "pass"
        self.delay_seconds = 0.15
        self.bytes_per_second = None  # Rate of the link, shared by all connections in one direction; None is unlimited.
        self.link_lock = threading.Lock()
        self.link_free_at = 0.0  # When the link has sent all that was booked.
        self.connections = set()
        self.stalled = set()
        self.lock = threading.Lock()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def set_mode(self, mode):
        self.mode = mode
        if mode != "reset":
            return
        with self.lock:
            for connection in self.connections:
                reset(connection)

    def stall(self, generator):
        """Silences about half of the open connections for good; new connections work."""
        with self.lock:
            self.stalled |= {connection for connection in self.connections if generator.random() < 0.5}

    def accept(self):
        while True:
            try:
                caller, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(caller,), daemon=True).start()

    def serve(self, caller):
        try:
            callee = socket.create_connection(self.target, timeout=5)
        except OSError:
            reset(caller)
            return caller.close()
        callee.settimeout(None)
        with self.lock:
            self.connections |= {caller, callee}
        answer_thread = threading.Thread(target=self.forward, args=(callee, caller, True), daemon=True)
        answer_thread.start()
        self.forward(caller, callee, False)
        answer_thread.join()
        with self.lock:
            self.connections -= {caller, callee}
            self.stalled -= {caller, callee}
        caller.close()
        callee.close()

    def forward(self, source, sink, is_answer):
        try:
            while data := source.recv(CHUNK_BYTES):
                if self.mode == "delay":
                    time.sleep(self.delay_seconds)
                # A connection that has lost bytes stays silent: the rest of its stream would be meaningless.
                if self.mode == "silent" or (self.mode == "mute" and is_answer) or source in self.stalled:
                    while source.recv(CHUNK_BYTES):
                        pass
                    break
                self.send(sink, data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            for connection in (source, sink):
                reset(connection)

    def send(self, sink, data):
        """Sends bytes at the rate of the link; connections take turns."""
        while data and self.bytes_per_second:
            piece, data = data[:SLOW_CHUNK_BYTES], data[SLOW_CHUNK_BYTES:]
            # Each connection books one piece at a time: a lock held while the piece is sent could be taken again and again by one of them.
            with self.link_lock:
                self.link_free_at = max(self.link_free_at, time.monotonic()) + len(piece) / self.bytes_per_second
                departure = self.link_free_at
            time.sleep(max(0.0, departure - time.monotonic()))
            sink.sendall(piece)
        sink.sendall(data)

    def stop(self):
        self.listener.close()
        self.set_mode("reset")


def reset(connection):
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
