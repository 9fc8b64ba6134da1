"""Requests, attempts and outcomes; no wire is known here."""

from thornshelf.core.dispatcher import Dispatcher
from thornshelf.core.model import (
    Attempt,
    Finished,
    GiveUp,
    ListChange,
    Node,
    NodeEntry,
    NodeLost,
    Noted,
    Owner,
    OwnerCame,
    OwnerGone,
    Probed,
    SetUp,
    Started,
)

__all__ = [
    "Attempt",
    "Dispatcher",
    "Finished",
    "GiveUp",
    "ListChange",
    "Node",
    "NodeEntry",
    "NodeLost",
    "Noted",
    "Owner",
    "OwnerCame",
    "OwnerGone",
    "Probed",
    "SetUp",
    "Started",
]
