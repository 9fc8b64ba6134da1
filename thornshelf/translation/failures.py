"""Wire formats, and the failure causes that are translated between them.

A reason says why a task was rejected, failed or ended; its number is that of ``Reason`` in ``thornshelf.v2``. In a
format without a field for the reason, the general answer with the same execution guarantee is sent, with the reason
in its text if it has one. A translated answer never guarantees more than the original.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from thornshelf.placement import Outcome, Reason

MAX_TEXT_CHARS = 200  # longer texts of peers are truncated


class WireFormat(enum.Enum):
    """The encoding used on a connection. Clients use JSON_LINES or gRPC, nodes BINARY or gRPC.

    The values are shown to operators and appear in the names of counters.
    """

    JSON_LINES = "json lines"
    BINARY = "binary messages"
    GRPC_V1 = "thornshelf.v1"
    GRPC_V2 = "thornshelf.v2"


CLIENT_FORMATS = (WireFormat.JSON_LINES, WireFormat.GRPC_V1, WireFormat.GRPC_V2)
NODE_FORMATS = (WireFormat.BINARY, WireFormat.GRPC_V1, WireFormat.GRPC_V2)
GENERATION = {WireFormat.JSON_LINES: 0, WireFormat.BINARY: 0, WireFormat.GRPC_V1: 1, WireFormat.GRPC_V2: 2}


class FailureReason(enum.IntEnum):
    """Why a task was rejected, failed or ended.

    Names and numbers are those of ``Reason`` in ``thornshelf.v2``; the names also appear in the log and in texts that
    clients receive. Up to ``LAST_V1_REASON`` the numbers equal those of the placement module's ``Reason``.
    """

    UNTOLD = 0
    NO_CORES = 1
    NO_MEMORY = 2
    BACKLOG = 3
    UNFIT = 4
    EVICTED = 5
    PUSHED_OUT = 6
    SENT_AWAY = 7
    HINT_NEEDED = 8
    QUOTA = 9
    QUARANTINED = 10
    WRONG_GENERATION = 11
    LICENCE = 12
    IN_DOUBT = 13
    OVERLOADED = 14


LAST_V1_REASON = FailureReason.SENT_AWAY  # the last reason that formats of generations 0 and 1 can express


class ExecutionGuarantee(enum.IntEnum):
    """What an answer guarantees about the task's execution; a larger value is a stronger guarantee."""

    MAY_HAVE_RUN = 0
    NEVER_RAN = 1


class RetryAdvice(enum.IntEnum):
    """When a rejected request may be sent again. The numbers are those of ``Advice`` in ``thornshelf.v2``."""

    ANY = 0
    LATER = 1
    CHANGED = 2


@dataclass(frozen=True, slots=True)
class FailureCause:
    """Why a task was rejected, failed or ended, as far as it is known."""

    reason: FailureReason = FailureReason.UNTOLD
    text: str = ""
    advice: RetryAdvice = RetryAdvice.ANY

    @property
    def message(self) -> str:
        """The reason and the text as one string, for formats without a field for the reason."""
        name = self.reason.name.lower().replace("_", " ")
        return f"{name}: {self.text}" if self.text else name


def decode_reason(number: int) -> FailureReason:
    """Returns the reason with this number, or UNTOLD if only a newer generation defines it."""
    try:
        return FailureReason(number)
    except ValueError:
        return FailureReason.UNTOLD


def decode_advice(number: int) -> RetryAdvice:
    """Returns the advice with this number, or ANY if only a newer generation defines it."""
    try:
        return RetryAdvice(number)
    except ValueError:
        return RetryAdvice.ANY


def sanitize_text(text: str) -> str:
    """Truncate a peer's text to ``MAX_TEXT_CHARS``, and replace each unprintable character by a space."""
    return "".join(char if char.isprintable() else " " for char in text[:MAX_TEXT_CHARS])


_DEFAULT_ADVICE = {
    FailureReason.HINT_NEEDED: RetryAdvice.CHANGED,
    FailureReason.LICENCE: RetryAdvice.CHANGED,
    FailureReason.WRONG_GENERATION: RetryAdvice.CHANGED,
    FailureReason.QUOTA: RetryAdvice.LATER,
    FailureReason.QUARANTINED: RetryAdvice.LATER,
    FailureReason.IN_DOUBT: RetryAdvice.LATER,
    FailureReason.OVERLOADED: RetryAdvice.LATER,
}


def failure_cause(
    reason: FailureReason, text: str = "", advice: RetryAdvice = RetryAdvice.ANY
) -> FailureCause:
    """Returns a cause with a sanitized text; ``advice`` ANY is replaced by the default advice of the reason."""
    default_advice = _DEFAULT_ADVICE.get(reason, RetryAdvice.ANY)
    return FailureCause(reason, sanitize_text(text), advice or default_advice)


# How a rejection is reported to the placement module if it has no equivalent reason. A rejection that concerns only
# the task must not exclude the node for other tasks, so its attempt is reported as never sent.
_PLACEMENT_REJECTION = {
    FailureReason.HINT_NEEDED: (Outcome.NOT_SENT, Reason.UNSPECIFIED),
    FailureReason.QUOTA: (Outcome.NOT_SENT, Reason.UNSPECIFIED),
    FailureReason.LICENCE: (Outcome.NOT_SENT, Reason.UNSPECIFIED),
    FailureReason.WRONG_GENERATION: (Outcome.NOT_SENT, Reason.UNSPECIFIED),
    FailureReason.IN_DOUBT: (Outcome.NOT_SENT, Reason.UNSPECIFIED),
    FailureReason.OVERLOADED: (Outcome.REFUSED, Reason.QUEUE_FULL),
    FailureReason.QUARANTINED: (Outcome.REFUSED, Reason.NOT_SERVING),
}


def to_placement_outcome(outcome: Outcome, reason: FailureReason) -> tuple[Outcome, Reason]:
    """Returns the outcome and reason to report to the placement module; the execution guarantee stays the same."""
    if reason <= LAST_V1_REASON:
        return outcome, Reason(int(reason))
    if outcome is Outcome.REFUSED:
        return _PLACEMENT_REJECTION[reason]
    return outcome, Reason.UNSPECIFIED


def execution_guarantee(outcome: Outcome) -> ExecutionGuarantee:
    """Returns what the outcome of an attempt that reported no start guarantees about the task's execution."""
    never_ran = outcome in (Outcome.REFUSED, Outcome.NOT_CONNECTED, Outcome.NOT_SENT)
    return ExecutionGuarantee.NEVER_RAN if never_ran else ExecutionGuarantee.MAY_HAVE_RUN
