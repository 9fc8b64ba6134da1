"""The listening socket on which shells query a dispatcher, in a place where no other user can write."""

from __future__ import annotations

import os
import socket
import stat
import struct
from pathlib import Path

from thornshelf.errors import ControlSocketError, SocketInUseError

PEER_CREDENTIALS = struct.Struct("3i")  # SO_PEERCRED: process, user, group

_BACKLOG = 64
_OTHERS_WRITE = stat.S_IWGRP | stat.S_IWOTH
_SOCKET_MODE = 0o600
_SOCKET_UMASK = 0o177
_ROOT = 0
_CONNECT_TIMEOUT_S = 1.0


def open_control_socket(path: Path, is_taken_over: bool = False) -> socket.socket:
    """Listen at a path whose folder no other user can write to.

    A socket that a process which died has left behind is removed. With ``is_taken_over``, a predecessor that hands
    over may still answer there. Raises ``ControlSocketError`` where the path is not safe or can't be used, and
    ``SocketInUseError`` where another process answers.
    """
    folder = path.parent
    _check_folder(folder)
    folder_fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    short_path = f"/proc/self/fd/{folder_fd}/{path.name}"  # a socket's path may have 107 bytes and no more
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    try:
        _remove_leftover(path, short_path, is_taken_over)
        _bind(sock, path, short_path)
    except OSError as fault:
        sock.close()
        raise ControlSocketError(f"control.socket: {path}: {fault.strerror or fault}") from None
    except ControlSocketError:
        sock.close()
        raise
    finally:
        os.close(folder_fd)
    return sock


def is_allowed_peer(sock: socket.socket) -> bool:
    """Whether the other end of a connection runs as this user or as root."""
    credentials = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, PEER_CREDENTIALS.size)
    _, user, _ = PEER_CREDENTIALS.unpack(credentials)
    return user in (_ROOT, os.geteuid())


def _check_folder(folder: Path) -> None:
    try:
        status = os.stat(folder)
    except OSError as fault:
        raise ControlSocketError(f"control.socket: {folder}: {fault.strerror}") from None
    others_write = status.st_mode & _OTHERS_WRITE and not status.st_mode & stat.S_ISVTX
    if status.st_uid not in (_ROOT, os.geteuid()) or others_write:
        raise ControlSocketError(f"control.socket: {folder}: another user may write there")


def _remove_leftover(path: Path, short_path: str, is_taken_over: bool) -> None:
    try:
        status = os.lstat(path)
    except FileNotFoundError:
        return
    if not stat.S_ISSOCK(status.st_mode):
        raise ControlSocketError(f"control.socket: {path}: there is something else than a socket")
    if status.st_uid != os.geteuid():
        raise ControlSocketError(f"control.socket: {path}: it is another user's")
    if not is_taken_over:
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as client:
            client.settimeout(_CONNECT_TIMEOUT_S)
            try:
                client.connect(short_path)
                raise SocketInUseError(f"control.socket: {path}: another process answers there")
            except ConnectionRefusedError:
                pass  # left behind by a process that died
    os.unlink(path)


def _bind(sock: socket.socket, path: Path, short_path: str) -> None:
    umask = os.umask(_SOCKET_UMASK)
    try:
        sock.bind(short_path)
    finally:
        os.umask(umask)
    os.chmod(path, _SOCKET_MODE)
    if stat.S_IMODE(os.lstat(path).st_mode) != _SOCKET_MODE:
        raise ControlSocketError(f"control.socket: {path}: its mode can't be made 0600")
    sock.listen(_BACKLOG)
    sock.setblocking(False)
