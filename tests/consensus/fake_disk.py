"""In-memory disk with crashes that lose unsynced data, and with injected failures."""

import errno


class PowerLoss(Exception):
    """Raised by the operation at which the simulated power loss happens."""


class _FakeFile:
    def __init__(self):
        self.synced = b""
        self.data = b""
        self.writes = []


class FakeDisk:
    """In-memory implementation of the ``Disk`` protocol.

    ``space`` is the number of bytes that can still be added (None for no limit),
    ``failing`` the names of the files whose sync fails (``.`` is the folder), ``full``
    whether every write is refused, ``full_syncs`` the names of the files whose sync
    finds no space (it drops the data, or writes it all the same with
    ``keeps_refused``), ``writes_left`` the number of writes until the disk is full
    (None for no limit) and ``operations_left`` the number of operations before a power
    loss (None for never).
    """

    def __init__(self):
        self.files = {}
        self.synced_names = {}
        self.name_changes = []
        self.space = None
        self.full = False
        self.writes_left = None
        self.full_syncs = set()
        self.keeps_refused = False
        self.failing = set()
        self.operations_left = None

    def names(self):
        return sorted(self.files)

    def read(self, name):
        return self._file(name).data

    def read_part(self, name, offset, size):
        return self._file(name).data[offset : offset + size]

    def create(self, name, data):
        self._count_operation()
        self._check_space()
        self.files[name] = _FakeFile()
        self._record_names()
        self.write_at(name, 0, data)

    def append(self, name, data):
        self.write_at(name, len(self._file(name).data), data)

    def write_at(self, name, offset, data):
        self._count_operation()
        self._check_space()
        file = self._file(name)
        growth = max(0, offset + len(data) - len(file.data))
        full = self.space is not None and growth > self.space
        if full:
            data = data[: len(data) - growth + self.space]
        if self.space is not None:
            self.space -= min(growth, self.space)
        file.data = _overwrite(file.data, offset, data)
        file.writes.append((offset, data))
        if full:
            raise OSError(errno.ENOSPC, "no space left")

    def truncate(self, name, size):
        self._count_operation()
        file = self._file(name)
        if self.space is not None:
            self.space += len(file.data) - size
        file.data = file.data[:size]
        file.writes.append((size, None))

    def sync(self, name):
        self._count_operation()
        if name in self.failing:
            raise OSError(errno.EIO, "input/output error")
        file = self._file(name)
        writes, file.writes = file.writes, []
        refused = name in self.full_syncs
        if not refused or self.keeps_refused:
            for offset, data in writes:
                if data is None:
                    file.synced = file.synced[:offset]
                else:
                    file.synced = _overwrite(file.synced, offset, data)
        if refused:
            raise OSError(errno.ENOSPC, "no space left")

    def sync_folder(self):
        self._count_operation()
        if "." in self.failing:
            raise OSError(errno.EIO, "input/output error")
        self.synced_names, self.name_changes = dict(self.files), []

    def rename(self, old, new):
        self._count_operation()
        self.files[new] = self.files.pop(old)
        self._record_names()

    def remove(self, name):
        self._count_operation()
        if self.files.pop(name, None) is not None:
            self._record_names()

    def close(self):
        pass

    def flip_bit(self, name, offset):
        """Flip the lowest bit of the byte at an offset of a synced file."""
        file = self._file(name)
        flipped = bytes([file.data[offset] ^ 1])
        file.data = file.synced = _overwrite(file.data, offset, flipped)

    def crash(self, rng):
        """Simulate a power loss: unsynced writes are kept, torn or lost at random."""
        kept = rng.randint(0, len(self.name_changes))
        names = self.name_changes[kept - 1] if kept else self.synced_names
        self.files = dict(names)
        self.synced_names, self.name_changes = dict(names), []
        self.operations_left = None
        for file in set(self.files.values()):
            data = file.synced
            for offset, written in file.writes:
                if rng.random() < 0.5:
                    if written is None:
                        data = data[:offset]
                    else:
                        kept = rng.randint(0, len(written))
                        data = _overwrite(data, offset, written[:kept])
            file.synced = file.data = data
            file.writes = []

    def _count_operation(self):
        if self.operations_left is not None:
            if self.operations_left == 0:
                raise PowerLoss
            self.operations_left -= 1

    def _check_space(self):
        if self.full or self.writes_left == 0:
            raise OSError(errno.ENOSPC, "no space left")
        if self.writes_left is not None:
            self.writes_left -= 1

    def _file(self, name):
        if name not in self.files:
            raise FileNotFoundError(errno.ENOENT, name)
        return self.files[name]

    def _record_names(self):
        self.name_changes.append(dict(self.files))


def _overwrite(old, offset, data):
    old = old.ljust(offset, b"\0")
    return old[:offset] + data + old[offset + len(data) :]
