#!/usr/bin/env python3
"""Plays small days of the bench on many seeds and prints them as a table (docs/results.md).

    tools/plays.py BENCH SITE --kinds roll+mass,split+mass --seeds 1-10 [--nodes 30] [--jobs 5] [--keep DIR]

BENCH is the bench's program, SITE its site file. Each worker has a clone of the committed tree beside the build of this
one, so that days don't share an index; what the bench writes to its journal is brought back as written. DIR keeps the
report of each day, and the logs of those that break a rule.
"""
import argparse, json, pathlib, queue, shutil, subprocess, sys, tempfile, threading

ROOT = pathlib.Path(__file__).resolve().parent.parent


def numbers(text):
    for part in text.split(","):
        first, _, last = part.partition("-")
        yield from range(int(first), int(last or first) + 1)


def clone(folder):
    subprocess.run(["git", "clone", "-q", "--local", str(ROOT), str(folder)], check=True)
    build = folder / "target" / "release"
    build.mkdir(parents=True)
    for name in ("reedring", "reedring-bench-adapter"):
        shutil.copy2(ROOT / "target" / "release" / name, build / name)


def row(day):
    got, real = day["row"], day["real"]["seen"]
    broken = {rule: count for rule, count in got["rules"].items() if count}
    said = day.get("fault") or " ".join(f"{rule} {count}" for rule, count in broken.items())
    late = max(real["restart_s"], default=0)
    gate = got.get("gate") or "passed"
    gone = "/".join(str(part) for part in real.get("gone_waiting", []))
    return (f"{got['name']} | {got['seed']} | {said or 'none'} | {got['served']:.3f} of {got['served_least']:.3f} "
            f"| {late:.1f} s | {gone} | {gate} | {got['score']:.2f}"), bool(said) or gate != "passed"


def main():
    ask = argparse.ArgumentParser()
    ask.add_argument("bench")
    ask.add_argument("site")
    ask.add_argument("--kinds", default="roll+mass,split+mass,join+mass")
    ask.add_argument("--seeds", default="1-10")
    ask.add_argument("--nodes", default="30")
    ask.add_argument("--jobs", type=int, default=5)
    ask.add_argument("--keep", default="found/plays")
    told = ask.parse_args()
    bench, site = (str(pathlib.Path(path).resolve()) for path in (told.bench, told.site))
    keep = pathlib.Path(told.keep).resolve()
    keep.mkdir(parents=True, exist_ok=True)
    todo = queue.Queue()
    for seed in numbers(told.seeds):
        for kind in told.kinds.split(","):
            todo.put((kind, seed))
    rows, lock = {}, threading.Lock()

    def work(folder):
        clone(folder)
        while True:
            try:
                kind, seed = todo.get_nowait()
            except queue.Empty:
                break
            report, logs = keep / f"{kind}-{seed}.json", keep / f"{kind}-{seed}"
            command = [bench, site, "--rough", kind, "--seed", str(seed), "--nodes", told.nodes, "--no-build",
                       "--json", str(report), "--logs", str(logs)]
            run = subprocess.run(command, cwd=folder, capture_output=True, text=True)
            try:
                line, bad = row(json.loads(report.read_text()))
            except (OSError, ValueError, KeyError) as error:
                line, bad = f"{kind} | {seed} | not played: {error}: {run.stderr[-200:]!r} | | | | |", True
            if not bad:
                shutil.rmtree(logs, ignore_errors=True)
            with lock:
                rows[(kind, seed)] = (line, bad)
                print(f"| {line} |", flush=True)
        for entry in (folder / "journal").iterdir():
            if entry.is_file() and not (ROOT / "journal" / entry.name).exists():
                shutil.copy2(entry, ROOT / "journal" / entry.name)
        shutil.copytree(folder / "journal" / "blobs", ROOT / "journal" / "blobs", dirs_exist_ok=True)

    print("| day | seed | broken | served | ready | gone | gate | score |\n| --- | --- | --- | --- | --- | --- | --- | --- |")
    with tempfile.TemporaryDirectory() as place:
        workers = [threading.Thread(target=work, args=(pathlib.Path(place) / str(n),)) for n in range(told.jobs)]
        for worker in workers:
            worker.start()
        for worker in workers:
            worker.join()
    bad = sum(bad for _, bad in rows.values())
    print(f"{len(rows)} plays, {bad} failed")
    sys.exit(1 if bad else 0)


if __name__ == "__main__":
    main()
