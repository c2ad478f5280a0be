"""Pack bramleyport and its dependencies into one executable file.

The file holds pure Python only: compiled extensions can't be imported from a zip file
without writing them to disk, and hosts have no disks. Each module is packed with its
byte code, which the interpreter would otherwise compile at every start.
"""

import importlib.metadata
import py_compile
import stat
import tempfile
import zipfile
from pathlib import Path
from typing import Final

import bramleyport

DEPENDENCIES: Final = (
    "aioprometheus",
    "attrs",
    "Automat",
    "cattrs",
    "cbor2",
    "click",
    "constantly",
    "hyperlink",
    "idna",
    "Incremental",
    "klein",
    "loguru",
    "MarkupSafe",
    "multipart",
    "packaging",
    "PyYAML",
    "quantile-python",
    "result",
    "sortedcontainers",
    "treq",
    "Tubes",
    "Twisted",
    "typing_extensions",
    "websockets",
    "Werkzeug",
    "zope.interface",
)

SHEBANG: Final = b"#!/usr/bin/env python3\n"
KEPT_SUFFIXES: Final = (".py", ".yaml", ".html", ".typed")
KEPT_METADATA: Final = ("METADATA", "entry_points.txt")
LEFT_OUT: Final = ("test", "tests", "conch", "words", "mail", "names", "trial")

MAIN: Final = """\
import sys

sys.dont_write_bytecode = True

from bramleyport.cli import main

main()
"""

# aioprometheus needs these few functions of a library that is compiled.
ORJSON: Final = '''\
"""The part of orjson that aioprometheus uses, on the standard library."""

import json

OPT_NON_STR_KEYS = 4
OPT_SORT_KEYS = 32


def dumps(value, default=None, option=None):
    """Return the value as compact JSON."""
    text = json.dumps(
        value,
        default=default,
        sort_keys=bool((option or 0) & OPT_SORT_KEYS),
        separators=(",", ":"),
        ensure_ascii=False,
    )
    return text.encode()


loads = json.loads
'''


def build_zipapp(target: Path) -> None:
    """Write the executable file."""
    target.parent.mkdir(parents=True, exist_ok=True)
    files: dict[str, bytes] = {
        "__main__.py": MAIN.encode(),
        "orjson.py": ORJSON.encode(),
        # A zip file holds no directory that could serve as a namespace package.
        "zope/__init__.py": b"",
    }
    root = Path(bramleyport.__file__).parent
    for path in sorted(root.rglob("*")):
        _add(files, Path("bramleyport") / path.relative_to(root), path)
    for name in DEPENDENCIES:
        for entry in importlib.metadata.files(name) or []:
            _add(files, Path(entry), Path(str(entry.locate())))
    with target.open("wb") as stream:
        stream.write(SHEBANG)
        with zipfile.ZipFile(stream, "w", zipfile.ZIP_DEFLATED) as archive:
            for name, content in sorted(files.items()):
                _write(archive, name, content)
    target.chmod(target.stat().st_mode | stat.S_IXUSR | stat.S_IXGRP | stat.S_IXOTH)


def _add(files: dict[str, bytes], name: Path, path: Path) -> None:
    if not path.is_file() or ".." in name.parts or "__pycache__" in name.parts:
        return
    if any(part in LEFT_OUT for part in name.parts[1:-1]):
        return
    if name.parts[0].endswith(".dist-info"):
        if name.name in KEPT_METADATA:
            files[name.as_posix()] = path.read_bytes()
        return
    if path.suffix in KEPT_SUFFIXES:
        files[name.as_posix()] = path.read_bytes()


def _write(archive: zipfile.ZipFile, name: str, content: bytes) -> None:
    # Fixed times make two builds of the same sources equal.
    info = zipfile.ZipInfo(name, date_time=(2020, 1, 1, 0, 0, 0))
    info.compress_type = zipfile.ZIP_DEFLATED
    archive.writestr(info, content)
    if name.endswith(".py"):
        compiled = zipfile.ZipInfo(name + "c", date_time=info.date_time)
        compiled.compress_type = zipfile.ZIP_DEFLATED
        archive.writestr(compiled, _compile(name, content))


def _compile(name: str, content: bytes) -> bytes:
    with tempfile.TemporaryDirectory() as directory:
        source = Path(directory) / "module.py"
        source.write_bytes(content)
        compiled = py_compile.compile(
            str(source),
            cfile=str(source.with_suffix(".pyc")),
            dfile=name,
            doraise=True,
            invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
            # The documentation strings of the dependencies take megabytes of memory
            # in each process; our own serve as the help texts of the command line.
            optimize=0 if name.startswith("bramleyport/") else 2,
        )
        assert compiled is not None
        return Path(compiled).read_bytes()
