"""Build the zipapp with `python -m bramleyport.packaging FILE`."""

import sys
from pathlib import Path

from bramleyport.packaging._zipapp import build_zipapp

if __name__ == "__main__":
    target = Path(sys.argv[1])
    build_zipapp(target)
    print(f"{target}: {target.stat().st_size} bytes")
