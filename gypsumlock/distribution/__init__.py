"""Acceptance, distribution, activation and recovery of configuration versions."""

from gypsumlock.distribution.accept import Acceptor, ChangeRequest
from gypsumlock.distribution.activate import ActivationController, TableController
from gypsumlock.distribution.fetch import FetchController
from gypsumlock.distribution.head_poll import HeadPollController
from gypsumlock.distribution.history import History, HistoryEntry
from gypsumlock.distribution.pause import PauseController
from gypsumlock.distribution.payload import SnapshotReader
from gypsumlock.distribution.recover import RecoveryController
from gypsumlock.distribution.survey import survey_members

__all__ = [
    "Acceptor",
    "ActivationController",
    "ChangeRequest",
    "FetchController",
    "HeadPollController",
    "History",
    "HistoryEntry",
    "PauseController",
    "RecoveryController",
    "SnapshotReader",
    "TableController",
    "survey_members",
]
