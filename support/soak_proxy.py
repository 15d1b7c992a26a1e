"""A loopback TCP proxy whose connections can be delayed, reset, cut in one direction, silenced or stalled."""

import socket
import struct
import threading
import time

CHUNK = 65536


class Proxy:
    """Forwards to one address. Its mode holds for bytes that arrive from then on: pass, delay, reset, silent, mute."""

    def __init__(self, target):
        host, _, port = target.rpartition(":")
        self.target = (host, int(port))
        self.mode = "pass"
        self.delay = 0.15
        self.connections = set()
        self.stalled = set()
        self.lock = threading.Lock()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def set(self, mode):
        self.mode = mode
        if mode != "reset":
            return
        with self.lock:
            for connection in self.connections:
                reset(connection)

    def stall(self, chooser):
        """Some of the open connections go silent for good, as new ones go on to work."""
        with self.lock:
            self.stalled |= {connection for connection in self.connections if chooser.random() < 0.5}

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
        backward = threading.Thread(target=self.pump, args=(callee, caller, True), daemon=True)
        backward.start()
        self.pump(caller, callee, False)
        backward.join()
        with self.lock:
            self.connections -= {caller, callee}
            self.stalled -= {caller, callee}
        caller.close()
        callee.close()

    def pump(self, source, sink, is_answer):
        try:
            while data := source.recv(CHUNK):
                if self.mode == "delay":
                    time.sleep(self.delay)
                # A connection that has lost bytes goes on silent: what follows would not make sense.
                if self.mode == "silent" or (self.mode == "mute" and is_answer) or source in self.stalled:
                    while source.recv(CHUNK):
                        pass
                    break
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            for end in (source, sink):
                reset(end)

    def stop(self):
        self.listener.close()
        self.set("reset")


def reset(connection):
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
