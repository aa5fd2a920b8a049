"""A request that a router has taken while it ends must get its final answer, also when its instance hangs.

One router with the times of keelung-decl (longest deadline 3 s, `file-entry`, unsafe), a primary and two replicas. The
primary hangs: it takes work and answers nothing. The router gets SIGTERM. Clients go on opening connections for 0.4 s; each
sends its first query, a `file-entry`, a little later. Nobody sends SIGKILL: the router ends by itself.
"""
import json
import os
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import common
import platform_side as platform

# The form of the settings; the class and its times are replaced below.
SETTINGS = os.path.join(common.ROOT, "deploy", "sites", "akureyri-skjol", "settings.json")
DEADLINE_MS = 3000  # keelung-decl: `file-entry` is given up after 3 s, the longest deadline of the site
LATE_S = 0.55  # STANDING: up to half a second after its time an answer only earns nothing; 50 ms slack on sockets
# When each newcomer connects after SIGTERM (PROTOCOL: new connections keep coming for 0.2 to 0.4 s), and when it sends.
CONNECT_S = [0.20, 0.25, 0.30, 0.35, 0.37, 0.38, 0.39, 0.395]
FIRST_QUERY_AFTER_S = 0.285  # so that the last query is sent 0.68 s after SIGTERM, before the 0.7 s of PROTOCOL


def play(record, processes, trouble):
    received, lock, hung = {}, threading.Lock(), threading.Event()

    def answer(instance, sql):
        is_primary = instance.name == "s-a"
        now = int(platform.unix_ms())
        mode = platform.parameter("mode", "read-write" if is_primary else "read-only")
        if sql == "SHOW stats":
            return platform.row("queue=0,x0=%.3f,x1=%d" % (now / 1000.0, is_primary)) + mode
        with lock:
            received.setdefault(platform.fields(sql)["id"], time.monotonic())
        record.write("%s received %s" % (instance.name, sql))
        if is_primary and hung.is_set():
            time.sleep(60)
        if not is_primary:
            return platform.error("25006", "no primary") + mode
        return platform.row("v") + mode + platform.parameter("wal_time", str(now))

    instances = [platform.Instance(name, answer) for name in ("s-a", "s-b", "s-c")]
    entries = [platform.entry(i, zone, i.name == "s-a")
               for i, zone in zip(instances, ("oddeyri", "glerarhverfi", "brekka"))]
    agent = platform.Agent(entries)
    folder = common.temporary_folder()
    with open(SETTINGS) as file:
        settings = json.load(file)
    settings.update(replicasOfMe=1, slotNo=0)
    settings["classes"] = [dict(c, name="file-entry", deadlineMs=float(DEADLINE_MS), objectiveMs=750.0, lateWorth=0.5)
                           for c in settings["classes"] if c["name"] == "document-file"]
    settings["extra"].update(freshness=["mutate"], oldestDataMs=[0.0], writeMarks="brought")
    addr = "127.0.0.1:%d" % common.free_ports(1)[0]
    path = os.path.join(folder, "config.json")
    with open(path, "w") as file:
        json.dump({"name": "n1", "listen": addr, "discovery": agent.addr, "seed": "8c1f30d27a5be964",
                   "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
                   "known": {"version": 41, "full": True, "servers": entries}, "settings": settings}, file)
    environment = dict(os.environ, BALANCER_NAME="n1", BALANCER_LISTEN=addr, BALANCER_DISCOVERY=agent.addr,
                       BALANCER_CONFIG=path, TMPDIR=folder)
    log = open(os.path.join(folder, "router.log"), "w")
    router = processes.start(["/bin/sh", "-c", "exec target/release/damsonvale"], env=environment, stdout=log, stderr=log)

    def query(name):
        return ("INSERT INTO objects (oid, body) VALUES ('7f3a9c21e0b4d655', '\\x9f03') RETURNING body "
                "/* id=%s,c=file-entry,d=%d,cluster=0 */" % (name, DEADLINE_MS))

    def serves():
        try:
            client = platform.Client(addr, 3)
            result = client.query(query("warm-%d" % time.monotonic_ns()))
            client.close()
            return result[0] == "row"
        except OSError:
            return False

    common.wait_until("the router serves a write", serves)
    hung.set()
    record.write("HANG: s-a takes work and answers nothing from now on")
    time.sleep(0.1)
    start, results = time.monotonic(), {}
    if trouble:
        record.write("SIGTERM to the router")
        router.send_signal(signal.SIGTERM)

    def newcomer(number, connect_s):
        name = "newcomer-%d" % number
        time.sleep(max(0.0, start + connect_s - time.monotonic()))
        try:
            client = platform.Client(addr, 30)
        except OSError:
            record.write("%s: no connection" % name)
            return
        record.write("%s connected %.3f s after the start" % (name, time.monotonic() - start))
        time.sleep(max(0.0, start + connect_s + FIRST_QUERY_AFTER_S - time.monotonic()))
        sent = time.monotonic()
        record.write("%s sends its query %.3f s after the start" % (name, sent - start))
        try:
            result = client.query(query(name))
        except OSError as error:
            result = "no answer", str(error)
        results[name] = sent, time.monotonic(), result
        record.write("%s got %r after %.3f s" % (name, result, time.monotonic() - sent))

    threads = [threading.Thread(target=newcomer, args=(n, s), daemon=True) for n, s in enumerate(CONNECT_S)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(40)
    if trouble:
        router.wait(10)
        record.write("the router ended by itself with code %d, %.3f s after SIGTERM"
                     % (router.returncode, time.monotonic() - start))
    taken = {name: result for name, result in results.items() if name in received}
    record.write("%d queries sent, %d of them taken and sent on to an instance" % (len(results), len(taken)))
    if len(taken) < 4:
        raise common.CannotRun("only %d queries were taken" % len(taken))
    broken = []
    for name, (sent, ended, result) in sorted(taken.items()):
        if result is None or result[0] == "no answer":
            broken.append("%s: sent %.3f s after SIGTERM, taken and sent on to the primary, never answered: "
                          "the router closed the connection after %.3f s" % (name, sent - start, ended - sent))
        elif ended - sent > DEADLINE_MS / 1000.0 + LATE_S:
            broken.append("%s: answered %.3f s after it was sent" % (name, ended - sent))
    return broken


common.main(FOLDER, play)
