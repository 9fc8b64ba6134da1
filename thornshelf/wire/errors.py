"""The one error of every parser."""

from __future__ import annotations


class WireError(Exception):
    """Input that its format does not allow.

    ``fatal`` tells that the framing is lost, so that the connection can't go on.
    ``uid`` names the task of a message whose frame could be read although its content could not.
    """

    def __init__(self, text: str, *, fatal: bool = False, uid: int | None = None) -> None:
        super().__init__(text)
        self.fatal = fatal
        self.uid = uid
