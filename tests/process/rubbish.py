"""What the tests of bad input send: tunnel datagrams sealed with a deployment's key, and ZeroMQ
peers with keys of their choice. Both use the system's own libraries through ctypes, because the
standard library has neither SipHash nor CURVE."""

import ctypes
import struct

MAC_SIZE = 16
DEALER = 5
LINGER, CURVE_PUBLIC, CURVE_SECRET, CURVE_SERVER = 17, 48, 49, 50
SEND_MORE = 2
KEY_LENGTH = 41  # 40 characters of Z85 and a zero

_sodium = ctypes.CDLL("libsodium.so.23")
_zmq = ctypes.CDLL("libzmq.so.5")
_zmq.zmq_ctx_new.restype = ctypes.c_void_p
_zmq.zmq_socket.restype = ctypes.c_void_p
_zmq.zmq_socket.argtypes = [ctypes.c_void_p, ctypes.c_int]
_zmq.zmq_setsockopt.argtypes = [ctypes.c_void_p, ctypes.c_int, ctypes.c_char_p, ctypes.c_size_t]
_zmq.zmq_connect.argtypes = [ctypes.c_void_p, ctypes.c_char_p]
_zmq.zmq_send.argtypes = [ctypes.c_void_p, ctypes.c_char_p, ctypes.c_size_t, ctypes.c_int]
_zmq.zmq_close.argtypes = [ctypes.c_void_p]
_zmq.zmq_ctx_term.argtypes = [ctypes.c_void_p]


# Protobuf's wire format, as far as a header needs it (src/wire/tunnel.proto).

def _varint(value):
    out = b""
    while value > 127:
        out += bytes([value & 127 | 128])
        value >>= 7
    return out + bytes([value])


def fixed(field, value):
    return _varint(field << 3 | 1) + struct.pack("<Q", value)


def part(field, content):
    return _varint(field << 3 | 2) + _varint(len(content)) + content


def seal(key, header, payload=b""):
    """A datagram of the tunnel (src/wire/datagram.h): SipHash-2-4 of 128 bits over the rest."""
    sealed = _varint(len(header)) + header + payload
    mac = ctypes.create_string_buffer(MAC_SIZE)
    _sodium.crypto_shorthash_siphashx24(mac, sealed, ctypes.c_ulonglong(len(sealed)), key)
    return mac.raw + sealed


def packet(service):
    """A header that carries a client's packet for the service with this id."""
    client = part(1, bytes([10, 9, 8, 7])) + _varint(2 << 3) + _varint(4000)
    return fixed(1, 1) + part(3, part(1, part(1, client) + fixed(2, service)))


def new_keys():
    public, secret = (ctypes.create_string_buffer(KEY_LENGTH) for _ in range(2))
    _zmq.zmq_curve_keypair(public, secret)
    return {"public": public.value.decode(), "secret": secret.value.decode()}


class RelayPeer:
    """A ZeroMQ client of a control port. `own` and `server`: key pairs; None: no keys at all."""

    def __init__(self, address, own=None, server=None):
        self.context = _zmq.zmq_ctx_new()
        self.socket = _zmq.zmq_socket(self.context, DEALER)
        linger = struct.pack("=i", 0)
        _zmq.zmq_setsockopt(self.socket, LINGER, linger, len(linger))
        if own:
            for option, text in ((CURVE_PUBLIC, own["public"]), (CURVE_SECRET, own["secret"]),
                                 (CURVE_SERVER, server["public"])):
                _zmq.zmq_setsockopt(self.socket, option, text.encode(), len(text))
        _zmq.zmq_connect(self.socket, f"tcp://{address}".encode())

    def __enter__(self):
        return self

    def __exit__(self, *_):
        _zmq.zmq_close(self.socket)
        _zmq.zmq_ctx_term(self.context)

    def send(self, *frames):
        """One message; it leaves when the connection is up."""
        for index, frame in enumerate(frames):
            more = SEND_MORE if index + 1 < len(frames) else 0
            _zmq.zmq_send(self.socket, frame, len(frame), more)
