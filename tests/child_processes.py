"""End the processes that tests start, however the tests themselves end."""

import ctypes
import signal

# From <sys/prctl.h>.
PR_SET_PDEATHSIG = 1

_libc = ctypes.CDLL(None, use_errno=True)


def end_with_parent() -> None:
    """Have the kernel kill this process once its parent has ended; for `preexec_fn`."""
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
