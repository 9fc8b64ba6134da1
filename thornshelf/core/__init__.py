"""The dispatcher core: requests, attempts, running tasks and final answers, independent of any wire format."""

from thornshelf.core.client_connection import AnswerMetadata, ClientConnection
from thornshelf.core.dispatcher import Dispatcher
from thornshelf.core.messages import (
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
from thornshelf.core.ports import LogFunction, NodeConnection
from thornshelf.core.task_release import Release, TaskOwner

__all__ = [
    "AnswerMetadata",
    "Attempt",
    "CancelTask",
    "ClientConnected",
    "ClientConnection",
    "ClientDisconnected",
    "Dispatcher",
    "EndpointListUpdate",
    "HandshakeCompleted",
    "HealthCheckCompleted",
    "LogFunction",
    "NodeConnection",
    "NodeEndpoint",
    "NodeLost",
    "Release",
    "TaskFinished",
    "TaskOwner",
    "TaskProgress",
    "TaskRequest",
    "TaskStarted",
    "TaskStatusReply",
]
