"""Example trainer: starts a rollout step and collects its samples.

Usage: AGATETIDE_KEY=... python3 trainer.py MODEL ADDRESS:PORT...
The step is started at the first address that answers and collected from all
addresses in turn, as a trainer does after its entry host fails.
"""

import http.client
import itertools
import json
import os
import sys
import uuid

TIMEOUT_S = 30


def call(address, method, body, request_id):
    """Returns the decoded answer; raises OSError or RuntimeError."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=TIMEOUT_S)
    headers = {"content-type": "application/json", "x-request-id": request_id,
               "authorization": "Bearer " + os.environ["AGATETIDE_KEY"]}
    try:
        connection.request("POST", "/agatetide.v1.Rollout/" + method, json.dumps(body), headers)
        answer = connection.getresponse()
        payload = json.loads(answer.read())
    except http.client.HTTPException as error:
        raise OSError(str(error)) from error
    finally:
        connection.close()
    if answer.status != 200:
        raise RuntimeError(f"{payload['code']}: {payload['message']} ({payload['remedy']})")
    return payload


def start(addresses, origin):
    """Starts the step once: all attempts use the same request id."""
    request_id = uuid.uuid4().hex
    for address in addresses:
        try:
            return call(address, "StartStep", origin, request_id)
        except OSError as error:
            print(f"{address}: {error}", file=sys.stderr)
    raise SystemExit("no address answers")


def collect(addresses, step, origin):
    """Collects samples until the step is complete; with origin, any host can
    take the step over."""
    samples = {}
    failed = 0
    for address in itertools.cycle(addresses):
        request = {"step": step, "have": sorted(samples), "wait_ms": 2000, "origin": origin}
        try:
            answer = call(address, "Collect", request, uuid.uuid4().hex)
        except OSError as error:
            failed += 1
            if failed > 3 * len(addresses):
                raise
            print(f"{address}: {error}", file=sys.stderr)
            continue
        # Samples of a lost answer are delivered again and replaced by index.
        samples.update((sample["index"], sample) for sample in answer["samples"])
        if answer["complete"]:
            return samples


def main():
    if len(sys.argv) < 3 or "AGATETIDE_KEY" not in os.environ:
        raise SystemExit(__doc__)
    model, addresses = sys.argv[1], sys.argv[2:]
    origin = {"model": model, "prompts": ["a sticking gate", "a worn paddle"], "samples_per_prompt": 4,
              "max_tokens": 32, "enough_per_prompt": 3}
    step = start(addresses, origin)["step"]
    samples = collect(addresses, step, origin)
    for index in sorted(samples):
        sample = samples[index]
        print(f"sample {index} of prompt {sample['prompt']}: {sample['tokens']} tokens, "
              f"weight versions {','.join(sample['weight_versions'])}")


if __name__ == "__main__":
    main()
