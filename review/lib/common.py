"""What the drivers of the review's cases share: the record, and processes that are always ended."""
import ctypes
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "damsonvale")
STARTED = time.monotonic()


LIBC = ctypes.CDLL(None)
PR_SET_PDEATHSIG = 1
FOLDERS = []


class CannotRun(Exception):
    """The case could not run: exit code 2."""


def temporary_folder():
    """The path of a new temporary folder, which is removed when the case ends."""
    FOLDERS.append(tempfile.mkdtemp(prefix="review-"))
    return FOLDERS[-1]


def end_with_parent():
    """Runs in a started process before its program: it ends with this one, even if this one is killed."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def stop(number, _frame):
    raise CannotRun("stopped by signal %d" % number)


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
        process = subprocess.Popen(command, cwd=ROOT, preexec_fn=end_with_parent, **more)
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
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, stop)
    try:
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("no program; run the build of the deploy file")
        record.write("case started, trouble=%d" % trouble)
        broken = play(record, processes, trouble)
        for line in broken:
            record.write("BROKEN " + line)
        code = 1 if broken else 0
        print("%s: %s" % ("rule broken" if broken else "rule held", broken[0] if broken else "no violation seen"))
    except Exception as error:
        # Also an error that nobody expected: it says nothing about the rule.
        code = 2
        record.write("cannot run: %s: %s" % (type(error).__name__, error))
        print("cannot run: %s: %s" % (type(error).__name__, error))
    finally:
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, signal.SIG_IGN)
        processes.end()
        for path in FOLDERS:
            shutil.rmtree(path, ignore_errors=True)
        record.write("case ended, exit code %d" % code)
        record.close()
    sys.stdout.flush()
    os._exit(code)
