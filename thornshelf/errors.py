"""The errors that operators may see; each class has a stable code, a meaning and a remedy.

``thornshelf explain CODE`` and ``docs/errors.md`` are generated from these classes, and log lines carry the code. A
code is never reused: one that is no longer raised stays reserved.
"""

from __future__ import annotations

from typing import ClassVar


class ThornshelfError(Exception):
    """The base class of all errors. ``code`` is stable; ``meaning`` and ``remedy`` are shown to operators."""

    code: ClassVar[str] = "TS0000"
    meaning: ClassVar[str] = "An error of this program."
    remedy: ClassVar[str] = "Read the error's message and the log lines before it."


ERRORS_BY_CODE: dict[str, type[ThornshelfError]] = {}


def register(error: type[ThornshelfError]) -> type[ThornshelfError]:
    """Class decorator that adds an error to ``ERRORS_BY_CODE``."""
    assert error.code not in ERRORS_BY_CODE, error.code
    ERRORS_BY_CODE[error.code] = error
    return error


# TS1xxx: configuration and start-up


@register
class ConfigError(ThornshelfError):
    """The configuration can't be used; the message names the key."""

    code = "TS1001"
    meaning = "A key of the configuration is missing or has an unusable value; the message names the key."
    remedy = "Correct the key that the message names; `thornshelf check-config FILE` checks a file without starting."


@register
class SchemaError(ThornshelfError):
    """The schema does not allow a key or its value; ``key`` is the dotted path."""

    code = "TS1002"
    meaning = "The operator's file has a key or a value that its schema does not allow."
    remedy = "Compare the key with `thornshelf schema`; an unknown key is usually a misspelling."

    def __init__(self, key: str, text: str) -> None:
        super().__init__(f"{key}: {text}" if key else text)
        self.key = key


@register
class InvalidParameterError(ThornshelfError, ValueError):
    """A component's parameters contradict each other or are out of range."""

    code = "TS1003"
    meaning = "Parameters of a component contradict each other or are out of range."
    remedy = "Correct the parameters that the message names; the pages in docs/ give the range of each."


@register
class StartupError(ThornshelfError):
    """A dispatcher process did not become ready."""

    code = "TS1004"
    meaning = "A dispatcher was started and did not become ready."
    remedy = "The message ends with the last lines of its log; correct what the last line names."


# TS2xxx: wire formats


@register
class WireError(ThornshelfError):
    """Input violates its wire format.

    ``fatal``: message boundaries are lost, so the connection must be closed.
    ``uid``: the task id of a message whose frame was valid but whose content was not, if known.
    """

    code = "TS2001"
    meaning = "A client, a node or the change log sent data that violates its wire format."
    remedy = "The message or its connection was dropped. Correct the sender that the log line names."

    def __init__(self, text: str, *, fatal: bool = False, uid: int | None = None) -> None:
        super().__init__(text)
        self.fatal = fatal
        self.uid = uid


# TS3xxx: the write-ahead log


@register
class EntryTooLargeError(ThornshelfError, ValueError):
    """An entry exceeds the maximum frame size of the write-ahead log."""

    code = "TS3001"
    meaning = "An entry exceeds the maximum frame size of the write-ahead log."
    remedy = "Shorten the node or tenant name that the entry contains; task descriptions are not logged."


@register
class UnsupportedVersionError(ThornshelfError):
    """A frame has a version that this program does not support; the log must not be modified."""

    code = "TS3002"
    meaning = "The write-ahead log was written by a newer version of the program."
    remedy = "Start the newer version again, or move the file away; this version does not modify it."

    def __init__(self, version: int, offset: int, known: int) -> None:
        super().__init__(f"record version {version} at byte {offset}; this program knows up to {known}")
        self.version = version
        self.offset = offset


# TS4xxx: membership


@register
class KeyFileError(ConfigError):
    """The fleet's key file can't be used."""

    code = "TS4001"
    meaning = "The fleet's key file can't be read, has the wrong size, or is accessible to other users."
    remedy = "Create it with `head -c 32 /dev/urandom > fleet.key` and `chmod 600 fleet.key`; all members share it."


@register
class DuplicateNameError(ThornshelfError):
    """A process that was started later uses this member's name."""

    code = "TS4002"
    meaning = (
        "Two live processes use the same name in the fleet; this one started earlier and has stopped sending."
    )
    remedy = "Give each process a name of its own (LB_NAME), and restart this one; until then it runs without peers."


class RejectedDatagramError(ThornshelfError):
    """A datagram was rejected; ``reason`` is the name of the counter that counts it."""

    reason: ClassVar[str] = ""


@register
class TruncatedDatagramError(RejectedDatagramError):
    """A datagram is shorter than its header, or was truncated."""

    code = "TS4010"
    reason = "truncated"
    meaning = "A datagram was truncated, or is not one of this protocol."
    remedy = (
        "A few can be ignored. Many: another program sends to this port, or a link truncates datagrams of "
        "1,200 bytes."
    )


@register
class OversizedDatagramError(RejectedDatagramError):
    """A datagram exceeds the maximum size that members send."""

    code = "TS4011"
    reason = "oversized"
    meaning = "A datagram exceeds the maximum size that members send."
    remedy = "Find the other program that sends to this port; members never send more than 1,200 bytes."


@register
class ForeignDatagramError(RejectedDatagramError):
    """A datagram came from a member of another fleet."""

    code = "TS4012"
    reason = "foreign"
    meaning = "A datagram came from a member of another fleet."
    remedy = "Compare `fleet.name` and `fleet.seeds`: the sender's seeds include an address of this fleet."


@register
class UnsupportedDatagramVersionError(RejectedDatagramError):
    """A datagram has a protocol version that this program does not support."""

    code = "TS4013"
    reason = "newer"
    meaning = "A datagram has a newer protocol version than this program supports."
    remedy = "Upgrade this member; until then the two members do not see each other, and both keep serving."


@register
class ForgedDatagramError(RejectedDatagramError):
    """A datagram's authentication hash was not computed with the fleet's key."""

    code = "TS4014"
    reason = "forged"
    meaning = "A datagram's authentication hash was not computed with this fleet's key."
    remedy = "Compare the key files of the members; if they are equal, a process outside the fleet sends datagrams."


@register
class UnreadableDatagramError(RejectedDatagramError):
    """A datagram has a valid authentication hash but malformed content."""

    code = "TS4015"
    reason = "unreadable"
    meaning = "A datagram with a valid authentication hash has malformed content."
    remedy = "A member runs a modified program, or the key has leaked: create a new key."


@register
class ReplayedDatagramError(RejectedDatagramError):
    """A datagram was received before, or was sent to a process that has ended."""

    code = "TS4016"
    reason = "replayed"
    meaning = "A datagram was received a second time, or was sent to a process that has ended."
    remedy = "A few are network duplicates, or follow a restart. Many: somebody replays recorded datagrams."


@register
class MemberTableFullError(RejectedDatagramError):
    """The member table is full."""

    code = "TS4017"
    reason = "no-room"
    meaning = "More members were reported than the member table holds; members seen directly take precedence."
    remedy = "Raise `fleet.most_members`, or find the member that reports members which do not exist."


# TS5xxx: the control socket and the shell


@register
class ControlSocketError(ConfigError):
    """The control socket can't be created at its path."""

    code = "TS5001"
    meaning = "The control socket can't be created: its directory is missing or open to others, or its path is taken."
    remedy = (
        "Choose a directory of the dispatcher's own user (`mkdir -m 700`) in which no other user may write."
    )


@register
class SocketInUseError(ControlSocketError):
    """Another process accepts connections at the control socket's path."""

    code = "TS5002"
    meaning = "Another live process accepts connections at the control socket's path."
    remedy = (
        "Give each process a socket of its own (`control.socket`), or stop the process that uses this one."
    )


@register
class ControlProtocolError(ThornshelfError):
    """A message on a control socket is malformed, or its receiver has stopped reading."""

    code = "TS5003"
    meaning = "A message on the control socket is malformed, or its receiver read nothing for too long."
    remedy = (
        "Only that connection was closed. Use a shell of this version, and check which process is connected."
    )


@register
class UnknownTableError(ThornshelfError):
    """A query names a table or a column that this dispatcher does not have."""

    code = "TS5004"
    meaning = "A query names a table or a column that this dispatcher does not have."
    remedy = "`.tables` and `.columns TABLE` list them; they depend on a member's version and its components."


@register
class TooManySessionsError(ThornshelfError):
    """More shells or queries are open than the dispatcher serves at a time."""

    code = "TS5005"
    meaning = "More shells or queries are open than the dispatcher serves at a time."
    remedy = "Close some of them, or raise `control.readers`."


@register
class DispatcherUnavailableError(ThornshelfError):
    """No dispatcher answers at a control socket, or the connection was lost."""

    code = "TS5006"
    meaning = "No dispatcher answers at this control socket, or the connection was lost during a reply."
    remedy = (
        "Check that it runs, that its operator's file has `control.socket`, and that you may read the socket."
    )


@register
class QueryError(ThornshelfError):
    """A query is not valid SQL, or would do more than read."""

    code = "TS5007"
    meaning = "The query is not a single SELECT statement that only reads the tables."
    remedy = "Correct what the message names; `.tables` lists the tables, `.queries` the saved queries."


@register
class QueryLimitError(ThornshelfError):
    """A query exceeded its limit of time or rows."""

    code = "TS5008"
    meaning = "The query took more time, or returned more rows, than its limits allow."
    remedy = (
        "Narrow the query (WHERE, LIMIT, fewer tables), or raise the limits with `--seconds` and `--rows`."
    )


# TS6xxx: capacity planning


@register
class CapacityError(ThornshelfError):
    """A scale run or its result file lacks the data for a figure."""

    code = "TS6001"
    meaning = "The scale run has too few data points for a figure, or its result file lacks data that the page shows."
    remedy = "Run `thornshelf lab scale` in full, and let it write the file and the page."


@register
class ResourceLimitError(ThornshelfError):
    """A scale run would exceed one of its own limits."""

    code = "TS6002"
    meaning = "The scale run would have exceeded its limit of memory, processes or time; it was stopped."
    remedy = "Run it on a machine with more memory, or with `--short`."


# TS9xxx: bugs in this program


@register
class InternalError(ThornshelfError):
    """A bug in this program."""

    code = "TS9001"
    meaning = "A bug in this program: one connection or one turn was lost, and the process continues."
    remedy = "Report it with the log line; restart the process if it happens repeatedly."


@register
class PlacementFaultError(ThornshelfError):
    """A bug in the decision module."""

    code = "TS9002"
    meaning = (
        "A bug in the decision module: the tasks of that turn are answered as failed by their deadlines."
    )
    remedy = "Report it with the log line."


def explain(code: str) -> str | None:
    """Returns the code, name, meaning and remedy of an error as text, or None if there is no such code."""
    error = ERRORS_BY_CODE.get(code.upper())
    if error is None:
        return None
    return f"{error.code} {error.__name__}\n{error.meaning}\nWhat to do: {error.remedy}"


def render_page() -> str:
    """Returns the content of docs/errors.md."""
    lines = [
        "# Errors",
        "",
        "Generated by `thornshelf explain --page` from `thornshelf/errors.py`; log lines carry the code.",
        "",
        "| code | error | what it means | what to do |",
        "| --- | --- | --- | --- |",
    ]
    for code, error in sorted(ERRORS_BY_CODE.items()):
        lines.append(f"| `{code}` | `{error.__name__}` | {error.meaning} | {error.remedy} |")
    return "\n".join(lines) + "\n"
