"""Turns the JSON report of a Google Benchmark program into one JSON line a figure."""

import json
import sys

SKIPPED_FIELDS = {"family_index", "per_family_instance_index", "run_type", "repetition_index",
                  "repetitions", "threads", "run_name"}


def main() -> None:
    program = sys.argv[1]
    report = json.load(sys.stdin)
    for row in report["benchmarks"]:
        line = {"program": program}
        line.update({name: value for name, value in row.items() if name not in SKIPPED_FIELDS})
        print(json.dumps(line))


main()
