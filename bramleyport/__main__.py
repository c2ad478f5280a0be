"""Entry point of `python -m bramleyport`."""

import signal
import sys

if sys.argv[1:2] == ["gateway"]:
    # The platform may signal changed settings before the gateway has installed its
    # handler, and the default action of SIGHUP ends the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from bramleyport.cli import main

main()
