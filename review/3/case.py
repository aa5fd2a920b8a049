"""A session must see its own writes while the router's process is replaced.

One router of akureyri-skjol (its settings: `writeMarks` kept, `whenBehind` silent), a primary and two replicas that are
behind. Each session writes (`document-file`), waits for the answer, and reads its own document (`case-read`, causal) a
little later. Halfway the process is replaced as DAYS describes: a second process with the same listening socket and the
same `$TMPDIR`; once it says yes, the first one gets SIGTERM. A session whose connection is closed opens another one.
"""
import json
import os
import signal
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))

# The platform holds the clients' listening socket; every process inherits it as descriptor 3.
LISTENER = socket.socket()
LISTENER.bind(("127.0.0.1", 0))
LISTENER.listen(512)
os.dup2(LISTENER.fileno(), 3, inheritable=True)
ADDR = "127.0.0.1:%d" % LISTENER.getsockname()[1]

import common
import platform_side as platform

SETTINGS = os.path.join(common.ROOT, "deploy", "sites", "akureyri-skjol", "settings.json")
LAG_MS = 400.0  # how far the replicas are behind: they are crowded
SESSIONS = 16
READ_AFTER_S = 0.15  # BRIEF: a session's reads come 120 to 770 ms after its writes, in the mean
PAUSE_S = 0.1


class Group:
    """One log of commits. A replica has applied all commits up to LAG_MS ago."""

    def __init__(self, record):
        self.record, self.lock = record, threading.Lock()
        self.log = {}  # key -> [(commit in ms, number)]
        self.primary = None

    def position(self, instance):
        now = platform.unix_ms()
        return now if instance.name == self.primary else now - LAG_MS

    def answer(self, instance, sql):
        is_primary = instance.name == self.primary
        mode = platform.parameter("mode", "read-write" if is_primary else "read-only")
        if sql == "SELECT 1":
            return platform.row("1")
        if sql == "SHOW stats":
            report = "queue=0,x0=%.3f,x1=%d" % (int(self.position(instance)) / 1000.0, is_primary)
            return platform.row(report) + mode
        if sql.split(" ", 1)[0] in ("SET", "RESET", "DISCARD"):
            return platform.message(b"C", b"SET\0")
        key = sql.split("'")[1]
        fields = platform.fields(sql)
        time.sleep(0.005)
        with self.lock:
            if sql.startswith("INSERT"):
                if not is_primary:
                    return platform.error("25006", "no primary") + mode
                commit = platform.unix_ms()
                number = int(sql.split("'")[3].lstrip("\\x"), 16)
                self.log.setdefault(key, []).append((commit, number))
                self.record.write("%s RAN write %s of %s, id %s" % (instance.name, number, key, fields["id"]))
                return platform.row(str(number)) + mode + platform.parameter("wal_time", str(int(commit) + 1))
            position = self.position(instance)
            seen = max([n for at, n in self.log.get(key, []) if at <= position], default=0)
        self.record.write("%s RAN read of %s, id %s: %d" % (instance.name, key, fields["id"], seen))
        return platform.row(str(seen)) + mode + platform.parameter("wal_time", str(int(position)))


def play(record, processes, trouble):
    group = Group(record)
    instances = [platform.Instance(name, group.answer) for name in ("s-a", "s-b", "s-c")]
    group.primary = "s-a"
    entries = [platform.entry(i, zone, i.name == "s-a")
               for i, zone in zip(instances, ("oddeyri", "glerarhverfi", "brekka"))]
    agent = platform.Agent(entries)
    folder = common.temporary_folder()
    with open(SETTINGS) as file:
        settings = json.load(file)
    settings.update(replicasOfMe=1, slotNo=0)
    logs = []

    def start():
        admin = "127.0.0.1:%d" % common.free_ports(1)[0]
        path = os.path.join(folder, "config-%s.json" % admin.split(":")[1])
        with open(path, "w") as file:
            json.dump({"name": "n1", "listen": ADDR, "discovery": agent.addr, "seed": "8c1f30d27a5be964",
                       "admin_addr": admin, "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
                       "known": {"version": 41, "full": True, "servers": entries}, "settings": settings}, file)
        log = open(os.path.join(folder, "router-%d.log" % len(logs)), "w")
        logs.append(log)
        environment = dict(os.environ, BALANCER_NAME="n1", BALANCER_LISTEN=ADDR, BALANCER_DISCOVERY=agent.addr,
                           BALANCER_CONFIG=path, BALANCER_PASSED_SOCKET="3", BALANCER_ADMIN_ADDR=admin,
                           TMPDIR=folder)
        process = processes.start(["/bin/sh", "-c", "exec target/release/damsonvale"], env=environment,
                                  pass_fds=(3,), stdout=log, stderr=log)
        record.write("process %d started" % process.pid)
        common.wait_until("the process says yes", lambda: platform.call(admin, "STATUS").startswith("200"), 6)
        record.write("process %d says yes" % process.pid)
        return process

    old = start()
    stop, counts, stale = threading.Event(), {"reads": 0, "writes": 0, "other": 0}, []
    lock = threading.Lock()

    def session(number):
        key, written, acknowledged, asked, client = "key-%02d" % number, 0, 0, 0, None

        def ask(sql):
            # A close that crosses a request that was not read: the client sends it once more on a new connection.
            nonlocal client
            for _ in range(3):
                try:
                    if client is None:
                        client = platform.Client(ADDR)
                    return client.query(sql)
                except (ConnectionError, OSError):
                    record.write("session %s opens a new connection" % key)
                    client = None
            return "error", "closed"

        time.sleep(number * 0.02)
        while not stop.is_set():
            written, asked = written + 1, asked + 1
            answer = ask("INSERT INTO objects (oid, body) VALUES ('%s', '\\x%04x') RETURNING body "
                         "/* id=%s-%d,c=document-file,d=6000,cluster=0 */" % (key, written, key, asked))
            record.write("session %s write %d got %r" % (key, written, answer))
            if answer[0] == "row":
                acknowledged = written
            time.sleep(READ_AFTER_S)
            asked += 1
            answer = ask("SELECT body FROM objects WHERE oid = '%s' "
                         "/* id=%s-%d,c=case-read,d=3000,cluster=0 */" % (key, key, asked))
            record.write("session %s read (must see %d) got %r" % (key, acknowledged, answer))
            with lock:
                counts["reads" if answer[0] == "row" else "other"] += 1
                counts["writes"] = counts["writes"] + 1
                if answer[0] == "row" and int(answer[1]) < acknowledged:
                    stale.append("session %s: read id %s-%d saw write %s, but write %d had been answered before"
                                 % (key, key, asked, answer[1], acknowledged))
            time.sleep(PAUSE_S)

    threads = [threading.Thread(target=session, args=(n,), daemon=True) for n in range(SESSIONS)]
    for thread in threads:
        thread.start()
    time.sleep(4)
    if trouble:
        new = start()
        record.write("SIGTERM to process %d" % old.pid)
        old.send_signal(signal.SIGTERM)
    time.sleep(4)
    stop.set()
    for thread in threads:
        thread.join(10)
    if trouble and new.poll() is not None:
        raise common.CannotRun("the new process ended")
    record.write("%r, %d stale reads" % (counts, len(stale)))
    if counts["reads"] < 200:
        raise common.CannotRun("only %r" % counts)
    return stale


common.main(FOLDER, play)
