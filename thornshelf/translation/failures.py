"""The words that all forms are translated through: forms, troubles and what each of them promises.

A trouble is why a task was refused, failed or ended. Its number is its number in ``thornshelf.v2``. What a form
has no word for becomes its one general answer with the same promise, and its text where the form has room. The
promise of a translated answer is never stronger than that of the original.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from thornshelf.placement.interface import Outcome, Reason

MAX_TEXT_CHARS = 200  # characters of a peer's text that are passed on


class WireFormat(enum.Enum):
    """A wire form. Clients speak LINES, V1 or V2; nodes speak MESSAGES, V1 or V2."""

    JSON_LINES = "json lines"
    BINARY = "binary messages"
    GRPC_V1 = "thornshelf.v1"
    GRPC_V2 = "thornshelf.v2"


CLIENT_FORMATS = (WireFormat.JSON_LINES, WireFormat.GRPC_V1, WireFormat.GRPC_V2)
NODE_FORMATS = (WireFormat.BINARY, WireFormat.GRPC_V1, WireFormat.GRPC_V2)
GENERATION = {WireFormat.JSON_LINES: 0, WireFormat.BINARY: 0, WireFormat.GRPC_V1: 1, WireFormat.GRPC_V2: 2}


class FailureReason(enum.IntEnum):
    """Why; numbered as in thornshelf.v2. Up to SENT_AWAY they are the decision module's reasons, too."""

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


LAST_V1_REASON = FailureReason.SENT_AWAY  # the forms of generations 0 and 1 have words up to this one


class ExecutionGuarantee(enum.IntEnum):
    """What an answer promises about the past; the larger, the stronger the promise."""

    MAY_HAVE_RUN = 0
    NEVER_RAN = 1


class RetryAdvice(enum.IntEnum):
    """What an answer says about coming again; numbered as in thornshelf.v2."""

    ANY = 0
    LATER = 1
    CHANGED = 2


@dataclass(frozen=True, slots=True)
class FailureCause:
    """What is known of the cause of a refusal, a failure or an end."""

    reason: FailureReason = FailureReason.UNTOLD
    text: str = ""
    advice: RetryAdvice = RetryAdvice.ANY

    @property
    def message(self) -> str:
        """In words, for forms without a field for the trouble."""
        name = self.reason.name.lower().replace("_", " ")
        return f"{name}: {self.text}" if self.text else name


def decode_reason(number: int) -> FailureReason:
    """A trouble by its number; one that a newer peer knows and this program does not is UNTOLD."""
    try:
        return FailureReason(number)
    except ValueError:
        return FailureReason.UNTOLD


def decode_advice(number: int) -> RetryAdvice:
    """Likewise; an unknown advice is the weakest one."""
    try:
        return RetryAdvice(number)
    except ValueError:
        return RetryAdvice.ANY


def sanitize_text(text: str) -> str:
    """A peer's text, short and without control characters."""
    return "".join(one if one.isprintable() else " " for one in text[:MAX_TEXT_CHARS])


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
    """A cause with the advice that goes with it, where its author gave none."""
    return FailureCause(reason, sanitize_text(text), advice or _DEFAULT_ADVICE.get(reason, RetryAdvice.ANY))


# What the decision module is told of a refusal by a trouble that it has no reason for. The task's own troubles say
# nothing about the node's room, so they must not shut the node to others: for the module that offer never left.
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
    """An end in the decision module's words, with the same promise about the past."""
    if reason <= LAST_V1_REASON:
        return outcome, Reason(int(reason))
    if outcome is Outcome.REFUSED:
        return _PLACEMENT_REJECTION[reason]
    return outcome, Reason.UNSPECIFIED


def execution_guarantee(outcome: Outcome) -> ExecutionGuarantee:
    """What the end of an attempt that was not answered promises about the past."""
    never = outcome in (Outcome.REFUSED, Outcome.NOT_CONNECTED, Outcome.NOT_SENT)
    return ExecutionGuarantee.NEVER_RAN if never else ExecutionGuarantee.MAY_HAVE_RUN


def to_v1_reason(reason: FailureReason) -> FailureReason:
    """The trouble in words of generations 0 and 1: their general one where they have none of their own."""
    return reason if reason <= LAST_V1_REASON else FailureReason.UNTOLD
