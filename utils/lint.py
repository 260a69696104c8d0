#!/usr/bin/env python3
"""Runs clang-tidy on files of a build, several at once. A file that was clean is not looked at again until its preprocessed
text, its compile command, .clang-tidy or clang-tidy itself changes, in any checkout of this user (~/.cache/eelgrasscleat/lint, or
below XDG_CACHE_HOME). Usage: utils/lint.py BUILD_DIR FILE..."""

import concurrent.futures
import hashlib
import json
import os
import pathlib
import shlex
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
STAMPS = pathlib.Path(os.environ.get("XDG_CACHE_HOME", pathlib.Path.home() / ".cache")) / "eelgrasscleat" / "lint"


def preprocessed(entry):
    """The text that the compiler sees, or None if it can't be had."""
    words = shlex.split(entry["command"])
    if words[0].endswith("ccache"):
        words = words[1:]
    words = words[:words.index("-o")] + words[words.index("-o") + 2:]
    words = [it for it in words if it not in ("-c", "-MD")] + ["-E", "-P"]
    done = subprocess.run(words, cwd=entry["directory"], capture_output=True, check=False)
    return done.stdout if done.returncode == 0 else None


def stamp_key(entry, text, common):
    """Identifies what clang-tidy looks at, regardless of where the checkout is."""
    root = str(ROOT).encode()  # In the command, and in the text by __FILE__.
    seen = (entry["command"].encode() + pathlib.Path(entry["file"]).read_bytes() + text).replace(root, b"")
    return hashlib.sha256(common + seen).hexdigest()


def lint(build, entry, common):
    """Returns what clang-tidy says against a file, or an empty text."""
    text = preprocessed(entry)
    stamp = None
    if text is not None:
        stamp = STAMPS / stamp_key(entry, text, common)
        if stamp.exists():
            return ""
    done = subprocess.run(["clang-tidy", "-p", str(build), "--quiet", entry["file"]], cwd=ROOT, capture_output=True,
                          text=True, check=False)
    if done.returncode != 0 or done.stdout.strip():
        return done.stdout or done.stderr or f"{entry['file']}: clang-tidy failed"
    if stamp:
        stamp.touch()
    return ""


def main():
    build = pathlib.Path(sys.argv[1]).resolve()
    STAMPS.mkdir(parents=True, exist_ok=True)
    entries = {it["file"]: it for it in json.loads((build / "compile_commands.json").read_text())}
    files = [str(ROOT / it) for it in sys.argv[2:]]
    missing = [it for it in files if it not in entries]
    if missing:
        print("not in the build:", *missing)
        return 1
    version = subprocess.run(["clang-tidy", "--version"], capture_output=True, check=True).stdout
    common = (ROOT / ".clang-tidy").read_bytes() + version
    failed = 0
    with concurrent.futures.ThreadPoolExecutor(os.cpu_count()) as pool:
        for said in pool.map(lambda it: lint(build, entries[it], common), files):
            if said:
                failed += 1
                print(said, flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
