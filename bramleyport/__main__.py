"""Run the command line with `python -m bramleyport`."""

from bramleyport.cli import main

main()
