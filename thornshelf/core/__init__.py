"""Requests, attempts and outcomes; no wire is known here."""

from thornshelf.core.dispatcher import Dispatcher
from thornshelf.core.messages import (
    AnswerMetadata,
    Attempt,
    CancelTask,
    ClientConnected,
    ClientDisconnected,
    EndpointListUpdate,
    HandshakeCompleted,
    HealthCheckCompleted,
    NodeEndpoint,
    NodeLost,
    TaskFinished,
    TaskProgress,
    TaskRequest,
    TaskStarted,
    TaskStatusReply,
)
from thornshelf.core.ports import ClientConnection, LogFunction, NodeConnection

__all__ = [
    "AnswerMetadata",
    "Attempt",
    "Dispatcher",
    "TaskFinished",
    "CancelTask",
    "HandshakeCompleted",
    "TaskStatusReply",
    "EndpointListUpdate",
    "LogFunction",
    "NodeConnection",
    "NodeEndpoint",
    "NodeLost",
    "TaskProgress",
    "ClientConnection",
    "ClientConnected",
    "ClientDisconnected",
    "HealthCheckCompleted",
    "TaskRequest",
    "TaskStarted",
]
