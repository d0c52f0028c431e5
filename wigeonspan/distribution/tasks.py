"""HTTP handler and sync task, in a module of their own because they load tornado."""

from wigeonspan.distribution._handler import SYNC_PATH, SyncHandler
from wigeonspan.distribution._task import Observations, SyncTask

__all__ = ["SYNC_PATH", "Observations", "SyncHandler", "SyncTask"]
