"""Guard against processes that outlive the tests that started them."""

import subprocess
import sys
import time
from pathlib import Path

END_LIMIT_S = 20.0
POLL_INTERVAL_S = 0.02
# Starts a child that would run on, and tells its identifier.
PARENT = """
import subprocess, sys
from tests.child_processes import end_with_parent
sleep = [sys.executable, "-c", "import time; time.sleep(600)"]
print(subprocess.Popen(sleep, preexec_fn=end_with_parent).pid, flush=True)
sys.stdin.read()
"""


def is_running(pid: int) -> bool:
    try:
        status = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return False
    return status.rpartition(")")[2].split()[0] != "Z"


# Guards against gateways of an interrupted run, which went on for hours and called the
# store at ports that other tests had got by then.
def test_process_ends_once_the_tests_that_started_it_are_killed() -> None:
    with subprocess.Popen(
        [sys.executable, "-c", PARENT],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    ) as parent:
        assert parent.stdout is not None
        child = int(parent.stdout.readline())
        assert is_running(child)
        parent.kill()
    deadline_s = time.monotonic() + END_LIMIT_S
    while is_running(child) and time.monotonic() < deadline_s:
        time.sleep(POLL_INTERVAL_S)
    assert not is_running(child)
