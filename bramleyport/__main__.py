"""Run the command line with `python -m bramleyport`."""

import signal
import sys

if sys.argv[1:2] == ["gateway"]:
    # The platform may say that the settings have changed before the gateway has read
    # them. By default the signal would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from bramleyport.cli import main

main()
