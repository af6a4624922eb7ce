#!/usr/bin/env python3
"""Plays the same days and seeds on two or more checkouts and compares the results in pairs.

One score is noise of 0.01 to 0.03 of worth; the mean of paired differences is not. Each checkout
is a folder of its own, in which the bench leaves its journal entries.

    compare_days.py --bench PATH --site SITE... --days quiet-1,trouble-1,mix --seeds 1-5 \\
        base=/path/to/checkout change=/path/to/other --why "round 3: ..."

The first checkout is the baseline. `--csv FILE` appends one row a play, and plays that the file
already holds are not played again.
"""

import argparse
import concurrent.futures
import csv
import json
import math
import pathlib
import subprocess
import sys
import tempfile

PLAY_LIMIT_S = 1800  # Several times the longest day of a deployment of 295 VMs.
T_QUANTILE = {1: 12.71, 2: 4.30, 3: 3.18, 4: 2.78, 5: 2.57, 6: 2.45, 7: 2.36, 8: 2.31, 9: 2.26,
              10: 2.23, 12: 2.18, 15: 2.13, 20: 2.09, 30: 2.04, 60: 2.00}
KEY = ("checkout", "site", "day", "seed")


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("checkouts", nargs="+", metavar="NAME=DIR")
    parser.add_argument("--bench", required=True)
    parser.add_argument("--site", action="append", required=True)
    parser.add_argument("--days", required=True, help="names, separated by commas")
    parser.add_argument("--seeds", default="1-5", help="numbers and ranges, separated by commas")
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--csv", required=True)
    parser.add_argument("--why", default="trial: paired days")
    return parser.parse_args()


def parse_seeds(text):
    seeds = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds.extend(range(int(first), int(last or first) + 1))
    return seeds


def play(bench, checkout, site, day, seed, why):
    """Plays one day; a play that gave no report is a row with an error, never a zero."""
    name, folder = checkout
    row = {"checkout": name, "site": pathlib.Path(site).stem, "day": day, "seed": seed}
    with tempfile.TemporaryDirectory() as scratch:
        report = pathlib.Path(scratch) / "report.json"
        command = [bench, "run", site, day, "--seed", str(seed), "--no-cpu", "--jobs", "1",
                   "--report", str(report), "--why", why]
        try:
            done = subprocess.run(command, cwd=folder, capture_output=True, text=True,
                                  timeout=PLAY_LIMIT_S, check=False)
        except subprocess.TimeoutExpired:
            return {**row, "error": f"no end after {PLAY_LIMIT_S} s"}
        if not report.exists():
            return {**row, "error": (done.stdout + done.stderr)[-300:]}
        told = json.loads(report.read_text())
    row.update(worth=told["G"], served=told["served"], refused=told["refused"],
               failed=told["failed"], broken=" ".join(told["breaks"]), fault=told["fault"] or "")
    row.update({part[0]: part[2] for part in told["parts"]})
    row.update({f"price: {price[0]}": price[2] for price in told["prices"]})
    return row


def load_rows(path):
    if not pathlib.Path(path).exists():
        return []
    with open(path, newline="", encoding="utf-8") as file:
        return list(csv.DictReader(file))


def save_rows(path, rows):
    columns = list(dict.fromkeys(column for row in rows for column in row))
    with open(path, "w", newline="", encoding="utf-8") as file:
        writer = csv.DictWriter(file, columns, restval="")
        writer.writeheader()
        writer.writerows(rows)


def interval(values):
    """Mean and half of its 95% interval by Student's t; no interval for one value."""
    mean = math.fsum(values) / len(values)
    if len(values) < 2:
        return mean, math.nan
    freedom = len(values) - 1
    variance = math.fsum((value - mean) ** 2 for value in values) / freedom
    quantile = T_QUANTILE[max(known for known in T_QUANTILE if known <= freedom)]
    return mean, quantile * math.sqrt(variance / len(values))


def print_comparison(rows, names):
    by_key = {tuple(str(row[column]) for column in KEY): row for row in rows}
    base = names[0]
    groups = sorted({(row["site"], row["day"]) for row in rows if row["checkout"] == base})
    sites = sorted({site for site, _ in groups})
    selections = [(f"{site} {day}", lambda k, s=site, d=day: k[1:3] == (s, d))
                  for site, day in groups]
    selections += [(f"{site} all", lambda k, s=site: k[1] == s) for site in sites]
    for label, selects in selections:
        keys = [key[1:] for key, row in by_key.items()
                if key[0] == base and selects(key) and not row.get("error")]
        values = [float(by_key[(base, *key)]["worth"]) for key in keys]
        if not values:
            continue
        mean, half = interval(values)
        line = f"{label:30} {base} {mean:.4f} (n {len(values)}, +-{half:.4f})"
        for name in names[1:]:
            pairs = [(by_key[(base, *key)], by_key[(name, *key)]) for key in keys
                     if (name, *key) in by_key and not by_key[(name, *key)].get("error")]
            if pairs:
                mean, half = interval([float(b["worth"]) - float(a["worth"]) for a, b in pairs])
                line += f" | {name} {mean:+.4f} +-{half:.4f} (n {len(pairs)})"
        print(line)
    for row in rows:
        if row.get("error") or row.get("broken") or row.get("fault"):
            print("NOT SOUND", {column: row.get(column)
                                for column in (*KEY, "broken", "fault", "error")})


def main():
    arguments = parse_arguments()
    checkouts = [tuple(text.split("=", 1)) for text in arguments.checkouts]
    rows = load_rows(arguments.csv)
    known = {tuple(str(row[column]) for column in KEY) for row in rows if not row.get("error")}
    wanted = [(checkout, site, day, seed)
              for seed in parse_seeds(arguments.seeds) for site in arguments.site
              for day in arguments.days.split(",") for checkout in checkouts
              if (checkout[0], pathlib.Path(site).stem, day, str(seed)) not in known]
    for _, folder in checkouts:
        subprocess.run([arguments.bench, "build"], cwd=folder, check=True, capture_output=True)
    with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
        plays = [pool.submit(play, arguments.bench, *plan, arguments.why) for plan in wanted]
        for done in concurrent.futures.as_completed(plays):
            rows.append(done.result())
            save_rows(arguments.csv, rows)
    print_comparison(rows, [name for name, _ in checkouts])
    return 1 if any(row.get("error") for row in rows) else 0


if __name__ == "__main__":
    sys.exit(main())
