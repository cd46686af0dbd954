"""A CoAP client of one socket, for what the stock client can't do: copies of old messages, several
requests of one flow, rubbish. RFC 7252, RFC 7641 (Observe) and RFC 9175 (Echo)."""

import json
import socket
import struct
import time

CON, NON, ACK, RST = range(4)
GET, POST = 1, 2
OBSERVE, URI_PATH, URI_QUERY, ECHO = 6, 11, 15, 252
SEND_SECONDS = 2.0  # between transmissions
EXTENDED_8, EXTENDED_16 = 13, 14


def _nibble(value):
    if value < EXTENDED_8:
        return value, b""
    if value < 269:
        return EXTENDED_8, bytes([value - EXTENDED_8])
    return EXTENDED_16, struct.pack("!H", value - 269)


def encode(kind, code, message_id, token=b"", options=(), payload=b""):
    data = struct.pack("!BBH", 0x40 | kind << 4 | len(token), code, message_id) + token
    last = 0
    for number, value in sorted(options, key=lambda option: option[0]):
        delta, delta_bytes = _nibble(number - last)
        length, length_bytes = _nibble(len(value))
        data += bytes([delta << 4 | length]) + delta_bytes + length_bytes + value
        last = number
    return data + (b"\xff" + payload if payload else b"")


def _extended(data, at, nibble):
    if nibble == EXTENDED_8:
        return data[at] + EXTENDED_8, at + 1
    if nibble == EXTENDED_16:
        return struct.unpack_from("!H", data, at)[0] + 269, at + 2
    return nibble, at


class Message:
    def __init__(self, data):
        first, self.code, self.message_id = struct.unpack_from("!BBH", data)
        self.kind = first >> 4 & 3
        at = 4 + (first & 15)
        self.token = data[4:at]
        self.options = {}
        number = 0
        while at < len(data) and data[at] != 0xff:
            byte = data[at]
            delta, at = _extended(data, at + 1, byte >> 4)
            length, at = _extended(data, at, byte & 15)
            number += delta
            self.options[number] = data[at:at + length]
            at += length
        self.payload = data[at + 1:]

    @property
    def status(self):
        """As people write it: 205 for 2.05; 0 for an empty message."""
        return (self.code >> 5) * 100 + (self.code & 31)

    @property
    def body(self):
        try:
            return json.loads(self.payload)
        except ValueError:
            return {}


class Flow:
    """One client's address and port. Not for use by two threads at once."""

    def __init__(self, address):
        host, port = address.rsplit(":", 1)
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.connect((host, int(port)))
        self.next_id = 1000

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.socket.close()

    def request(self, code, path, options=(), payload=b"", kind=CON):
        """(message id, datagram) of a fresh request."""
        self.next_id += 1
        parts = [(URI_PATH, part.encode()) for part in path.split("/")]
        token = struct.pack("!H", self.next_id)
        return self.next_id, encode(kind, code, self.next_id, token, parts + list(options), payload)

    def send(self, datagram):
        try:
            self.socket.send(datagram)
        except OSError:
            pass  # an ICMP error of an earlier datagram

    def receive(self, seconds):
        """The next message, or None. Confirmable ones are acknowledged."""
        self.socket.settimeout(max(seconds, 0.001))
        try:
            message = Message(self.socket.recv(65536))
        except OSError:
            return None
        if message.kind == CON:
            self.send(encode(ACK, 0, message.message_id))
        return message

    def exchange(self, request, seconds=60):
        """The answer to a request, retransmitted until it comes; None at the limit."""
        message_id, datagram = request
        token = struct.pack("!H", message_id)
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.send(datagram)
            again = time.monotonic() + SEND_SECONDS
            while time.monotonic() < again:
                message = self.receive(again - time.monotonic())
                if message is None:
                    continue
                if message.kind == RST and message.message_id == message_id:
                    return message
                if message.code != 0 and message.token == token:
                    return message
        return None

    def get(self, path, query=None, seconds=60):
        options = [(URI_QUERY, query.encode())] if query else []
        return self.exchange(self.request(GET, path, options), seconds)

    def post(self, path, request_id, seconds=60):
        """A POST that answers the challenge, as RFC 9175 asks of a client."""
        payload = json.dumps({"id": request_id}).encode()
        answer = self.exchange(self.request(POST, path, payload=payload), seconds)
        if answer is None or answer.status != 401 or ECHO not in answer.options:
            return answer
        echo = [(ECHO, answer.options[ECHO])]
        return self.exchange(self.request(POST, path, echo, payload), seconds)
