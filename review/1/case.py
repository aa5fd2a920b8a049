"""An order, placed by a stored procedure, must not run twice when its primary hands over while it holds the order.

Two MySQL servers, one router (`damsonvale serve`), six terminals. An order is `CALL place_order(ID)`, whose body is
    INSERT INTO orders ...;  SELECT order number;  UPDATE account ... (the charge)
with autocommit, as on a sound MySQL server: each statement commits by itself, the result of the SELECT is sent to the
caller, and a statement that writes is refused with 1290 once the server has become read-only.
"""
import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import common
import mysqlwire as wire

BOOKING_S = 0.03  # work of the first half of an order
CHARGE_S = 0.07  # work of the second half: together 100 ms (BRIEF: 87 to 150 ms of work)
HANDOVER_S = 0.5  # BRIEF: one that drains hands over within 0.36 to 0.73 s
TERMINALS = 6
RUN_S = 6.0

FILE = """
[mysql]
listen = "127.0.0.1:{port}"
database = "stock"
server_user = "router"
server_password = "r"
probe = "SELECT probe"
routers = 1

[[mysql.user]]
name = "terminal"
password = "secret"

[[mysql.class]]
name = "order-place"
freshness = "write"
effect = "unsafe"
aim_ms = 750
deadline_ms = 2000
worth = 6.0

[[mysql.server]]
id = "stock-a"
addr = "{a}"

[[mysql.server]]
id = "stock-b"
addr = "{b}"
"""


class Group:
    """The role of each server and the orders, which both servers hold (replicated)."""

    def __init__(self, record):
        self.record, self.lock = record, threading.Lock()
        self.primary = "stock-a"
        self.booked, self.charged = {}, {}

    def is_primary(self, server):
        with self.lock:
            return self.primary == server.name

    def run(self, server, sql, send):
        if sql == "SELECT probe":
            now = str(int(time.time() * 1000))
            return wire.result_set(["0" if self.is_primary(server) else "1", now])
        if "place_order" not in sql:
            return [wire.error(1064, "not known here")]
        order = sql.split("'")[1]
        self.record.write("%s received %s" % (server.name, sql))
        read_only = "The MySQL server is running with the --read-only option so it cannot execute this statement"
        time.sleep(BOOKING_S)
        with self.lock:
            if self.primary != server.name:
                self.record.write("%s answers %s: 1290, nothing ran" % (server.name, order))
                return [wire.error(1290, read_only)]
            self.booked.setdefault(order, []).append(server.name)
        self.record.write("%s RAN the booking of %s" % (server.name, order))
        send(wire.result_set([order], wire.AUTOCOMMIT | wire.MORE_RESULTS))
        time.sleep(CHARGE_S)
        with self.lock:
            if self.primary != server.name:
                self.record.write("%s answers %s: the order number was sent, then 1290" % (server.name, order))
                return [wire.error(1290, read_only)]
            self.charged.setdefault(order, []).append(server.name)
        self.record.write("%s RAN the charge of %s" % (server.name, order))
        return [wire.ok()]

    def hand_over(self):
        """A planned hand-over: the primary becomes read-only, the other server takes over within a second."""
        with self.lock:
            self.primary = None
        self.record.write("HAND-OVER: stock-a is read-only from now on")
        time.sleep(HANDOVER_S)
        with self.lock:
            self.primary = "stock-b"
        self.record.write("HAND-OVER: stock-b is the primary")


def play(record, processes, trouble):
    group = Group(record)
    servers = [wire.Server(name, group.run) for name in ("stock-a", "stock-b")]
    folder = common.temporary_folder()
    port = common.free_ports(1)[0]
    path = os.path.join(folder, "mysql.toml")
    with open(path, "w") as file:
        file.write(FILE.format(port=port, a=servers[0].addr, b=servers[1].addr))
    log = open(os.path.join(folder, "router.log"), "w")
    processes.start([common.PROGRAM, "serve", path], stdout=log, stderr=log)
    addr = "127.0.0.1:%d" % port

    def answers():
        try:
            client = wire.Client(addr, "terminal", "secret", "stock", 3)
            answer = client.query("/* c=order-place,d=1900 */ CALL place_order('warm-up')")
            client.close()
            return answer[0] == "ok"
        except OSError:
            return False

    common.wait_until("the router places an order", answers)
    stop = time.monotonic() + RUN_S

    def terminal(number):
        client = wire.Client(addr, "terminal", "secret", "stock")
        count = 0
        while time.monotonic() < stop:
            count += 1
            order = "t%d-%d" % (number, count)
            sql = "/* c=order-place,d=1900 */ CALL place_order('%s')" % order
            record.write("terminal %d sends %s" % (number, order))
            answer = client.query(sql)
            record.write("terminal %d got %s: %r" % (number, order, answer))
            time.sleep(0.02)
        client.close()

    threads = [threading.Thread(target=terminal, args=(n,), daemon=True) for n in range(TERMINALS)]
    for thread in threads:
        thread.start()
    time.sleep(RUN_S / 2)
    if trouble:
        group.hand_over()
    for thread in threads:
        thread.join(20)
        if thread.is_alive():
            raise common.CannotRun("a terminal got no answer")
    twice = {order: names for order, names in group.booked.items() if len(names) > 1}
    orders = len(group.booked)
    record.write("%d orders ran, %d of them more than once" % (orders, len(twice)))
    if orders < 50:
        raise common.CannotRun("only %d orders ran" % orders)
    return ["order %s ran %d times: at %s" % (o, len(n), " and ".join(n)) for o, n in sorted(twice.items())]


common.main(FOLDER, play)
