"""Print the catalogue of log events as a Markdown page."""

import sys

from bramleyport.telemetry._catalogue import render_catalogue

if __name__ == "__main__":
    sys.stdout.write(render_catalogue())
