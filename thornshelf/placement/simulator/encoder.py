"""Encodes actions as lines of the simulator's wire."""

from __future__ import annotations

import base64

from thornshelf import placement as api
from thornshelf.placement.simulator.values import ABSENT

END_OF_REPLY = "DONE"
_ALL_PEERS = -1


def encode_action(instance: int, action: api.Action) -> str:
    """Return the line for an action of the placer with this number, without a line end."""
    match action:
        case api.StartAttempt(request_id, machine, timeout_s):
            return f"TRY\t{instance}\t{request_id}\t{_optional_seconds(timeout_s)}\t{machine}"
        case api.Reject(request_id, retry_after_s):
            return f"BOUNCE\t{instance}\t{request_id}\t{_optional_seconds(retry_after_s)}"
        case api.Fail(request_id):
            return f"RESPOND_ERROR\t{instance}\t{request_id}"
        case api.CancelAttempt(request_id, attempt):
            return f"STOP_ATTEMPT\t{instance}\t{request_id}\t{attempt}"
        case api.Migrate(request_id):
            return f"MOVE\t{instance}\t{request_id}"
        case api.CheckHealth(machine):
            return f"HEALTH_CHECK\t{instance}\t{machine}"
        case api.SetTimer(at, token):
            return f"REMIND\t{instance}\t{_seconds(at)}\t{token}"
        case api.SendGossip(peer, data):
            encoded = base64.b64encode(data).decode("ascii") or ABSENT
            return f"ANNOUNCE\t{instance}\t{_ALL_PEERS if peer is None else peer}\t{encoded}"
        case api.WatchEndpoints(enable):
            return f"WATCH\t{instance}\t{int(enable)}"
        case api.ReloadEndpoints():
            return f"RELOAD\t{instance}"
        case api.CloseIdleConnections(machine):
            return f"CLOSE_IDLE\t{instance}\t{machine}"
        case api.Log(text):
            return f"REMARK\t{instance}\t{_one_line(text)}"


def encode_exception(instance: int, error: Exception) -> str:
    """Return the line for an exception of the placer with this number, without a line end."""
    return f"INTERNAL_ERROR\t{instance}\t{_one_line(f'{type(error).__name__}: {error}')}"


def _seconds(value: float) -> str:
    return f"{value:.6f}".rstrip("0").rstrip(".")


def _optional_seconds(value: float | None) -> str:
    return ABSENT if value is None else _seconds(value)


def _one_line(text: str) -> str:
    return " ".join(text.split())
