"""The MySQL client/server protocol (handshake 10, protocol 4.1) as far as the review's stand-ins need it."""
import hashlib
import socket
import struct
import threading

MORE_RESULTS = 8
AUTOCOMMIT = 2
CAPABILITIES = (1 << 3) | (1 << 9) | (1 << 13) | (1 << 15) | (1 << 17) | (1 << 18) | (1 << 19)


def read_exact(sock, count):
    data = b""
    while len(data) < count:
        part = sock.recv(count - len(data))
        if not part:
            raise ConnectionError("closed")
        data += part
    return data


def read_packet(sock):
    header = read_exact(sock, 4)
    return header[3], read_exact(sock, header[0] | header[1] << 8 | header[2] << 16)


def packets(first, payloads):
    framed = b""
    for index, payload in enumerate(payloads):
        framed += struct.pack("<I", len(payload))[:3] + bytes([(first + index) & 255]) + payload
    return framed


def text(value):
    value = value.encode()
    return bytes([len(value)]) + value


def column(name):
    names = b"".join(text(part) for part in ["def", "", "", "", name, ""])
    return names + bytes([0x0C, 45, 0, 0, 1, 0, 0, 0xFD, 0, 0, 0, 0, 0])


def eof(status=AUTOCOMMIT):
    return b"\xfe\0\0" + struct.pack("<H", status)


def ok(status=AUTOCOMMIT):
    return b"\0\x01\0" + struct.pack("<H", status) + b"\0\0"


def error(code, message):
    return b"\xff" + struct.pack("<H", code) + b"#HY000" + message.encode()


def result_set(cells, status=AUTOCOMMIT):
    """The payloads of a result set of one row."""
    row = b"".join(text(cell) for cell in cells)
    return [bytes([len(cells)])] + [column("c") for _ in cells] + [eof(), row, eof(status)]


def greeting():
    capabilities = struct.pack("<I", CAPABILITIES)
    nonce = b"7" * 20
    return (b"\x0a8.0.1\0\x01\0\0\0" + nonce[:8] + b"\0" + capabilities[:2] + bytes([45, 2, 0]) + capabilities[2:]
            + bytes([21]) + bytes(10) + nonce[8:] + b"\0" + b"mysql_native_password\0")


class Server:
    """A MySQL server: accepts any login and passes each statement to `run(server, sql, send)`, which returns
    the payloads of the (rest of the) response. `send(payloads)` sends a part of the response at once."""

    def __init__(self, name, run):
        self.name, self.run = name, run
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(128)
        self.addr = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock):
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.sendall(packets(0, [greeting()]))
            read_packet(sock)
            sock.sendall(packets(2, [ok()]))
            while True:
                _, command = read_packet(sock)
                if command[:1] == b"\x01":
                    return
                if command[:1] != b"\x03":
                    sock.sendall(packets(1, [ok()]))
                    continue
                sequence = [1]

                def send(payloads):
                    sock.sendall(packets(sequence[0], payloads))
                    sequence[0] += len(payloads)

                send(self.run(self, command[1:].decode(), send))
        except (ConnectionError, OSError):
            pass
        finally:
            sock.close()


class Client:
    """A client of the router: logs in with `mysql_native_password` and takes several results."""

    def __init__(self, addr, user, password, database, timeout=10):
        host, port = addr.rsplit(":", 1)
        self.sock = socket.create_connection((host, int(port)), timeout=timeout)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        _, hello = read_packet(self.sock)
        at = hello.index(b"\0", 1) + 1 + 4
        nonce = hello[at:at + 8]
        at += 8 + 1 + 2 + 1 + 2 + 2 + 1 + 10
        nonce += hello[at:at + 12]
        sha = lambda data: hashlib.sha1(data).digest()
        stage = sha(password.encode())
        mask = sha(nonce + sha(stage))
        answer = bytes(a ^ b for a, b in zip(stage, mask))
        login = (struct.pack("<IIB", CAPABILITIES, 1 << 24, 45) + bytes(23) + user.encode() + b"\0"
                 + bytes([len(answer)]) + answer + database.encode() + b"\0" + b"mysql_native_password\0")
        self.sock.sendall(packets(1, [login]))
        _, reply = read_packet(self.sock)
        if reply[:1] != b"\0":
            raise ConnectionError("login refused: %r" % reply)

    def query(self, sql):
        """Returns ("ok", [rows of all results]) or ("error", code, text)."""
        self.sock.sendall(packets(0, [b"\x03" + sql.encode()]))
        rows = []
        while True:
            _, first = read_packet(self.sock)
            if first[:1] == b"\xff":
                return "error", struct.unpack("<H", first[1:3])[0], first[9:].decode(errors="replace")
            if first[:1] == b"\0":
                status = struct.unpack("<H", first[3:5])[0]
            else:
                for _ in range(first[0] + 1):
                    read_packet(self.sock)
                while True:
                    _, row = read_packet(self.sock)
                    if row[:1] == b"\xff":
                        return "error", struct.unpack("<H", row[1:3])[0], row[9:].decode(errors="replace")
                    if row[:1] == b"\xfe" and len(row) == 5:
                        status = struct.unpack("<H", row[3:5])[0]
                        break
                    cells, at = [], 0
                    while at < len(row):
                        cells.append(row[at + 1:at + 1 + row[at]].decode())
                        at += 1 + row[at]
                    rows.append(cells)
            if not status & MORE_RESULTS:
                return "ok", rows

    def close(self):
        self.sock.close()
