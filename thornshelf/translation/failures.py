"""Wire formats, and the failure causes that are translated between them.

A reason says why a task was rejected, failed or ended; its number is that of ``Reason`` in ``thornshelf.v2``. A
format without a field for a reason carries its general answer with the same execution guarantee, and the reason as
text where there is room for it. A translated answer never guarantees more than the original did.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from thornshelf.placement import Outcome, Reason

MAX_TEXT_CHARS = 200  # of a peer's text; the rest is cut off


class WireFormat(enum.Enum):
    """The encoding on a connection. Clients use JSON_LINES or gRPC, nodes BINARY or gRPC.

    The values are shown to operators and name log parameters.
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

    Names and numbers are those of ``Reason`` in ``thornshelf.v2``: the names appear in texts to clients and in the
    log. Up to ``LAST_V1_REASON`` the numbers are those of the placement module's ``Reason``, too.
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


LAST_V1_REASON = FailureReason.SENT_AWAY  # the last one that formats of generations 0 and 1 can express


class ExecutionGuarantee(enum.IntEnum):
    """What an answer guarantees about the task's execution; a larger value is a stronger guarantee."""

    MAY_HAVE_RUN = 0
    NEVER_RAN = 1


class RetryAdvice(enum.IntEnum):
    """When a rejected request may be sent again; numbered as ``Advice`` in ``thornshelf.v2``."""

    ANY = 0
    LATER = 1
    CHANGED = 2


@dataclass(frozen=True, slots=True)
class FailureCause:
    """The cause of a rejection, a failure or an end, as far as it is known."""

    reason: FailureReason = FailureReason.UNTOLD
    text: str = ""
    advice: RetryAdvice = RetryAdvice.ANY

    @property
    def message(self) -> str:
        """The reason and its text, for formats without a field for the reason."""
        name = self.reason.name.lower().replace("_", " ")
        return f"{name}: {self.text}" if self.text else name


def decode_reason(number: int) -> FailureReason:
    """The reason with a number; UNTOLD where only a newer generation knows the number."""
    try:
        return FailureReason(number)
    except ValueError:
        return FailureReason.UNTOLD


def decode_advice(number: int) -> RetryAdvice:
    """The advice with a number; the weakest one where only a newer generation knows the number."""
    try:
        return RetryAdvice(number)
    except ValueError:
        return RetryAdvice.ANY


def sanitize_text(text: str) -> str:
    """A peer's text, cut to ``MAX_TEXT_CHARS``, with a space in place of each unprintable character."""
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
    """A cause with a sanitized text; without advice it gets the default advice of its reason."""
    default_advice = _DEFAULT_ADVICE.get(reason, RetryAdvice.ANY)
    return FailureCause(reason, sanitize_text(text), advice or default_advice)


# What the placement module is notified of where it has no such reason. A reason that lies in the task itself says
# nothing about the node's capacity and must not exclude the node for other tasks: the attempt counts as never sent.
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
    """The outcome and reason to report to the placement module, with the same execution guarantee."""
    if reason <= LAST_V1_REASON:
        return outcome, Reason(int(reason))
    if outcome is Outcome.REFUSED:
        return _PLACEMENT_REJECTION[reason]
    return outcome, Reason.UNSPECIFIED


def execution_guarantee(outcome: Outcome) -> ExecutionGuarantee:
    """What the outcome of an attempt that did not start its task guarantees about its execution."""
    never_ran = outcome in (Outcome.REFUSED, Outcome.NOT_CONNECTED, Outcome.NOT_SENT)
    return ExecutionGuarantee.NEVER_RAN if never_ran else ExecutionGuarantee.MAY_HAVE_RUN
