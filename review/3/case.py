"""A drained server must receive nothing new, also after a restart of a router that was told of the drain.

Three routers (`damsonvale serve`) with a node of the store each, a folder for each node, a primary and two replicas.
After some 1,100 changes of the store an operator drains `shop-c` at router 1 (`damsonvale ctl ... drain shop-c`), which
confirms it. Clients of router 1 read all the time. Then router 1 is killed and started again with the same file and folder;
its clients connect again as soon as it listens.
"""
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import common
import mysqlwire as wire

GRACE_S = 0.3  # BRIEF: 250 ms; PROTOCOL: each time limit is 50 ms longer on sockets
CHANGES = 1100
CLIENTS = 8
RESTARTS = 3

FILE = """
[mysql]
listen = "127.0.0.1:{client}"
database = "shop"
server_user = "router"
server_password = "r"
probe = "SELECT probe"
routers = 3

[[mysql.user]]
name = "till"
password = "secret"

[[mysql.class]]
name = "history-read"
freshness = "any"
effect = "safe"
aim_ms = 400
deadline_ms = 1000

[[mysql.rule]]
starts = "select"
class = "history-read"
{servers}
[store]
node = {node}
folder = "{folder}"
control = "127.0.0.1:{control}"
{peers}
"""


def play(record, processes, trouble):
    received, lock = [], threading.Lock()

    def run(server, sql, send):
        if sql == "SELECT probe":
            now = str(int(time.time() * 1000))
            return wire.result_set(["0" if server.name == "shop-a" else "1", now])
        with lock:
            received.append((time.monotonic(), server.name, sql))
        record.write("%s RAN %s" % (server.name, sql))
        time.sleep(0.002)
        return wire.result_set([server.name])

    servers = [wire.Server(name, run) for name in ("shop-a", "shop-b", "shop-c")]
    temporary = tempfile.TemporaryDirectory()
    ports = common.free_ports(9)
    clients, controls, peers = ports[:3], ports[3:6], ports[6:]
    tables = "".join('\n[[mysql.server]]\nid = "%s"\naddr = "%s"\n' % (s.name, s.addr) for s in servers)
    nodes = "".join('\n[[store.peer]]\nnode = %d\naddr = "127.0.0.1:%d"\n' % (n + 1, p) for n, p in enumerate(peers))

    def start(n):
        path = os.path.join(temporary.name, "router-%d.toml" % (n + 1))
        with open(path, "w") as file:
            file.write(FILE.format(client=clients[n], servers=tables, node=n + 1, control=controls[n], peers=nodes,
                                   folder=os.path.join(temporary.name, "store-%d" % (n + 1))))
        log = open(os.path.join(temporary.name, "router-%d.log" % (n + 1)), "a")
        process = processes.start([common.PROGRAM, "serve", path], stdout=log, stderr=log)
        record.write("router %d started, process %d" % (n + 1, process.pid))
        return process

    def ctl(*words):
        command = [common.PROGRAM, "ctl", "127.0.0.1:%d" % controls[0], *words]
        done = subprocess.run(command, capture_output=True, text=True, timeout=20)
        record.write("ctl %s: %s%s" % (" ".join(words), done.stdout.strip(), done.stderr.strip()))
        return done

    routers = [start(n) for n in range(3)]
    common.wait_until("the store holds the servers", lambda: "shop-c" in ctl("list", "server/").stdout)

    # An operator's notes in the store: as many changes as a store sees within its first days.
    def change(lane):
        with socket.create_connection(("127.0.0.1", controls[0])) as sock:
            answers = sock.makefile()
            for n in range(CHANGES // 10):
                sock.sendall((json.dumps({"do": "set", "key": "note/%d" % lane, "text": str(n)}) + "\n").encode())
                answer = answers.readline()
                if "version" not in answer:
                    record.write("change not confirmed: " + answer.strip())

    lanes = [threading.Thread(target=change, args=(lane,), daemon=True) for lane in range(10)]
    for lane in lanes:
        lane.start()
    for lane in lanes:
        lane.join(60)
    record.write("%d changes made" % CHANGES)
    stop = threading.Event()

    def reader(number):
        client, count = None, 0
        while not stop.is_set():
            try:
                if client is None:
                    client = wire.Client("127.0.0.1:%d" % clients[0], "till", "secret", "shop", 3)
                count += 1
                answer = client.query("SELECT n FROM basket WHERE id = 'r%d-%d'" % (number, count))
                record.write("client %d read %d got %r" % (number, count, answer))
                time.sleep(0.01)
            except (ConnectionError, OSError):
                client = None
                time.sleep(0.002)

    readers = [threading.Thread(target=reader, args=(n,), daemon=True) for n in range(CLIENTS)]
    for thread in readers:
        thread.start()
    reads_of = lambda name, since: [r for r in received if r[1] == name and r[0] > since]
    common.wait_until("both replicas serve", lambda: reads_of("shop-b", 0) and reads_of("shop-c", 0))
    if "version" not in ctl("drain", "shop-c").stdout:
        raise common.CannotRun("the drain was not confirmed")
    drained = time.monotonic()
    time.sleep(2)
    for _ in range(RESTARTS):
        if trouble:
            record.write("SIGKILL to router 1")
            routers[0].send_signal(signal.SIGKILL)
            routers[0].wait()
            time.sleep(0.3)
            routers[0] = start(0)
        time.sleep(2)
    stop.set()
    for thread in readers:
        thread.join(5)
    if '"draining' not in ctl("get", "server/shop-c").stdout.replace("\\", ""):
        raise common.CannotRun("the store does not hold the drain")
    if len(reads_of("shop-b", drained)) < 100:
        raise common.CannotRun("too few reads")
    late = reads_of("shop-c", drained + GRACE_S)
    record.write("%d reads at shop-b, %d at shop-c after the drain" % (len(reads_of("shop-b", drained)), len(late)))
    return ["shop-c received `%s` %.3f s after the drain was confirmed" % (sql, at - drained) for at, _, sql in late]


common.main(FOLDER, play)
