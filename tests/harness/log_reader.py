"""Reads the log of a process through a named pipe; can stop reading, go away and come back."""

import os
import pathlib
import select
import tempfile
import threading

POLL_S = 0.05


class LogReader:
    """Copies what a process writes into a file, while it reads."""

    def __init__(self, file):
        self.file = file
        self.folder = tempfile.TemporaryDirectory()
        self.path = pathlib.Path(self.folder.name) / "log"
        os.mkfifo(self.path)
        self.reader = None
        self.attach()
        # What a process gets as its standard error.
        self.writer = os.open(self.path, os.O_WRONLY)
        self.reads, self.ended = True, False
        self.lock = threading.Lock()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def attach(self):
        """The reader comes back."""
        self.reader = os.open(self.path, os.O_RDONLY | os.O_NONBLOCK)

    def detach(self):
        """The reader goes away: what the process writes fails."""
        with self.lock:
            os.close(self.reader)
            self.reader = None

    def run(self):
        while not self.ended:
            with self.lock:
                if self.reads and self.reader is not None and select.select([self.reader], [], [], 0)[0]:
                    self.file.write(os.read(self.reader, 65536).decode(errors="replace"))
                    self.file.flush()
                    continue
            threading.Event().wait(POLL_S)

    def close(self):
        self.ended = True
        self.thread.join()
        os.close(self.writer)
        if self.reader is not None:
            os.close(self.reader)
        self.folder.cleanup()
