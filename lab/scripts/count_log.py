#!/usr/bin/env python3
"""Counts what a fleet did, second by second, from the logs of its routers.

    count_log.py FOLDER

Each file of FOLDER is one router's log, written with DAMSONVALE_LOG=debug; a line begins with the second since the start
of the run. Printed are, over all routers: connections, attempts, outcomes, probes by the reason that shows, refusals by
class and by whether an attempt had gone out.
"""
import collections
import pathlib
import re
import sys

REQUEST = re.compile(r"RequestId\((\d+)\)")
MEMBER = re.compile(r"MemberId\((\d+)\)")
OUTCOME = re.compile(r"outcome: (\w+)")
CLASS = re.compile(r"class: (\d+)")


def count(lines, add):
    """Counts one router's lines; `add` takes a second and a name."""
    classes, attempts, looked = {}, collections.Counter(), {}
    for line in lines:
        head = line.split(" ", 1)[0]
        try:
            second = int(float(head))
        except ValueError:
            continue
        request, member = REQUEST.search(line), MEMBER.search(line)
        if "event Request" in line:
            classes[request[1]] = CLASS.search(line)[1]
            add(second, "requests")
        elif "event Outcome" in line:
            add(second, "outcome " + OUTCOME.search(line)[1])
        elif "event Probed" in line:
            said = "no report" if "report: Report { primary: None" in line else "a report"
            looked[member[1]] = f"{OUTCOME.search(line)[1]}, {said}"
            add(second, "probed " + looked[member[1]])
        elif "action Send" in line:
            attempts[request[1]] += 1
            add(second, "attempts")
        elif "action Probe" in line:
            add(second, f"probe after {looked.setdefault(member[1], 'nothing')}")
        elif "action Refuse" in line or "action Fail" in line:
            kind = "refused" if "Refuse" in line else "failed"
            tried = "after attempts" if attempts[request[1]] else "never sent"
            add(second, f"{kind} class {classes.get(request[1], '?')}, {tried}")
        elif " link: " in line:
            add(second, "connections" if "link: None" in line else "connections failed")


def main():
    if len(sys.argv) != 2:
        sys.exit(__doc__)
    seconds = collections.defaultdict(collections.Counter)
    for path in sorted(pathlib.Path(sys.argv[1]).glob("*.log")):
        with path.open(errors="replace") as lines:
            count(lines, lambda second, name: seconds[name].update([second]))
    last = max((s for c in seconds.values() for s in c), default=0)
    for name, by in sorted(seconds.items()):
        print(f"{name:36} {sum(by.values()):7} ", " ".join(f"{by[s]:4}" for s in range(last + 1)))


main()
