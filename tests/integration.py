"""Runs the end-to-end test of both deployments; prefixes check names with the deployment."""

import pathlib
import subprocess
import sys

HERE = pathlib.Path(__file__).resolve().parent


def main():
    code = 0
    for deployment in ("ashby", "stolvaerkstedet"):
        done = subprocess.run([sys.executable, HERE / "whole_path.py", "--once", "--deployment", deployment],
                              stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True, check=False)
        for line in done.stdout.splitlines():
            verdict, _, rest = line.partition(" ")
            print(f"{verdict} {deployment}.{rest}" if verdict in ("ok", "FAIL") else line)
        code = code or done.returncode
    return code


if __name__ == "__main__":
    sys.exit(main())
