"""The part that crashes workers is the fortieth of the prompt."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "lab2"))
sys.dont_write_bytecode = True

import parts

parts.run(before=0, between=38)
