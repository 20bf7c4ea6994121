"""Sends invalid input to a running deployment; checks errors, metrics, logs and health."""

import json
import pathlib
import random
import re
import socket
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from harness import client  # noqa: E402
from harness.deployment import ROOT, Deployment, wait_until  # noqa: E402
from whole_path import run_parts  # noqa: E402

TRANSFER_TIMEOUT_S = 15  # Of the daemon's HTTP server.


def read_metrics(deployment, index=0):
    text = client.http_request(deployment.daemons[index]["callers"], "GET", "/metrics")[1]
    values = re.findall(r"^agatetide_(\S+) (\S+)$", text, re.MULTILINE)
    return {name: float(value) for name, value in values}, text


def send_raw(deployment, data, timeout=5.0):
    """Sends bytes; returns (status, decoded JSON or None)."""
    host, port = deployment.daemons[0]["callers"].split(":")
    with socket.create_connection((host, int(port)), timeout=timeout) as connection:
        answer = b""
        try:
            connection.sendall(data)
            connection.shutdown(socket.SHUT_WR)
            while chunk := connection.recv(65536):
                answer += chunk
        except ConnectionError:
            pass  # The server closes without reading the rest of a refused body.
    head, _, body = answer.partition(b"\r\n\r\n")
    status = int(head.split()[1]) if head else 0
    return status, json.loads(body) if body.startswith(b"{") else None


def expect_error(error_code, call):
    """Checks that the call fails with this code, was not run and that the error names a remedy."""
    try:
        call()
    except client.CallError as error:
        assert error.code == error_code and error.execution == "not_run", error
        assert "()" not in str(error), f"no remedy: {error}"
        return
    raise AssertionError(f"accepted instead of {error_code}")


def bad_http(deployment):
    """Guards against errors without code or remedy for oversized and malformed requests."""
    start = b"POST /ashby.v1.Defects/Find HTTP/1.1\r\nhost: a\r\n"
    cases = [
        (429, start + b"content-length: 99999999\r\n\r\n"),
        (429, start + b"a: " + b"x" * 20000 + b"\r\n\r\n"),
        (400, b"nonsense\r\n\r\n"),
        (400, start + b"content-length: minus\r\n\r\n"),
        (400, start + b"content-length: 100\r\n\r\n{"),
        (404, b"GET /nowhere HTTP/1.1\r\nhost: a\r\n\r\n"),
        (400, start + b"x-request-id: " + b"y" * 200 + b"\r\nauthorization: Bearer "
         + deployment.keys["inspectors"].encode() + b"\r\ncontent-length: 0\r\n\r\n"),
    ]
    for status, data in cases:
        answered, body = send_raw(deployment, data)
        assert answered == status, f"{answered} instead of {status} for {data[:60]}"
        assert body["code"] and body["remedy"] and body["execution"] == "not_run", body
    return f"{len(cases)} requests refused with a typed error"


def bad_body(deployment):
    """Guards against invalid JSON and protobuf that reach an upstream or crash the daemon."""
    host, key = deployment.daemons[0]["callers"], deployment.keys["inspectors"]
    for method in ("ashby.v1.Defects/Find", "agatetide.v1.Directory/Locate"):
        expect_error("invalid_argument", lambda m=method: client.call(host, m, {"no_such_field": 1}, key))
        expect_error("invalid_argument", lambda m=method: client.call(host, m, [[[]]], key))
        head = (f"POST /{method} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {key}\r\n"
                "content-type: application/proto\r\ncontent-length: 3\r\n\r\n").encode()
        status, body = send_raw(deployment, head + b"\x0a\xff\xff")
        assert status == 400 and body["code"] == "invalid_argument", body
    expect_error("not_found", lambda: client.call(host, "ashby.v1.Defects/Nothing", {}, key))
    expect_error("not_found", lambda: client.call(host, "agatetide.v1.Admin/Nothing", {}, deployment.operator))
    expect_error("invalid_argument", lambda: client.put(
        host, deployment.operator, schema={"name": "x.proto", "source": "message {"}))
    return "refused with typed errors"


def unfit_schema(deployment):
    """Guards against a crash by a body that fits its schema but that no engine accepts:
    max_tokens as uint64, which JSON encodes as a string."""
    host = deployment.daemons[0]["callers"]
    schema_source = deployment.schema.replace("uint32 max_tokens", "uint64 max_tokens")
    client.put(host, deployment.operator, schema={"name": "ashby.proto", "source": schema_source})
    body = {"prompt": "a", "max_tokens": "5"}
    expect_error("invalid_argument",
                 lambda: client.call(host, "ashby.v1.Summaries/Summarise", body, deployment.keys["archive"]))
    client.put(host, deployment.operator, schema={"name": "ashby.proto", "source": deployment.schema})
    assert deployment.processes["daemon-1-1"].poll() is None
    return "refused, the daemon runs"


def bad_peers(deployment):
    """Guards against forged or malformed messages between daemons that are accepted or not counted."""
    host, port = deployment.daemons[0]["daemons"].split(":")
    random_source = random.Random(1)
    before = read_metrics(deployment)[0]
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for _ in range(200):
            sender.sendto(b"agt1" + random_source.randbytes(random_source.randrange(400)), (host, int(port)))
            time.sleep(0.001)
    frames = [b"\xff\xff\xff\xff", b"\x00\x00\x00\x10agt1" + bytes(12), b"\x00"]
    for frame in frames:
        with socket.create_connection((host, int(port)), timeout=5) as connection:
            connection.sendall(frame)

    def all_counted():
        after = read_metrics(deployment)[0]
        invalid = after["peer_datagrams_invalid_total"] - before["peer_datagrams_invalid_total"]
        frames_refused = after["peer_requests_invalid_total"] - before["peer_requests_invalid_total"]
        return invalid == 200 and frames_refused == len(frames)

    wait_until(all_counted, 5, "counts of invalid messages")
    return "200 datagrams and 3 frames dropped and counted"


def many_connections(deployment):
    """Guards against slow callers whose connections keep other callers out."""
    host, port = deployment.daemons[0]["callers"].split(":")
    before = read_metrics(deployment)[0]["server_slow_requests_total"]
    slow = []
    for _ in range(300):
        connection = socket.create_connection((host, int(port)), timeout=30)
        connection.sendall(b"POST /a HTTP/1.1\r\ncontent-length: 5\r\n\r\n1")
        slow.append(connection)
    spec = deployment.spec["lookup"]
    client.call(deployment.daemons[0]["callers"], spec["method"], spec["body"], deployment.keys["inspectors"])
    wait_until(lambda: read_metrics(deployment)[0]["server_slow_requests_total"] == before + len(slow),
               TRANSFER_TIMEOUT_S + 10, "slow requests dropped")
    for connection in slow:
        connection.close()
    wait_until(lambda: read_metrics(deployment)[0]["server_connections"] < 20, 5, "connections closed")
    return f"{len(slow)} slow requests dropped and counted, a lookup passed meanwhile"


def metric_page(deployment):
    """Guards against keys, unbounded labels or missing metrics on the metrics page."""
    for _ in range(20):
        expect_error("unauthenticated", lambda: client.call(
            deployment.daemons[0]["callers"], f"ashby.v1.Made/Up{random.random()}", {}, "ak_x_1234567890"))
    values, text = read_metrics(deployment)
    for name in ('requests_total{class="urgent",result="ok"}', 'refusals_total{kind="unauthenticated"}',
                 'request_latency_ms{class="urgent",quantile="0.99"}', 'request_latency_ms_count{class="urgent"}',
                 'request_latency_mean_ms{class="urgent"}', 'queue_length{upstream="report-api"}',
                 'running{upstream="report-api"}', "store_reads_total", "peer_sent_bytes_total",
                 "config_version", "config_trusted"):
        assert name in values, name
    assert "ak_" not in text and "Made" not in text
    assert len(text.splitlines()) < 200, len(text.splitlines())
    secrets = [key.split("_", 2)[2] for key in deployment.keys.values()]
    logs = "".join(path.read_text(errors="replace") for path in deployment.folder.glob("*.log"))
    assert not any(secret in text or secret in logs for secret in secrets), "a key leaked"
    return f"{len(values)} values"


def log_lines(deployment):
    """Guards against unlimited log lines for refused calls, and against missing routing decisions."""
    def text():
        return (deployment.folder / "daemon-1-1.log").read_text(errors="replace")

    host, spec = deployment.daemons[0]["callers"], deployment.spec["lookup"]
    before = text().count("event=refused")
    for _ in range(300):
        expect_error("unauthenticated", lambda: client.call(host, spec["method"], {}, "ak_x_1234567890"))
    client.call(host, spec["method"], spec["body"], deployment.keys["inspectors"], "follow-me-7")
    time.sleep(1.2)
    expect_error("unauthenticated", lambda: client.call(host, spec["method"], {}, "ak_x_1234567890"))
    wait_until(lambda: "request_id=follow-me-7" in text(), 5, "log")
    time.sleep(1.2)
    lines = text().count("event=refused") - before
    assert lines < 30, f"{lines} lines"
    assert re.search(r"event=refused .*suppressed=[1-9]", text()), "no count of suppressed lines"
    decisions = re.findall(r"level=info event=route request_id=follow-me-7 .*reason=", text())
    assert len(decisions) == 1, decisions
    return f"{lines} lines for 301 refusals"


def health(deployment):
    """Guards against a draining host that still reports ready."""
    daemon = deployment.daemons[-1]
    assert client.http_request(daemon["callers"], "GET", "/readyz")[0] == 200
    deployment.signal(daemon["name"], 15)
    wait_until(lambda: client.http_request(daemon["callers"], "GET", "/readyz")[0] == 503, 2, "not ready", 0.01)
    assert client.http_request(daemon["callers"], "GET", "/healthz")[0] == 200
    deployment.processes[daemon["name"]].wait(timeout=40)
    return "draining: healthy, not ready"


def example_settings(deployment):
    """Guards against example settings that the daemon rejects, and against undocumented settings."""
    examples = [ROOT / "deploy/example-settings.json", *sorted((ROOT / "deploy").glob("*/settings.json"))]
    assert len(examples) == 3, examples
    for path in examples:
        done = subprocess.run([ROOT / "build/release/agatetided", "--settings", path, "--check-config"],
                              capture_output=True, text=True, check=False)
        assert done.returncode == 0, f"{path}: {done.stderr}"
    schema = (ROOT / "src/agatetide/daemon/settings.cpp").read_text().split('R"({')[1].split('})"')[0]
    keys = set(re.findall(r'"([a-z_0-9]+)": \{', schema)) - {"properties", "items"}
    reference, example = (ROOT / "docs/settings.md").read_text(), examples[0].read_text()
    missing = [key for key in keys if f"{key}`" not in reference or f'"{key}"' not in example]
    assert not missing, missing
    return f"{len(examples)} files, {len(keys)} keys documented"


PARTS = [bad_http, bad_body, unfit_schema, bad_peers, many_connections, metric_page, log_lines, health,
         example_settings]


def main():
    with tempfile.TemporaryDirectory() as folder:
        with Deployment("ashby", folder, daemons_per_zone=1) as deployment:
            deployment.configure()
            return 1 if run_parts(deployment, PARTS) else 0


if __name__ == "__main__":
    sys.exit(main())
