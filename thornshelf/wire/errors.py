"""Errors that input raises, and how log lines tell of them."""

from thornshelf.errors import WireError

UNREADABLE_PREFIX = "unreadable: "  # begins the reason why a connection ended with such an error


def error_code_fields(why: str) -> dict[str, object]:
    """The error's code as a log line's value, where a connection ended with one."""
    return {"code": WireError.code} if why.startswith(UNREADABLE_PREFIX) else {}


__all__ = ["UNREADABLE_PREFIX", "WireError", "error_code_fields"]
