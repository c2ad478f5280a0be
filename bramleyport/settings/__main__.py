"""Print the settings reference."""

import sys

from bramleyport.settings._reference import render_reference

if __name__ == "__main__":
    sys.stdout.write(render_reference())
