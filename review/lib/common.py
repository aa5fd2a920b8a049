"""What the drivers of the review's cases share: the record, and processes that are always ended."""
import os
import signal
import socket
import subprocess
import sys
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "damsonvale")
STARTED = time.monotonic()


class CannotRun(Exception):
    """The case could not run: exit code 2."""


class Record:
    """`record.txt`: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.lock = threading.Lock()

    def write(self, line):
        with self.lock:
            self.file.write("%8.4f %s\n" % (time.monotonic() - STARTED, line))

    def close(self):
        self.file.close()


class Processes:
    """The processes that the case started; `end` kills those that are left."""

    def __init__(self):
        self.all = []

    def start(self, command, **more):
        process = subprocess.Popen(command, cwd=ROOT, **more)
        self.all.append(process)
        return process

    def end(self):
        for process in self.all:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.all:
            process.wait()


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def wait_until(what, condition, timeout=20):
    deadline = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > deadline:
            raise CannotRun("timed out: " + what)
        time.sleep(0.005)


def main(folder, play):
    """Runs `play(record, processes, trouble)`, which returns the broken rules as texts; exits with 0, 1 or 2."""
    record, processes = Record(folder), Processes()
    trouble = os.environ.get("TROUBLE", "1") != "0"
    code = 2
    try:
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("no program; run the build of the deploy file")
        record.write("case started, trouble=%d" % trouble)
        broken = play(record, processes, trouble)
        for line in broken:
            record.write("BROKEN " + line)
        code = 1 if broken else 0
        print("%s: %s" % ("rule broken" if broken else "rule held", broken[0] if broken else "no violation seen"))
    except CannotRun as error:
        record.write("cannot run: %s" % error)
        print("cannot run: %s" % error)
    finally:
        processes.end()
        record.write("case ended, exit code %d" % code)
        record.close()
    sys.stdout.flush()
    os._exit(code)
