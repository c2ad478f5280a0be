"""Build of an executable zip file with bramleyport and its dependencies.

The file contains pure Python only, because compiled extensions can't be imported from a
zip file without writing them to disk, and hosts have no disks. Each module is stored
with its byte code, which the interpreter would otherwise compile at every start.
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
INCLUDED_SUFFIXES: Final = (".py", ".yaml", ".html", ".typed")
INCLUDED_METADATA: Final = ("METADATA", "entry_points.txt")
EXCLUDED_DIRECTORIES: Final = (
    "test",
    "tests",
    "conch",
    "words",
    "mail",
    "names",
    "trial",
)

MAIN_MODULE: Final = """\
import sys

sys.dont_write_bytecode = True

from bramleyport.cli import main

main()
"""

# Replaces orjson, a compiled library of which aioprometheus uses these functions.
ORJSON_MODULE: Final = '''\
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
    """Write the executable zip file to `target`."""
    target.parent.mkdir(parents=True, exist_ok=True)
    files: dict[str, bytes] = {
        "__main__.py": MAIN_MODULE.encode(),
        "orjson.py": ORJSON_MODULE.encode(),
        # `zope` is a namespace package, for which a zip file has no directory.
        "zope/__init__.py": b"",
    }
    root = Path(bramleyport.__file__).parent
    for path in sorted(root.rglob("*")):
        _add_file(files, Path("bramleyport") / path.relative_to(root), path)
    for name in DEPENDENCIES:
        for entry in importlib.metadata.files(name) or []:
            _add_file(files, Path(entry), Path(str(entry.locate())))
    with target.open("wb") as stream:
        stream.write(SHEBANG)
        with zipfile.ZipFile(stream, "w", zipfile.ZIP_DEFLATED) as archive:
            for name, content in sorted(files.items()):
                _write_module(archive, name, content)
    target.chmod(target.stat().st_mode | stat.S_IXUSR | stat.S_IXGRP | stat.S_IXOTH)


def _add_file(files: dict[str, bytes], name: Path, path: Path) -> None:
    if not path.is_file() or ".." in name.parts or "__pycache__" in name.parts:
        return
    if any(part in EXCLUDED_DIRECTORIES for part in name.parts[1:-1]):
        return
    if name.parts[0].endswith(".dist-info"):
        if name.name in INCLUDED_METADATA:
            files[name.as_posix()] = path.read_bytes()
        return
    if path.suffix in INCLUDED_SUFFIXES:
        files[name.as_posix()] = path.read_bytes()


def _write_module(archive: zipfile.ZipFile, name: str, content: bytes) -> None:
    # Fixed times make builds of the same sources identical.
    info = zipfile.ZipInfo(name, date_time=(2020, 1, 1, 0, 0, 0))
    info.compress_type = zipfile.ZIP_DEFLATED
    archive.writestr(info, content)
    if name.endswith(".py"):
        compiled = zipfile.ZipInfo(name + "c", date_time=info.date_time)
        compiled.compress_type = zipfile.ZIP_DEFLATED
        archive.writestr(compiled, _compile_module(name, content))


def _compile_module(name: str, content: bytes) -> bytes:
    with tempfile.TemporaryDirectory() as directory:
        source = Path(directory) / "module.py"
        source.write_bytes(content)
        compiled = py_compile.compile(
            str(source),
            cfile=str(source.with_suffix(".pyc")),
            dfile=name,
            doraise=True,
            invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
            # Docstrings of dependencies would take megabytes of memory in each process.
            # Those of bramleyport are the help texts of the command line.
            optimize=0 if name.startswith("bramleyport/") else 2,
        )
        assert compiled is not None
        return Path(compiled).read_bytes()
