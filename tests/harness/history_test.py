"""Checks history.check() with hand-written histories that break one guarantee each."""

from harness.history import Event, check


def valid_history():
    """Returns a history that breaks no guarantee."""
    return [
        Event("call", id="a", outcome="ok", execution="completed", key="done", value={"result": "done"}),
        Event("call", id="b", outcome="timeout", execution="unknown", idempotent=False),
        Event("call", id="b", outcome="ok", execution="completed", idempotent=False, value={"result": "x"}),
        Event("call", id="c", outcome="unavailable", execution="not_run", idempotent=False),
        Event("run", id="b", version=1),
        Event("withdrawn", id="k", end=10),
        Event("use", id="k", at=12, outcome="ok", account="p", value="p"),
        Event("use", id="k", at=18, outcome="unauthenticated"),
        Event("seen", version=0),
        Event("sample", id="s", version=0, value=([1, 2], [1, 2], 2, 1)),
        Event("order", version=4), Event("order", version=4), Event("order", version=9),
        Event("window", id="60", value="x"), Event("window", id="60", value="x"),
        Event("leaving", host="u", at=1), Event("work", host="u", at=3), Event("work", host="v", at=9),
        Event("accepted", end=5, version=3),
        Event("configuration", host="d", at=6, version=2),
        Event("configuration", host="d", at=13, version=3),
    ]


VIOLATIONS = {
    "G1": [[Event("sample", id="t", value=([], [1], 1, 1))], [Event("sample", id="t", value=([1], [1, 2], 2, 1))]],
    "G2": [[Event("sample", id="t", value=([1, 3], [1, 3], 3, 1))]],
    "G3": [[Event("sample", id="s", version=0, value=([2], [2], 2, 1))]],
    "G4": [[Event("use", id="o", outcome="ok", account="p", value="q")]],
    "G5": [[Event("seen", version=1)]],
    "G6": [[Event("use", id="k", at=17.1, outcome="ok", account="p", value="p")]],
    "G7": [[Event("order", version=8)]],
    "G8": [[Event("window", id="60", value="y")]],
    "G9": [[Event("call", id="d", outcome="ok", key="done", value={"result": "other"})],
           [Event("call", id="b", outcome="ok", idempotent=False, value={"result": "y"})]],
    "G10": [[Event("run", id="c", version=1)]],
    "G11": [[Event("run", id="b", version=1)]],
    "G12": [[Event("work", host="u", at=4.1)]],
    "G13": [[Event("call", id="e", outcome="cut", execution="unknown", draining=True)]],
    "G14": [[Event("configuration", host="d", at=14, version=2)],
            [Event("configuration", host="e", at=12.1, version=2)]],
}


def run():
    """Returns the number of histories; raises AssertionError if a result is wrong."""
    assert check(valid_history()) == set(), check(valid_history())
    count = 0
    for guarantee, additions in VIOLATIONS.items():
        for addition in additions:
            count += 1
            found = check(valid_history() + addition)
            assert found == {guarantee}, f"{addition} should break {guarantee}, found {found}"
    return count
