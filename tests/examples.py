"""Runs the example programs, then builds and runs them against an installed
copy of the library. Prints one line for each check."""

import pathlib
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / "build/release"
NAMES = ["membership", "lease", "admission", "config_trust", "usage_counters"]


def run(name, command):
    """Runs one command as a check; returns whether it passed."""
    done = subprocess.run([str(part) for part in command], stdout=subprocess.PIPE, stderr=subprocess.STDOUT,
                          text=True, errors="replace", timeout=300, check=False)
    passed = done.returncode == 0
    if not passed:
        print(done.stdout[-3000:])
    print(f"{'ok' if passed else 'FAIL'} {name}")
    return passed


def main():
    passed = [run(f"example.{name}", [BUILD / f"examples/example_{name}"]) for name in NAMES]
    with tempfile.TemporaryDirectory() as folder:
        prefix, consumer = pathlib.Path(folder) / "prefix", pathlib.Path(folder) / "consumer"
        steps = [
            ("install", ["cmake", "--install", BUILD, "--prefix", prefix]),
            ("installed.configure", ["cmake", "-S", ROOT / "examples", "-B", consumer, "-G", "Ninja",
                                     "-DCMAKE_CXX_COMPILER_LAUNCHER=ccache",
                                     f"-DCMAKE_PREFIX_PATH={prefix}"]),
            ("installed.build", ["cmake", "--build", consumer, "--", "-j2"]),
            ("installed.run", ["ctest", "--test-dir", consumer, "--output-on-failure"]),
        ]
        for name, command in steps:
            passed.append(run(name, command))
            if not passed[-1]:
                break
    return 0 if all(passed) else 1


if __name__ == "__main__":
    sys.exit(main())
