"""Adapters of the distribution, apart from the cores because they load tornado."""

from wigeonspan.distribution._handler import SYNC_PATH, SyncHandler
from wigeonspan.distribution._task import Observations, SyncTask

__all__ = ["SYNC_PATH", "Observations", "SyncHandler", "SyncTask"]
