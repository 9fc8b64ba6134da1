"""All errors that an operator may see: one root, a stable code each, what it means, and what can be done about it.

``thornshelf explain CODE`` and ``docs/errors.md`` come from this table; log lines carry the code. Codes are never
given a second meaning: one that is no longer used stays taken.
"""

from __future__ import annotations

from typing import ClassVar


class ThornshelfError(Exception):
    """The root. ``code`` is stable, ``meaning`` and ``remedy`` are for operators."""

    code: ClassVar[str] = "TS0000"
    meaning: ClassVar[str] = "An error of this program."
    remedy: ClassVar[str] = "Look at the text that goes with it, and at the log lines before it."


ERRORS_BY_CODE: dict[str, type[ThornshelfError]] = {}


def register(error: type[ThornshelfError]) -> type[ThornshelfError]:
    """Take a class into the table."""
    assert error.code not in ERRORS_BY_CODE, error.code
    ERRORS_BY_CODE[error.code] = error
    return error


@register
class ConfigError(ThornshelfError):
    """A configuration that can't be used; the text names the key."""

    code = "TS1001"
    meaning = "A key of the configuration is missing or can't be used; the text names it."
    remedy = "Correct the key that the text names; `thornshelf check-config FILE` tries it without a start."


@register
class SchemaError(ThornshelfError):
    """A value that the schema does not allow; ``key`` is its dotted path."""

    code = "TS1002"
    meaning = "The operator's file holds a key or a value that its schema does not allow."
    remedy = "Compare the key with `thornshelf schema`; an unknown key is mostly a slip of the pen."

    def __init__(self, key: str, text: str) -> None:
        super().__init__(f"{key}: {text}" if key else text)
        self.key = key


@register
class InvalidParameterError(ThornshelfError, ValueError):
    """Figures that contradict each other or what a part can do."""

    code = "TS1003"
    meaning = "Figures given to a part of the program contradict each other or lie outside its range."
    remedy = "Correct the figures that the text names; the pages in docs/ give the range of each."


@register
class StartupError(ThornshelfError):
    """A dispatcher that did not come up."""

    code = "TS1004"
    meaning = "A dispatcher that was to be started did not become ready."
    remedy = "The text holds the end of its log: correct what its last line names."


@register
class WireError(ThornshelfError):
    """Input that its format does not allow.

    ``fatal`` tells that the framing is lost, so that the connection can't go on.
    ``uid`` names the task of a message whose frame could be read although its content could not.
    """

    code = "TS2001"
    meaning = "A client, a node or the change log sent what its format does not allow."
    remedy = "Nothing is to be done here: it cost that message or connection. Look at the sender named in the line."

    def __init__(self, text: str, *, fatal: bool = False, uid: int | None = None) -> None:
        super().__init__(text)
        self.fatal = fatal
        self.uid = uid


@register
class EntryTooLargeError(ThornshelfError, ValueError):
    """An entry of the record that is larger than a frame may be."""

    code = "TS3001"
    meaning = "An entry of the record would be larger than a frame may be."
    remedy = "Shorten what the entry names (a node's or tenant's name); a task's description is never in it."


@register
class UnsupportedVersionError(ThornshelfError):
    """A frame of a version that this program does not know: the record is not to be touched."""

    code = "TS3002"
    meaning = "The record was written by a newer version of the program."
    remedy = "Start the newer version again, or move the record away: the older one doesn't touch it."

    def __init__(self, version: int, offset: int, known: int) -> None:
        super().__init__(f"record version {version} at byte {offset}; this program knows up to {known}")
        self.version, self.offset = version, offset


@register
class KeyFileError(ConfigError):
    """The fleet's key can't be used."""

    code = "TS4001"
    meaning = "The fleet's key file can't be read, is too short, or may be read by others."
    remedy = "Make it with `head -c 32 /dev/urandom > fleet.key` and `chmod 600 fleet.key`, the same for all."


@register
class DuplicateNameError(ThornshelfError):
    """Another process goes by this member's name, and was started later."""

    code = "TS4002"
    meaning = (
        "Two live processes have one name in the fleet; this one was started earlier and has gone quiet."
    )
    remedy = (
        "Give each process a name of its own (LB_NAME), and start this one again; until then it serves alone."
    )


class RejectedDatagramError(ThornshelfError):
    """A datagram that is not taken; ``reason`` is the counter that it goes to."""

    reason: ClassVar[str] = ""


@register
class TruncatedDatagramError(RejectedDatagramError):
    """Shorter than its own head, or cut off."""

    code, reason = "TS4010", "truncated"
    meaning = "A datagram of the fleet was cut off, or is none."
    remedy = (
        "A few are noise. Many: something else sends to this port, or a link cuts datagrams of 1,200 bytes."
    )


@register
class OversizedDatagramError(RejectedDatagramError):
    """Longer than any that a member sends."""

    code, reason = "TS4011", "oversized"
    meaning = "A datagram of the fleet is longer than any that a member sends."
    remedy = "Find what else sends to this port; members never send more than 1,200 bytes."


@register
class ForeignDatagramError(RejectedDatagramError):
    """Of another fleet."""

    code, reason = "TS4012", "foreign"
    meaning = "A datagram came from a member of another fleet."
    remedy = "Compare `fleet.name` and `fleet.seeds`: its seeds hold an address of this one."


@register
class UnsupportedDatagramVersionError(RejectedDatagramError):
    """Of a version that this program does not know."""

    code, reason = "TS4013", "newer"
    meaning = "A datagram is of a newer version than this program knows."
    remedy = "Update this member; until then the two do not see each other, and both serve on."


@register
class ForgedDatagramError(RejectedDatagramError):
    """Its hash was not made with the fleet's key."""

    code, reason = "TS4014", "forged"
    meaning = "A datagram's hash was not made with this fleet's key."
    remedy = "Compare the key files of the members; where they agree, somebody sends what is not his."


@register
class UnreadableDatagramError(RejectedDatagramError):
    """Its hash is right, its content is not."""

    code, reason = "TS4015", "unreadable"
    meaning = "A datagram with the right hash has content that no member sends."
    remedy = "A member runs a changed program, or the key is in wrong hands: make a new key."


@register
class ReplayedDatagramError(RejectedDatagramError):
    """It came before, or was meant for a process that has ended."""

    code, reason = "TS4016", "replayed"
    meaning = "A datagram came a second time, or was meant for a process that has ended."
    remedy = (
        "A few are doubles of the network, or follow a restart. Many: somebody sends again what he has heard."
    )


@register
class MemberTableFullError(RejectedDatagramError):
    """There is no room for one more member."""

    code, reason = "TS4017", "no-room"
    meaning = "More members were named than the table holds; those that speak themselves go before hearsay."
    remedy = "Raise `fleet.most_members`, or find the member that names members which do not exist."


@register
class ControlSocketError(ConfigError):
    """The control socket can't be made where it was named."""

    code = "TS5001"
    meaning = (
        "The control socket can't be made: its place is missing, is no socket, or others may write there."
    )
    remedy = (
        "Name a place in a folder of the dispatcher's own user (`mkdir -m 700`); no other may write there."
    )


@register
class SocketInUseError(ControlSocketError):
    """Another process answers there."""

    code = "TS5002"
    meaning = "Another live process answers at the control socket's place."
    remedy = "Give each process a socket of its own (`control.socket`), or end the one that answers there."


@register
class ControlProtocolError(ThornshelfError):
    """What came on a control socket is no word of a shell, or of a dispatcher."""

    code = "TS5003"
    meaning = "What came on the control socket can't be read, or its reader took nothing for too long."
    remedy = "It cost that reader its connection and nothing else. Use a shell of this version; see who reads there."


@register
class UnknownTableError(ThornshelfError):
    """A table or a column that this dispatcher has not."""

    code = "TS5004"
    meaning = "A question names a table or a column that this dispatcher has not."
    remedy = (
        "`.tables` and `.columns TABLE` list them; members of other versions, or without a part, have others."
    )


@register
class TooManySessionsError(ThornshelfError):
    """Too many read at once."""

    code = "TS5005"
    meaning = "More shells, or questions, are open at once than the dispatcher serves."
    remedy = "End some of them, or raise `control.readers`."


@register
class DispatcherUnavailableError(ThornshelfError):
    """Nobody answers at a control socket, or it broke off."""

    code = "TS5006"
    meaning = "No dispatcher answers at this control socket, or it went away in the middle of an answer."
    remedy = (
        "Look whether it runs, whether its operator's file has `control.socket`, and whether you may read it."
    )


@register
class QueryError(ThornshelfError):
    """SQL that is none, or that would do more than read."""

    code = "TS5007"
    meaning = "The query is no SQL that only reads: one SELECT over the tables."
    remedy = "Correct it by what the text says; `.tables` lists the tables, `.queries` ready queries."


@register
class QueryLimitError(ThornshelfError):
    """A query that takes more time or more rows than is allowed."""

    code = "TS5008"
    meaning = "The query took more time, or gave more rows, than is allowed."
    remedy = "Ask for less (WHERE, LIMIT, fewer tables), or allow more with `--seconds` and `--rows`."


@register
class CapacityError(ThornshelfError):
    """A scale run, or the file that it writes, from which no figure can be worked out."""

    code = "TS6001"
    meaning = "The scale run has too few points for a figure, or its file does not hold what the page shows."
    remedy = "Run `thornshelf lab scale` in full, and let it write the file and the page."


@register
class ResourceLimitError(ThornshelfError):
    """A scale run that passed one of its own bounds."""

    code = "TS6002"
    meaning = "The scale run would take more memory, processes or time than it allows itself; it was ended."
    remedy = "Run it on a machine with more memory, or with `--short`."


@register
class InternalError(ThornshelfError):
    """A fault of the program itself."""

    code = "TS9001"
    meaning = "A fault of this program: it cost one connection or one turn, and the process went on."
    remedy = "Keep the line and report it; restart the process if it comes again and again."


@register
class PlacementFaultError(ThornshelfError):
    """A fault of the decision module."""

    code = "TS9002"
    meaning = "A fault of the decision module: the tasks of that moment are answered as failed in their time."
    remedy = "Keep the line and report it."


def explain(code: str) -> str | None:
    """What a code means and what can be done; None where no such code was ever given out."""
    error = ERRORS_BY_CODE.get(code.upper())
    if error is None:
        return None
    return f"{error.code} {error.__name__}\n{error.meaning}\nWhat to do: {error.remedy}"


def render_page() -> str:
    """docs/errors.md."""
    lines = [
        "# Errors",
        "",
        "Made by `thornshelf explain --page` from `thornshelf/errors.py`; log lines carry the code.",
        "",
    ]
    lines += ["| code | error | what it means | what to do |", "| --- | --- | --- | --- |"]
    for code, error in sorted(ERRORS_BY_CODE.items()):
        lines.append(f"| `{code}` | `{error.__name__}` | {error.meaning} | {error.remedy} |")
    return "\n".join(lines) + "\n"
