"""Other writers that leave odd entries in the store during a soak, and pages of the store that can't be right.

The methods are those of a soak (see soak.py), whose site they use.
"""

import random
import time

from harness.site import check, until
from odd_keys import LARGE_BYTES, ODD_KEYS, PREFIXES, FirstPageAgain, reverse_pages, say_more
from odd_registrations import check_serves

MAX_KEY_BYTES = 200
# '+' and a blank are drawn often, since a reader of a query may take one for the other.
PIECES = ["+"] * 6 + [" "] * 3 + ["%", "%2B", "%00", "&", "=", "?", "#", "'", '"', "\\", "/", "//..", "a", "a03", "z", "\u00e9",
                                  "\u2028", "\U0001f600", *map(chr, range(32)), "\x7f"]
# Values that name no replica, no version and no configuration.
SMALL_VALUES = [b"", b"{}", b"[]", b"null", b'"text"', b'{"service": 1}', bytes(range(256))]
SHARE_OF_LARGE_VALUES, SHARE_OF_REMOVALS = 0.2, 0.25
# Bytes that stand at a time. On a long path to the store (see soak_end.py), which takes up to 0.5 s/MB, a start
# that reads more of them would take longer than a soak waits for it.
MAX_BYTES, MAX_BYTES_ON_LONG_PATH = 40000000, 4000000
SHARE_OF_MISBEHAVIOUR = 0.7
# Misbehaviour begins this long before the end of the faults, and lasts this long: hosts read a list again 2 s after a
# page that can't be right, and later if that one isn't right either.
BEFORE_END_S, MISBEHAVIOUR_S = (5, 8), (0.5, 1.8)
REREAD_S = 2


class StoreEntries:
    """What others write into the store, and how it misbehaves."""

    def prepare_store(self, seed):
        # Numbers of its own, so that a seed draws the same disruptions as without this part.
        self.store_random = random.Random("store-%d" % seed)
        self.page_random = random.Random("store-pages-%d" % seed)
        self.odd_entries = {}  # sizes by key
        self.odd_writes, self.misbehaviour = 0, None

    def draw_key(self):
        if self.store_random.random() < 0.3:
            text = self.store_random.choice(ODD_KEYS)
        else:
            text = "".join(self.store_random.choices(PIECES, k=self.store_random.choice([1, 3, 8, 30, MAX_KEY_BYTES])))
        key = (self.store_random.choice(PREFIXES) + text).encode()[:MAX_KEY_BYTES]
        return key.decode(errors="ignore")  # A character that is cut goes as a whole.

    def draw_value(self):
        if self.store_random.random() >= SHARE_OF_LARGE_VALUES:
            return self.store_random.choice(SMALL_VALUES)
        return b"x" * self.store_random.choice([1000, 100000, LARGE_BYTES, LARGE_BYTES, LARGE_BYTES])

    def write_odd_entries(self):
        max_bytes = MAX_BYTES_ON_LONG_PATH if self.seconds_per_mb else MAX_BYTES
        while self.running():
            key, value = self.draw_key(), self.draw_value()
            full = sum(self.odd_entries.values()) + len(value) > max_bytes
            if self.odd_entries and (full or self.store_random.random() < SHARE_OF_REMOVALS):
                self.remove_odd_entry(self.store_random.choice(list(self.odd_entries)))
            else:
                self.odd_entries[key] = len(value)
                self.odd_writes += 1
                self.site.store.put_bytes(key, value)
            time.sleep(self.store_random.uniform(0, 0.3))

    def remove_odd_entry(self, key):
        del self.odd_entries[key]
        self.site.store.remove(key)

    def misbehave_in_store(self):
        """In most runs, gives pages that can't be right for a while, in which a host starts."""
        if self.page_random.random() >= SHARE_OF_MISBEHAVIOUR:
            return
        time.sleep(max(0, self.end - self.page_random.uniform(*BEFORE_END_S) - time.monotonic()))
        daemon = self.acquire_free()
        if daemon is None:
            return
        lasts_s = self.page_random.uniform(*MISBEHAVIOUR_S)
        self.misbehaviour = self.page_random.choice([say_more, reverse_pages, FirstPageAgain(self.page_random.choice(PREFIXES))])
        self.disturb_all()
        self.site.store.misbehave = self.misbehaviour
        self.killed_at[daemon.name].append(time.monotonic())
        self.note_own_end(daemon)
        daemon.stop()
        daemon.launch()
        time.sleep(lasts_s)
        self.site.store.misbehave = None
        self.disturb_all()
        for other in self.site.daemons:
            self.disturbed_at[other.address].append(time.monotonic() + REREAD_S)
        until(daemon.is_ready, daemon.name + " is ready after pages that can't be right", daemon.process)
        self.release(daemon)

    def acquire_free(self):
        """Claims a host that no other fault acts on, while there is time, so that another one is left; None if there is none."""
        while time.monotonic() < self.end - BEFORE_END_S[0]:
            free = [d for d in self.site.daemons if d.name not in self.busy]
            daemon = self.page_random.choice(free) if len(free) > 1 else None
            if daemon is not None and self.acquire_this(daemon):
                return daemon
            time.sleep(0.02)
        return None

    def check_store(self):
        """Hosts serve and follow replicas, whether the odd entries are still there or not; returns what was done in the store."""
        check(self.site.store.misbehave is None, "the store is sound")
        if self.store_random.random() < 0.5:
            for key in list(self.odd_entries):
                self.remove_odd_entry(key)
        until(lambda: all(d.is_ready() for d in self.site.daemons), "all hosts are ready beside odd entries")
        check_serves(self.site, "store")
        kind = self.misbehaviour and getattr(self.misbehaviour, "__name__", type(self.misbehaviour).__name__)
        return "%d odd writes, %d entries left, misbehaviour %s, %d pages refused" % (
            self.odd_writes, len(self.odd_entries), kind, sum(len(d.lines("store_page_invalid")) for d in self.site.daemons))
