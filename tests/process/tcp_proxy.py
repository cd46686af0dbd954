"""A loopback proxy for TCP connections that harms them as it is told."""

import enum
import select
import socket
import struct
import threading
import time

PART_BYTES = 65536
STEP_SECONDS = 0.05
DELAY_SECONDS = 0.3
CONNECT_SECONDS = 2
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: on, no time to linger


class Mode(enum.Enum):
    PASS = "pass"
    DELAYED = "delayed"  # each part of the stream waits
    SILENT = "silent"    # open connections and new ones say nothing any more
    ONE_WAY = "one_way"  # requests get through, answers do not
    RESET = "reset"      # connections are reset as soon as they say anything


def readable(sockets, seconds):
    """Those of the sockets that have something to read. Not select(), which takes no descriptor
    above 1,023: a soak of a hundred processes has more."""
    poll = select.poll()
    for each in sockets:
        poll.register(each, select.POLLIN)
    ready = {descriptor for descriptor, _ in poll.poll(seconds * 1000)}
    return [each for each in sockets if each.fileno() in ready]


class Proxy:
    """Takes connections at one address and carries them to another."""

    def __init__(self, listen, upstream):
        self.upstream, self.mode, self.running = upstream, Mode.PASS, True
        self.listener = socket.create_server(listen)
        self.listener.settimeout(STEP_SECONDS)
        self.thread = threading.Thread(target=self.accept, daemon=True)
        self.thread.start()

    def accept(self):
        while self.running:
            try:
                near, _ = self.listener.accept()
            except TimeoutError:
                continue
            threading.Thread(target=self.carry, args=(near,), daemon=True).start()

    def carry(self, near):
        try:
            far = socket.create_connection(self.upstream, CONNECT_SECONDS)
        except OSError:
            near.close()
            return
        harmed = False
        with near, far:
            try:
                while self.running:
                    for source in readable([near, far], STEP_SECONDS):
                        part = source.recv(PART_BYTES)
                        if not part:
                            return
                        harmed = self.step(source, near, far, part, harmed)
            except OSError:
                return  # one end has gone

    def step(self, source, near, far, part, harmed):
        """Carries one part. Whether the connection is harmed for good: what was left out of a
        stream must not be followed by what comes later."""
        mode = self.mode
        if mode is Mode.RESET:
            near.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            raise ConnectionResetError
        if mode is Mode.DELAYED:
            time.sleep(DELAY_SECONDS)
        lost = harmed or mode is Mode.SILENT or (mode is Mode.ONE_WAY and source is far)
        if not lost:
            (far if source is near else near).sendall(part)
        elif source is near and mode is Mode.ONE_WAY:
            far.sendall(part)
        return lost

    def close(self):
        self.running = False
        self.thread.join()
        self.listener.close()
