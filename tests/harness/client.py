"""HTTP client for the calls of callers, trainers and operators."""

import http.client
import json
import uuid


class CallError(Exception):
    """An error answer; code "unreachable" means that no answer arrived."""

    def __init__(self, code, message, execution="unknown", remedy=""):
        super().__init__(f"{code}: {message} ({remedy})")
        self.code = code
        self.execution = execution


def call(address, method, body=None, key=None, request_id=None, timeout=30.0):
    """Sends one call; returns the decoded JSON answer or raises CallError."""
    host, port = address.rsplit(":", 1)
    headers = {"content-type": "application/json", "connect-timeout-ms": str(int(timeout * 1000))}
    if key:
        headers["authorization"] = f"Bearer {key}"
    if request_id:
        headers["x-request-id"] = request_id
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout + 1)
    try:
        connection.request("POST", "/" + method, json.dumps(body or {}), headers)
        response = connection.getresponse()
        payload = response.read()
    except (OSError, http.client.HTTPException) as error:
        raise CallError("unreachable", str(error)) from error
    finally:
        connection.close()
    decoded = json.loads(payload) if payload else {}
    if response.status != 200:
        raise CallError(
            decoded.get("code", str(response.status)),
            decoded.get("message", ""),
            decoded.get("execution", "unknown"),
            decoded.get("remedy", ""),
        )
    return decoded


def http_request(address, method, path, body=None, timeout=5.0):
    """Sends a plain HTTP request; returns (status, body)."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, json.dumps(body) if body is not None else None)
        response = connection.getresponse()
        return response.status, response.read().decode()
    finally:
        connection.close()


def get_json(address, path):
    return json.loads(http_request(address, "GET", path)[1])


def control(address, faults):
    """Sets the faults of a test double; {} ends them."""
    http_request(address, "POST", "/control", faults)


def put(address, key, expected_version=-1, **kind):
    """Stores one configuration object, for example account={"name": "a"}."""
    request = {"object": kind, "expected_version": expected_version, "change_id": uuid.uuid4().hex}
    return call(address, "agatetide.v1.Admin/Put", request, key)


class DirectoryClient:
    """Looks up the addresses of hosts for a caller in one zone."""

    def __init__(self, host, key, zone="", region=""):
        self.host, self.key, self.zone, self.region = host, key, zone, region

    def locate(self):
        location = {"availability_zone": self.zone, "region": self.region}
        answer = call(self.host, "agatetide.v1.Directory/Locate", location, self.key, timeout=2)
        return [host["address"] for host in answer["hosts"]]
