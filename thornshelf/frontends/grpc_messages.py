"""Encodes and decodes the messages of both generations of the clients' gRPC interface.

Each codec encodes what its generation has fields for, and leaves out the rest.
"""

from __future__ import annotations

from typing import Any, ClassVar

from thornshelf.core import AnswerMetadata
from thornshelf.placement import Outcome, Reason
from thornshelf.translation.failures import FailureCause, FailureReason, WireFormat
from thornshelf.wire import placement_pb2, placement_v2_pb2

pb: Any = placement_pb2  # enum values are passed as numbers, which the generated types do not allow
pb2: Any = placement_v2_pb2
MAY_HAVE_RUN_TEXT = "it may have run"
_OUTCOMES = {Outcome.OK: pb.ENDED, Outcome.CANCELLED: pb.CANCELLED}  # any other outcome: RESET


def _retry_after_ms(retry_after_us: int | None) -> int | None:
    """Return whole milliseconds, at least one; None if the client may retry at once."""
    return max(1, retry_after_us // 1000) if retry_after_us else None


class GrpcCodecV1:
    """The codec of thornshelf.v1, whose numbers of outcomes and reasons are the same in v2.

    The encoding methods return a protobuf message.
    """

    wire_format: ClassVar[WireFormat] = WireFormat.GRPC_V1
    service_path: ClassVar[str] = "/thornshelf.v1.Placement/"
    client_message_type: ClassVar[Any] = pb.ClientMessage
    task_request_type: ClassVar[Any] = pb.Ask
    check_request_type: ClassVar[Any] = pb.CheckRequest
    check_reply_type: ClassVar[Any] = pb.CheckReply
    outcomes_in_messages = False  # a rejected or failed ``Place`` call ends with an error status

    def lifetime_hint_ms(self, request: Any) -> float | None:
        """Return the lifetime hint of a request in milliseconds; None if it has none."""
        return request.hint_ms if request.HasField("hint_ms") else None

    def encode_running(self, uid: int, description: bytes, metadata: AnswerMetadata | None) -> Any:
        """Encode that the task runs; v1 can't express the metadata."""
        return pb.Verdict(uid=uid, binding=pb.Binding(description=description))

    def encode_rejected(self, uid: int, retry_after_us: int | None, cause: FailureCause | None) -> Any:
        """Encode that the task did not run; v1 can't express the cause."""
        return pb.Verdict(uid=uid, refusal=pb.Refusal(wait_ms=_retry_after_ms(retry_after_us)))

    def encode_failed(self, uid: int, cause: FailureCause | None) -> Any:
        """Encode that the task failed, with the message of the cause."""
        return pb.Verdict(uid=uid, failure=pb.Failure(why=cause.message if cause else MAY_HAVE_RUN_TEXT))

    def encode_invalid_request(self, uid: int, text: str) -> Any:
        """Encode that the request was invalid."""
        return pb.Verdict(uid=uid, failure=pb.Failure(why=text))

    def encode_release(self, uid: int, outcome: Outcome, reason: Reason, cause: FailureCause | None) -> Any:
        """Encode that the task has ended; v1 can't express the cause."""
        release = pb.Release(outcome=_OUTCOMES.get(outcome, pb.RESET), reason=reason.value)
        return pb.Verdict(uid=uid, release=release)

    def encode_migrate(self, uid: int) -> Any:
        """Encode that the task was stopped and should be requested again."""
        return pb.Verdict(uid=uid, move=pb.Move())


class GrpcCodecV2(GrpcCodecV1):
    """The codec of thornshelf.v2."""

    wire_format = WireFormat.GRPC_V2
    service_path = "/thornshelf.v2.Placement/"
    client_message_type = pb2.ClientMessage
    task_request_type = pb2.Ask
    check_request_type = pb2.CheckRequest
    check_reply_type = pb2.CheckReply
    outcomes_in_messages = True

    def lifetime_hint_ms(self, request: Any) -> float | None:
        """Return the client's own lifetime hint in milliseconds; None if it has none or the hint was assumed."""
        return request.hint.ms if request.HasField("hint") and not request.hint.assumed else None

    def encode_running(self, uid: int, description: bytes, metadata: AnswerMetadata | None) -> Any:
        """Encode that the task runs, with the hint assumed for it and whether the request joined a running task."""
        binding = pb2.Binding(description=description)
        if metadata is not None:
            binding.joined = metadata.joined_running_task
            if metadata.assumed_hint is not None:
                binding.hint.ms = metadata.assumed_hint.duration_us / 1000.0
                binding.hint.assumed = metadata.assumed_hint.assumed
        return pb2.Verdict(uid=uid, binding=binding)

    def encode_rejected(self, uid: int, retry_after_us: int | None, cause: FailureCause | None) -> Any:
        """Encode that the task did not run, with the cause and advice on retries."""
        refusal = pb2.Refusal(wait_ms=_retry_after_ms(retry_after_us))
        if cause is not None:
            refusal.reason = int(cause.reason)
            refusal.text = cause.text
            refusal.advice = int(cause.advice)
        return pb2.Verdict(uid=uid, refusal=refusal)

    def encode_failed(self, uid: int, cause: FailureCause | None) -> Any:
        """Encode that the task failed, with the cause."""
        reason = cause.reason if cause is not None else FailureReason.UNTOLD
        text = cause.text if cause is not None else MAY_HAVE_RUN_TEXT
        return pb2.Verdict(uid=uid, failure=pb2.Failure(reason=int(reason), text=text))

    def encode_invalid_request(self, uid: int, text: str) -> Any:
        """Encode that the request was invalid."""
        return pb2.Verdict(uid=uid, failure=pb2.Failure(text=text))

    def encode_release(self, uid: int, outcome: Outcome, reason: Reason, cause: FailureCause | None) -> Any:
        """Encode that the task has ended, with the cause."""
        number = int(cause.reason) if cause is not None else reason.value
        release = pb2.Release(
            outcome=int(_OUTCOMES.get(outcome, pb.RESET)),
            reason=number,
            text=cause.text if cause is not None else "",
        )
        return pb2.Verdict(uid=uid, release=release)

    def encode_migrate(self, uid: int) -> Any:
        """Encode that the task was stopped and should be requested again."""
        return pb2.Verdict(uid=uid, move=pb2.Move())
