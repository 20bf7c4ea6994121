"""Checks the test harness itself.

Prints "ok NAME" or "FAIL NAME reason" for each test.
"""

import subprocess
import sys
import traceback

from harness.ports import free_port
from harness.site import check

DAEMONS = 3000
DRAW = "from harness.ports import free_port; print(free_port(), flush=True); input()"


def ports_of_a_daemon_differ():
    """Guards against a daemon that ends at its start, since two of its listeners have the same port."""
    for _ in range(DAEMONS):
        ports = [free_port("127.0.1.1") for _ in range(4)]
        check(len(set(ports)) == 4, "ports: %s" % ports)


def processes_draw_different_ports():
    """Guards against test runs at the same time that draw each other's ports before they listen."""
    processes = [subprocess.Popen([sys.executable, "-c", DRAW], cwd=sys.path[0], stdin=subprocess.PIPE,
                                  stdout=subprocess.PIPE, text=True) for _ in range(20)]
    ports = [int(process.stdout.readline()) for process in processes]
    for process in processes:
        process.communicate("\n")
    check(len(set(ports)) == len(ports), "ports: %s" % sorted(ports))


def main():
    failed = False
    for test in (ports_of_a_daemon_differ, processes_draw_different_ports):
        try:
            test()
            print("ok harness.%s" % test.__name__, flush=True)
        except Exception as error:  # pylint: disable=broad-except
            failed = True
            print("FAIL harness.%s %s" % (test.__name__, error), flush=True)
            traceback.print_exc()
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
