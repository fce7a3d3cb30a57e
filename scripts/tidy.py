#!/usr/bin/env python3
"""Runs clang-tidy over the sources named on standard input, several at a time.

A source without findings is skipped while its text, its preprocessed text, its compile command, .clang-tidy and the version of
clang-tidy are unchanged, since the result would be the same. OLEANDERWICK_TIDY_CACHE is the folder of the cache; if it is empty,
nothing is cached.
"""
import concurrent.futures
import hashlib
import json
import os
import pathlib
import shlex
import subprocess
import sys


def preprocess(entry: dict) -> bytes:
    arguments = [argument for argument in shlex.split(entry["command"]) if argument != "ccache"]
    output = arguments.index("-o")
    arguments = arguments[:output] + arguments[output + 2:]
    arguments[arguments.index("-c")] = "-E"
    return subprocess.run([*arguments, "-P"], cwd=entry["directory"], check=True, capture_output=True).stdout


def main() -> int:
    build = pathlib.Path(sys.argv[1])
    root = pathlib.Path.cwd()
    entries = {entry["file"]: entry for entry in json.loads((build / "compile_commands.json").read_text())}
    default = pathlib.Path.home() / ".cache" / "oleanderwick-tidy"
    cache = os.environ.get("OLEANDERWICK_TIDY_CACHE", str(default))
    tool_identity = subprocess.run(["clang-tidy", "--version"], check=True, capture_output=True).stdout + (root / ".clang-tidy").read_bytes()

    def check(source: str) -> int:
        entry = entries.get(str(root / source))
        if entry is None:
            print(f"{source}: not checked, because it is not in compile_commands.json", flush=True)
            return 1
        stamp = None
        if cache:
            command = entry["command"].replace(str(root), "").replace("ccache ", "").encode()
            # The raw text is part of the key, because NOLINT comments are removed by the preprocessor.
            raw = (root / source).read_bytes()
            digest = hashlib.sha256(b"\0".join([tool_identity, command, raw, preprocess(entry)])).hexdigest()
            stamp = pathlib.Path(cache) / digest
            if stamp.exists():
                return 0
        result = subprocess.run(["clang-tidy", "-p", str(build), "--quiet", source], capture_output=True, text=True)
        if result.returncode != 0:
            print(result.stdout, flush=True)
        elif stamp is not None:
            stamp.parent.mkdir(parents=True, exist_ok=True)
            stamp.touch()
        return result.returncode

    with concurrent.futures.ThreadPoolExecutor(os.cpu_count()) as pool:
        results = list(pool.map(check, sys.stdin.read().split()))
    print(f"clang-tidy: {results.count(0)} of {len(results)} sources are clean")
    return 1 if any(results) else 0


if __name__ == "__main__":
    sys.exit(main())
