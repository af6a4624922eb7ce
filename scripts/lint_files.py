#!/usr/bin/env python3
"""Runs clang-tidy on sources and remembers those that it passed.

    lint_files.py BUILD_DIR FILE...

A file is passed over when clang-tidy of the same version found nothing in it with the same checks,
the same compiler flags and the same text, comments and included headers too. Findings are never
remembered. The folder `chicorylink-lint` in the user's cache holds one empty file a result.
"""

import concurrent.futures
import hashlib
import json
import os
import pathlib
import subprocess
import sys

LINTER = "clang-tidy"
PREPROCESSOR = "clang++"


def cache_folder():
    base = os.environ.get("XDG_CACHE_HOME") or pathlib.Path.home() / ".cache"
    return pathlib.Path(base) / "chicorylink-lint"


def flags_of(entry):
    """The compiler flags of an entry of compile_commands.json, without compiler and output."""
    words = entry["command"].split()
    flags = words[words.index(next(word for word in words if word.startswith("-"))):]
    kept = []
    skip = False
    for word in flags:
        if skip or word in ("-c", entry["file"]):
            skip = False
        elif word == "-o":
            skip = True
        else:
            kept.append(word)
    return kept


def key_of(settings, flags, text, root):
    """Names one state of a file; the checkout's own folder does not count."""
    digest = hashlib.sha256()
    for part in (settings, " ".join(flags), text):
        digest.update(part.replace(str(root), ".").encode())
        digest.update(b"\0")
    return digest.hexdigest()


def preprocess(entry, flags):
    """The text that the linter reads, with its comments; None when it can't be preprocessed."""
    done = subprocess.run([PREPROCESSOR, *flags, "-w", "-E", "-C", entry["file"]],
                          cwd=entry["directory"], capture_output=True, text=True, check=False)
    return done.stdout if done.returncode == 0 else None


def lint(entry, build, settings, root, passed):
    """Returns whether the file is clean, and what the linter said of it."""
    flags = flags_of(entry)
    text = preprocess(entry, flags)
    mark = None if text is None else passed / key_of(settings, flags, text, root)
    if mark is not None and mark.exists():
        return True, ""
    done = subprocess.run([LINTER, "-p", build, "--quiet", entry["file"]],
                          capture_output=True, text=True, check=False)
    if done.returncode == 0 and mark is not None:
        mark.touch()
    return done.returncode == 0, done.stdout if done.returncode == 0 else done.stdout + done.stderr


def main():
    build, files = sys.argv[1], sys.argv[2:]
    root = pathlib.Path.cwd()
    passed = cache_folder()
    passed.mkdir(parents=True, exist_ok=True)
    commands = json.loads((pathlib.Path(build) / "compile_commands.json").read_text())
    entries = {entry["file"]: entry for entry in commands}
    version = subprocess.run([LINTER, "--version"], capture_output=True, text=True, check=True)
    settings = version.stdout + (root / ".clang-tidy").read_text()
    unknown = [file for file in files if str(root / file) not in entries]
    for file in unknown:
        print(f"{file}: no compile command; is it part of the build?", file=sys.stderr)
    clean = not unknown
    with concurrent.futures.ThreadPoolExecutor(os.cpu_count()) as pool:
        runs = [pool.submit(lint, entries[str(root / file)], build, settings, root, passed)
                for file in files if file not in unknown]
        for run in concurrent.futures.as_completed(runs):
            is_clean, told = run.result()
            clean = clean and is_clean
            print(told, end="", file=sys.stdout if is_clean else sys.stderr)
    return 0 if clean else 1


if __name__ == "__main__":
    sys.exit(main())
