"""The simulator's adapter: a transcript, malformed input, and the same actions under any hash seed."""

from __future__ import annotations

import os
import subprocess
import sys

import pytest

BORN = "\t".join(
    [
        "BORN\t3\t5138197539985895",
        "az=room-b",
        "categories.count=1",
        "categories.0.aim-s=0.7",
        "categories.0.deadline-s=6.0",
        "categories.0.dedup-window-s=5.0",
        "categories.0.effect=keyed",
        "categories.0.group=zone",
        "categories.0.name=keyed",
        "categories.0.worth=2.0",
        "family-info.ack=running",
        "family-info.admit-cores=2.0",
        "family-info.admit-memory=1.2",
        "family-info.class-kind=-1",
        "family-info.class-start-s=12.0",
        "family-info.cold-sends=106.0",
        "family-info.cores-by-kind=37,57",
        "family-info.size-memory=63.0,133.0",
        "family-info.spread-over=none",
        "family-info.quota-cores=",
        "a.key.from.later=7",
        "kinds=std-40,big-64",
        "limits.may-cancel=true",
        "limits.may-probe=true",
        "limits.send-cap=3",
        "me=0",
        "n-instances=3",
        "registry-mode=pushed",
        "report.columns=x0,x1",
        "report.via=answers",
        "rules.cold-from=0.23",
        "rules.cold-s=14.0",
        "rules.fall-s=2.0",
        "rules.tip-multiple=3.0",
        "tenants=",
        "tick-s=0.002",
        "zones=room-a,room-b",
    ]
)
ENDPOINT_LIST = (
    "ROSTER\t0\t2\nM\tU\tstd-40\troom-a\t3.5\t12\t1\t-\t51530247\t0\n"
    "M\tU\tstd-40\troom-b\t4.5\t12\t1.5\t6.1\t747639282\t0"
)
START = f"TICK\t6.2\n{BORN}\n{ENDPOINT_LIST}\nROSTER_CHANGE\t3\tC\t41\t0\nEOB\n"
SUBMIT = "SUBMIT\t3\t1564119492\tkeyed\t-\t4569004829183723\t0.24\t0.012\t4050608788307276\t2\t1.5\t1"


def run_simulator(text: str, seed: str = "0") -> subprocess.CompletedProcess[str]:
    """Run the adapter with the text as its input."""
    env = {**os.environ, "PYTHONHASHSEED": seed}
    command = [sys.executable, "-m", "thornshelf.placement.simulator"]
    return subprocess.run(command, input=text, capture_output=True, text=True, env=env, check=False)


def test_a_transcript_from_start_to_rejection() -> None:
    done = run_simulator(f"TICK\t6.1\nEOB\n{START}TICK\t8.41225\n{SUBMIT}\nEOB\n")
    assert done.returncode == 0
    assert done.stderr == ""
    replies = done.stdout.split("DONE\n")
    assert replies[0] == ""
    attempts = [line.split("\t") for line in replies[2].splitlines() if line.startswith("TRY")]
    assert len(attempts) == 1
    assert attempts[0][1:3] == ["3", "1564119492"]
    assert "REMIND\t3\t8.64825\t1564119492\n" in replies[2]
    host = attempts[0][4]
    end = f"TICK\t8.5\nRESULT\t3\t1564119492\t{host}\t1\t0\tF\t0\t0.02\t0.4,1.25\nEOB\n"
    other = ({"51530247", "747639282"} - {host}).pop()
    last = f"TICK\t8.6\nRESULT\t3\t1564119492\t{other}\t2\t0\tF\t1\t0.02\t-\nEOB\n"
    replies = run_simulator(f"{START}TICK\t8.41225\n{SUBMIT}\nEOB\n{end}{last}").stdout.split("DONE\n")
    assert f"\t{other}\n" in replies[2]
    assert "BOUNCE\t3\t1564119492\t-\n" in replies[3]


def test_every_event_is_decoded_and_a_shutdown_and_start_share_a_batch() -> None:
    running = "RUNNING\t3\t242166553\t-\t1\t747639282\t40506\t45690\tkeyed\t0.012\t2\t0.24\t1.5"
    lines = [
        running,
        "HINT_UPDATE\t3\t242166553\t747639282\t0.5\t2\t0",
        "PROBED\t3\t0.01\tS\t747639282\t4.2,8",
        "NOTE_FROM\t3\t1\taGkgNw==",
        "ACCEPTED\t3\t9\t747639282\t0.1\t0",
        "ABANDONED\t3\t9",
        "ALARM\t3\t77",
        "ROSTER_CHANGE\t3\tX\t0\t-",
        "RESULT\t3\t242166553\t747639282\t-\t1\tS\t0\t0.0185\t0.4,1.25",
        "SHUTDOWN\t3",
        "ALARM\t3\t78",
        BORN,
        "ROSTER_CHANGE\t3\tC\t41\t0",
        SUBMIT,
    ]
    done = run_simulator(START + "TICK\t9\n" + "\n".join(lines) + "\nEOB\n")
    assert done.returncode == 0
    assert done.stdout.count("DONE\n") == 2
    assert done.stdout.count("TRY\t") == 1
    assert "INTERNAL_ERROR" not in done.stdout


@pytest.mark.parametrize(
    ("line", "error"),
    [
        ("WHAT\t3", "message is not known"),
        ("ALARM\t3", "ALARM has 1 values where 2 are expected"),
        ("ALARM\t3\tsoon", "nonce is not a whole number"),
        ("ALARM\t8\t77", "instance was never started: 8"),
        ("ROSTER_CHANGE\t3\tD\t41\t9", "list number was never given: 9"),
        ("ROSTER\t16\t0", "list number is above 15"),
        ("PROBED\t3\tnan\tS\t1\t-", "lag-s is not finite"),
        ("PROBED\t3\t0.1\tQ\t1\t-", "state-code is not known"),
        ("PROBED\t3\t0.1\tS\t1\t4.2", "a report of 1 values where 2 are declared"),
        ("NOTE_FROM\t3\t1\t@@", "raw is not base64"),
        (SUBMIT.replace("keyed", "other"), "class is not known"),
        (BORN.replace("me=0", "you=0"), "setting missing: me"),
    ],
)
def test_malformed_input_ends_with_one_error_line(line: str, error: str) -> None:
    done = run_simulator(f"{START}TICK\t9\n{line}\nEOB\n")
    assert done.returncode not in (0, None)
    number = START.count("\n") + 2
    assert done.stderr.startswith(f"thornshelf: line {number}: ")
    assert error in done.stderr
    assert done.stderr.count("\n") == 1


def test_input_that_ends_within_a_batch_is_an_error() -> None:
    done = run_simulator(START + "TICK\t9\n")
    assert done.returncode != 0
    assert "ends within a batch" in done.stderr


def test_the_same_actions_under_any_hash_seed() -> None:
    requests = "\n".join(
        SUBMIT.replace("1564119492", str(n)).replace("405060878830", f"40506087{n}") for n in range(40)
    )
    text = f"{START}TICK\t8.5\n{requests}\nEOB\n"
    assert len({run_simulator(text, seed).stdout for seed in ("0", "1", "4711")}) == 1
