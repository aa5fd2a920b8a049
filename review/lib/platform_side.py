"""The platform's side of PROTOCOL: database instances, discovery's agent, clients."""
import json
import queue
import socket
import struct
import threading
import time

READY = b"Z\0\0\0\5I"


def message(tag, body):
    return tag + struct.pack(">I", len(body) + 4) + body


def read_exact(sock, count):
    data = b""
    while len(data) < count:
        part = sock.recv(count - len(data))
        if not part:
            raise ConnectionError("closed")
        data += part
    return data


def read_message(sock):
    head = read_exact(sock, 5)
    return head[:1], read_exact(sock, struct.unpack(">I", head[1:])[0] - 4)


def parameter(name, value):
    return message(b"S", name.encode() + b"\0" + value.encode() + b"\0")


def error(code, text):
    return message(b"E", b"SERROR\0C" + code.encode() + b"\0M" + text.encode() + b"\0\0")


def row(value):
    value = value.encode()
    columns = message(b"T", b"\0\1body\0" + bytes(18))
    data = message(b"D", b"\0\1" + struct.pack(">I", len(value)) + value)
    return columns + data + message(b"C", b"SELECT 1\0")


def fields(sql):
    comment = sql[sql.rindex("/*") + 2:sql.rindex("*/")]
    return dict(pair.strip().split("=", 1) for pair in comment.split(","))


class Instance:
    """A database instance. `answer(instance, sql)` returns the bytes of an answer without ReadyForQuery."""

    def __init__(self, name, answer):
        self.name, self.answer = name, answer
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(256)
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
            length = struct.unpack(">I", read_exact(sock, 4))[0]
            read_exact(sock, length - 4)
            sock.sendall(message(b"R", bytes(4)) + READY)
            while True:
                tag, body = read_message(sock)
                if tag != b"Q":
                    return
                sql = body.rstrip(b"\0").decode()
                answer = message(b"I", b"") if not sql else self.answer(self, sql)
                sock.sendall(answer + READY)
        except (ConnectionError, OSError):
            pass
        finally:
            sock.close()


class Agent:
    """Discovery's agent on the router's machine: the whole list first, an empty line every 2 s, and changes."""

    def __init__(self, servers, version=41):
        self.servers, self.version = servers, version
        self.lock, self.watches = threading.Lock(), []
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(64)
        self.addr = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def whole(self):
        return json.dumps({"version": self.version, "full": True, "servers": self.servers})

    def accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock):
        try:
            head = b""
            while b"\r\n\r\n" not in head:
                part = sock.recv(4096)
                if not part:
                    return
                head += part
            lines = queue.Queue()
            with self.lock:
                self.watches.append(lines)
                first = self.whole()
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
            line = first
            while True:
                line = line.encode() + b"\n"
                sock.sendall(b"%x\r\n" % len(line) + line + b"\r\n")
                try:
                    line = lines.get(timeout=2)
                except queue.Empty:
                    line = ""
        except OSError:
            pass
        finally:
            sock.close()


class Client:
    """A client's connection: one query at a time."""

    def __init__(self, addr, timeout=10):
        host, port = addr.rsplit(":", 1)
        self.sock = socket.create_connection((host, int(port)), timeout=timeout)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        body = struct.pack(">I", 196608) + b"user\0worker\0database\0catalog\0\0"
        self.sock.sendall(struct.pack(">I", len(body) + 4) + body)
        self.answer()

    def query(self, sql):
        """Returns ("row", value), ("empty",) or ("error", code). ConnectionError if the router ended the connection
        before any byte of an answer."""
        self.sock.sendall(message(b"Q", sql.encode() + b"\0"))
        return self.answer()

    def answer(self):
        result = None
        while True:
            tag, body = read_message(self.sock)
            if tag == b"D":
                result = "row", body[6:].decode()
            elif tag == b"I":
                result = ("empty",)
            elif tag == b"E":
                codes = [f[1:] for f in body.split(b"\0") if f[:1] == b"C"]
                result = "error", codes[0].decode() if codes else ""
                if any(f == b"SFATAL" for f in body.split(b"\0")):
                    return result
            elif tag == b"Z":
                return result

    def close(self):
        self.sock.close()


def entry(instance, zone, primary, cell=0, started_ms=0, state="in_service"):
    return {"id": instance.name, "addr": instance.addr, "zone": zone, "kind": "skjol-4core", "cell": cell,
            "state": state, "weight": 1.0, "started_ms": started_ms,
            "mode": "read-write" if primary else "read-only"}


def call(addr, line, timeout=3):
    """One call at the operators' address; returns the first line of the answer, or ""."""
    host, port = addr.rsplit(":", 1)
    try:
        with socket.create_connection((host, int(port)), timeout=timeout) as sock:
            sock.sendall(line.encode() + b"\n")
            return sock.makefile().readline().strip()
    except OSError:
        return ""


def unix_ms():
    return time.time() * 1000.0
