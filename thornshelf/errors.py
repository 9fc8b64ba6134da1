"""All errors that an operator may see: one root, and for each a stable code, its meaning and a remedy.

``thornshelf explain CODE`` and ``docs/errors.md`` are generated from these classes, and log lines carry the code. A
code is never given a second meaning: one that is no longer used stays reserved.
"""

from __future__ import annotations

from typing import ClassVar


class ThornshelfError(Exception):
    """The root of all errors. ``code`` is stable, ``meaning`` and ``remedy`` are for operators."""

    code: ClassVar[str] = "TS0000"
    meaning: ClassVar[str] = "An error of this program."
    remedy: ClassVar[str] = "Read the text of the error and the log lines before it."


ERRORS_BY_CODE: dict[str, type[ThornshelfError]] = {}


def register(error: type[ThornshelfError]) -> type[ThornshelfError]:
    """Class decorator: list an error under its code."""
    assert error.code not in ERRORS_BY_CODE, error.code
    ERRORS_BY_CODE[error.code] = error
    return error


# Configuration and start-up: TS1


@register
class ConfigError(ThornshelfError):
    """A configuration that can't be used; the text names the key."""

    code = "TS1001"
    meaning = "A key of the configuration is missing or can't be used; the text names it."
    remedy = (
        "Correct the key that the text names; `thornshelf check-config FILE` checks a file without a start."
    )


@register
class SchemaError(ThornshelfError):
    """A value that the schema does not allow; ``key`` is its dotted path."""

    code = "TS1002"
    meaning = "The operator's file has a key or a value that its schema does not allow."
    remedy = "Compare the key with `thornshelf schema`; an unknown key is usually misspelt."

    def __init__(self, key: str, text: str) -> None:
        super().__init__(f"{key}: {text}" if key else text)
        self.key = key


@register
class InvalidParameterError(ThornshelfError, ValueError):
    """Parameters that contradict each other or lie outside a component's range."""

    code = "TS1003"
    meaning = "Parameters of a component contradict each other or lie outside its range."
    remedy = "Correct the parameters that the text names; the pages in docs/ give the range of each."


@register
class StartupError(ThornshelfError):
    """A dispatcher that did not become ready."""

    code = "TS1004"
    meaning = "A dispatcher was started and did not become ready."
    remedy = "The text has the end of its log: correct what its last line names."


# Wire formats: TS2


@register
class WireError(ThornshelfError):
    """Input that its format does not allow.

    ``fatal`` states that the framing is lost, so that the connection can't be used any more.
    ``uid`` is the task of a message whose frame could be read although its content could not.
    """

    code = "TS2001"
    meaning = "A client, a node or the change log sent what its format does not allow."
    remedy = "The message or its connection was dropped. Correct the sender that the log line names."

    def __init__(self, text: str, *, fatal: bool = False, uid: int | None = None) -> None:
        super().__init__(text)
        self.fatal = fatal
        self.uid = uid


# The write-ahead log: TS3


@register
class EntryTooLargeError(ThornshelfError, ValueError):
    """An entry of the write-ahead log that is larger than a frame may be."""

    code = "TS3001"
    meaning = "An entry of the write-ahead log would be larger than a frame may be."
    remedy = "Shorten what the entry names (a node's or tenant's name); it never has a task's description."


@register
class UnsupportedVersionError(ThornshelfError):
    """A frame of a version that this program does not know; the log must not be changed."""

    code = "TS3002"
    meaning = "The write-ahead log was written by a newer version of the program."
    remedy = "Start the newer version again, or move the file away; this version does not change it."

    def __init__(self, version: int, offset: int, known: int) -> None:
        super().__init__(f"record version {version} at byte {offset}; this program knows up to {known}")
        self.version = version
        self.offset = offset


# Membership: TS4


@register
class KeyFileError(ConfigError):
    """The fleet's key file can't be used."""

    code = "TS4001"
    meaning = "The fleet's key file can't be read, is too short, or may be read by others."
    remedy = "Create it with `head -c 32 /dev/urandom > fleet.key` and `chmod 600 fleet.key`; all members share it."


@register
class DuplicateNameError(ThornshelfError):
    """Another live process has this member's name, and was started later."""

    code = "TS4002"
    meaning = (
        "Two live processes have one name in the fleet; this one was started earlier and has become silent."
    )
    remedy = "Give each process a name of its own (LB_NAME), and restart this one; until then it runs without peers."


class RejectedDatagramError(ThornshelfError):
    """A datagram that was rejected; ``reason`` is the name of the counter for it."""

    reason: ClassVar[str] = ""


@register
class TruncatedDatagramError(RejectedDatagramError):
    """A datagram that is shorter than its header, or cut off."""

    code = "TS4010"
    reason = "truncated"
    meaning = "A datagram was cut off, or is not one of this protocol."
    remedy = (
        "A few are noise. Many: something else sends to this port, or a link cuts datagrams of 1,200 bytes."
    )


@register
class OversizedDatagramError(RejectedDatagramError):
    """A datagram that is longer than any that a member sends."""

    code = "TS4011"
    reason = "oversized"
    meaning = "A datagram is longer than any that a member sends."
    remedy = "Find what else sends to this port; members never send more than 1,200 bytes."


@register
class ForeignDatagramError(RejectedDatagramError):
    """A datagram of another fleet."""

    code = "TS4012"
    reason = "foreign"
    meaning = "A datagram came from a member of another fleet."
    remedy = "Compare `fleet.name` and `fleet.seeds`: the sender's seeds have an address of this fleet."


@register
class UnsupportedDatagramVersionError(RejectedDatagramError):
    """A datagram of a version that this program does not know."""

    code = "TS4013"
    reason = "newer"
    meaning = "A datagram is of a newer version than this program knows."
    remedy = "Upgrade this member; until then the two members do not see each other, and both keep serving."


@register
class ForgedDatagramError(RejectedDatagramError):
    """A datagram whose hash was not made with the fleet's key."""

    code = "TS4014"
    reason = "forged"
    meaning = "A datagram's hash was not made with this fleet's key."
    remedy = "Compare the key files of the members; if they are equal, a process outside the fleet sends datagrams."


@register
class UnreadableDatagramError(RejectedDatagramError):
    """A datagram whose hash is valid and whose content is not."""

    code = "TS4015"
    reason = "unreadable"
    meaning = "A datagram with a valid hash has content that no member sends."
    remedy = "A member runs a modified program, or the key has leaked: create a new key."


@register
class ReplayedDatagramError(RejectedDatagramError):
    """A datagram that came before, or was meant for a process that has ended."""

    code = "TS4016"
    reason = "replayed"
    meaning = "A datagram came a second time, or was meant for a process that has ended."
    remedy = (
        "A few are duplicates by the network, or follow a restart. Many: recorded datagrams are sent again."
    )


@register
class MemberTableFullError(RejectedDatagramError):
    """The member table has no capacity for one more member."""

    code = "TS4017"
    reason = "no-room"
    meaning = "More members were named than the member table holds; members seen directly take precedence."
    remedy = "Raise `fleet.most_members`, or find the member that names members which do not exist."


# The control socket and the shell: TS5


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
    """Another process answers at the control socket's path."""

    code = "TS5002"
    meaning = "Another live process answers at the control socket's path."
    remedy = "Give each process a socket of its own (`control.socket`), or end the one that answers there."


@register
class ControlProtocolError(ThornshelfError):
    """A message on a control socket that neither a shell nor a dispatcher sends."""

    code = "TS5003"
    meaning = "A message on the control socket can't be read, or its receiver read nothing for too long."
    remedy = "Only that connection was closed. Use a shell of this version, and find out which process reads there."


@register
class UnknownTableError(ThornshelfError):
    """A table or a column that this dispatcher does not have."""

    code = "TS5004"
    meaning = "A query names a table or a column that this dispatcher does not have."
    remedy = "`.tables` and `.columns TABLE` list them; they depend on a member's version and its components."


@register
class TooManySessionsError(ThornshelfError):
    """More shells or queries than the dispatcher serves at once."""

    code = "TS5005"
    meaning = "More shells, or queries, are open at once than the dispatcher serves."
    remedy = "End some of them, or raise `control.readers`."


@register
class DispatcherUnavailableError(ThornshelfError):
    """No dispatcher answers at a control socket, or the connection broke."""

    code = "TS5006"
    meaning = "No dispatcher answers at this control socket, or it went away in the middle of an answer."
    remedy = (
        "Check that it runs, that its operator's file has `control.socket`, and that you may read the socket."
    )


@register
class QueryError(ThornshelfError):
    """SQL that is not valid, or that would do more than read."""

    code = "TS5007"
    meaning = "The query is not one SELECT that only reads the tables."
    remedy = "Correct what the text names; `.tables` lists the tables, `.queries` the saved queries."


@register
class QueryLimitError(ThornshelfError):
    """A query that takes more time or gives more rows than is allowed."""

    code = "TS5008"
    meaning = "The query took more time, or gave more rows, than is allowed."
    remedy = "Query less (WHERE, LIMIT, fewer tables), or allow more with `--seconds` and `--rows`."


# Capacity planning: TS6


@register
class CapacityError(ThornshelfError):
    """A scale run, or the file that it writes, from which no figure can be computed."""

    code = "TS6001"
    meaning = "The scale run has too few points for a figure, or its file lacks what the page shows."
    remedy = "Run `thornshelf lab scale` in full, and let it write the file and the page."


@register
class ResourceLimitError(ThornshelfError):
    """A scale run that exceeded one of its own limits."""

    code = "TS6002"
    meaning = "The scale run would exceed its own limit of memory, processes or time; it was ended."
    remedy = "Run it on a machine with more memory, or with `--short`."


# Faults of the program: TS9


@register
class InternalError(ThornshelfError):
    """A fault of the program itself."""

    code = "TS9001"
    meaning = "A fault of this program: one connection or one turn was lost, and the process went on."
    remedy = "Keep the line and report it; restart the process if it happens repeatedly."


@register
class PlacementFaultError(ThornshelfError):
    """A fault of the decision module."""

    code = "TS9002"
    meaning = (
        "A fault of the decision module: the tasks of that turn are answered as failed by their deadlines."
    )
    remedy = "Keep the line and report it."


def explain(code: str) -> str | None:
    """The meaning and the remedy of a code; None if there is no such code."""
    error = ERRORS_BY_CODE.get(code.upper())
    if error is None:
        return None
    return f"{error.code} {error.__name__}\n{error.meaning}\nWhat to do: {error.remedy}"


def render_page() -> str:
    """The content of docs/errors.md."""
    lines = [
        "# Errors",
        "",
        "Made by `thornshelf explain --page` from `thornshelf/errors.py`; log lines carry the code.",
        "",
        "| code | error | what it means | what to do |",
        "| --- | --- | --- | --- |",
    ]
    for code, error in sorted(ERRORS_BY_CODE.items()):
        lines.append(f"| `{code}` | `{error.__name__}` | {error.meaning} | {error.remedy} |")
    return "\n".join(lines) + "\n"
