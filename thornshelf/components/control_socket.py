"""The Unix socket on which a dispatcher accepts shells, in a directory to which no other user can write."""

from __future__ import annotations

import os
import socket
import stat
import struct
from pathlib import Path

from thornshelf.errors import ControlSocketError, SocketInUseError

PEER_CREDENTIALS = struct.Struct("3i")  # struct ucred of SO_PEERCRED: process, user and group ids

_BACKLOG = 64
_NON_OWNER_WRITE = stat.S_IWGRP | stat.S_IWOTH
_SOCKET_MODE = 0o600
_SOCKET_UMASK = 0o177
_ROOT_USER_ID = 0
_CONNECT_TIMEOUT_S = 1.0


def open_control_socket(path: Path, during_handover: bool = False) -> socket.socket:
    """Listen at a path in a directory to which no other user can write.

    A stale socket of a process that has died is replaced; with ``during_handover``, so is the socket of the
    predecessor, which may still listen. Raises ``ControlSocketError`` if the path is unsafe or can't be used, and
    ``SocketInUseError`` if another process listens there.
    """
    folder = path.parent
    _check_folder(folder)
    folder_fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    short_path = f"/proc/self/fd/{folder_fd}/{path.name}"  # a socket address holds at most 107 bytes of path
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    try:
        _remove_stale_socket(path, short_path, during_handover)
        _bind(sock, path, short_path)
    except OSError as error:
        sock.close()
        raise ControlSocketError(f"control.socket: {path}: {error.strerror or error}") from None
    except ControlSocketError:
        sock.close()
        raise
    finally:
        os.close(folder_fd)
    return sock


def is_allowed_peer(sock: socket.socket) -> bool:
    """Returns whether the peer of a connection runs as this process's user or as root."""
    credentials = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, PEER_CREDENTIALS.size)
    _, user_id, _ = PEER_CREDENTIALS.unpack(credentials)
    return user_id in (_ROOT_USER_ID, os.geteuid())


def _check_folder(folder: Path) -> None:
    try:
        status = os.stat(folder)
    except OSError as error:
        raise ControlSocketError(f"control.socket: {folder}: {error.strerror}") from None
    # In a sticky directory such as /tmp, other users can't replace this user's files.
    can_others_write = status.st_mode & _NON_OWNER_WRITE and not status.st_mode & stat.S_ISVTX
    if status.st_uid not in (_ROOT_USER_ID, os.geteuid()) or can_others_write:
        raise ControlSocketError(f"control.socket: {folder}: another user may write there")


def _remove_stale_socket(path: Path, short_path: str, during_handover: bool) -> None:
    try:
        status = os.lstat(path)
    except FileNotFoundError:
        return
    if not stat.S_ISSOCK(status.st_mode):
        raise ControlSocketError(f"control.socket: {path}: exists and is not a socket")
    if status.st_uid != os.geteuid():
        raise ControlSocketError(f"control.socket: {path}: belongs to another user")
    if not during_handover:
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as client:
            client.settimeout(_CONNECT_TIMEOUT_S)
            try:
                client.connect(short_path)
                raise SocketInUseError(f"control.socket: {path}: another process listens there")
            except ConnectionRefusedError:
                pass  # nobody listens: the process that created it has died
    os.unlink(path)


def _bind(sock: socket.socket, path: Path, short_path: str) -> None:
    previous_umask = os.umask(_SOCKET_UMASK)
    try:
        sock.bind(short_path)
    finally:
        os.umask(previous_umask)
    os.chmod(path, _SOCKET_MODE)
    if stat.S_IMODE(os.lstat(path).st_mode) != _SOCKET_MODE:
        raise ControlSocketError(f"control.socket: {path}: its mode can't be set to 0600")
    sock.listen(_BACKLOG)
    sock.setblocking(False)
