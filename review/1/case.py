"""A primary loses answers: does a statement run inside another client's transaction?"""

import asyncio
import os
import pathlib
import random
import shutil
import sys
import tempfile

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin"))
sys.dont_write_bytecode = True
import standin  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# ODD makes the clients write texts of any bytes, TWICE is the share of answers that come twice.
ODD, TWICE = os.environ.get("ODD", "0") != "0", float(os.environ.get("TWICE", "0"))
LOAD_S, LOST_AT_S, LOST_FOR_S, LOST_X = 60.0, (5.0, 14.0, 23.0, 32.0, 41.0, 50.0), 2.5, 0.2
ZONES = ["cymru-a", "lloegr-a", "iwerddon-a"]
REGIONS = {"cymru-a": "cymru", "lloegr-a": "lloegr", "iwerddon-a": "iwerddon"}

acked_writes = {}
counts = {}


def count(what):
    counts[what] = counts.get(what, 0) + 1


async def session(record, name, address, database, end, operation, pause):
    """A client that repeats an operation and reconnects after a failure."""
    c = standin.Client(record, name)
    while standin.now() < end:
        try:
            if c.w is None:
                await c.connect(address, database)
            await operation(c)
            if c.state != "I":
                c.close()
        except (standin.Closed, OSError, asyncio.TimeoutError):
            count("closed")
            await asyncio.sleep(0.2)
        await asyncio.sleep(standin.spread(pause))
    c.close()


async def read_transaction(c, statements, read, pause):
    """A plain transaction that only reads, with pauses between its statements."""
    for text in ["BEGIN"] + [read] * statements + ["COMMIT"]:
        code, _, _ = await c.query(text)
        if code:
            count(f"{c.name[0]} {text.split()[0]} {code}")
            return
        await asyncio.sleep(standin.spread(pause))


async def proof_view(c):
    """Long reads (the site's sheet has up to 220 ms for one)."""
    await read_transaction(c, 8, "READ proof_30", 0.1)


async def job_card(c):
    """A quarter are transactions that only read; of the single statements 20% write."""
    if random.random() < 0.25:
        await read_transaction(c, 1, f"READ card{random.randrange(50)}_6", 0.6)
        return
    if random.random() < 0.2:
        data = f"{c.name}x{c.n}" + (standin.odd_text() if ODD else "")
        code, _, digest = await c.query(f"WRITE card{random.randrange(50)}_6 {data}")
        if not code:
            acked_writes[data] = digest
    else:
        code, _, _ = await c.query(f"READ card{random.randrange(50)}_6")
    if code:
        count(f"single statement {code}")


async def main():
    record = standin.Record(HERE / "record.txt")
    directory = tempfile.mkdtemp()
    hosts = []
    try:
        store = standin.Store(record)
        await store.start()
        group = standin.Group(store, "die-ledger", ZONES)
        await group.start()
        for d in group.databases:
            d.twice = TWICE
        store.on_promote = group.promote
        store.put("op", "config", standin.config(3, [
            ("job-card", "primary", group.name, 800, 1500),
            ("proof-view", "bounded", group.name, 2000, 1500),
        ], [group]))
        for i, zone in enumerate(ZONES):
            h = standin.Host(directory, store.address, store.address, f"frontend-{zone}-1", f"127.0.{10 + i}.1", zone, REGIONS)
            hosts.append(h)
            h.start()
        for h in hosts:
            if not await standin.until(h.is_ready, 20):
                print("a host is not ready")
                return 2
        await asyncio.sleep(3)
        front, end = hosts[0].front, standin.now() + LOAD_S
        tasks = []
        for letter, n, database, operation, pause in (
            ("p", 14, "proof-view", proof_view, 0.2), ("j", 36, "job-card", job_card, 0.2),
        ):
            tasks += [asyncio.ensure_future(session(record, f"{letter}{i}", front, database, end, operation, pause)) for i in range(n)]
        began = end - LOAD_S
        for at in LOST_AT_S if TROUBLE else ():
            await asyncio.sleep(began + at - standin.now())
            d = group.leader
            record.line(f"{d.id} loses {LOST_X} of its answers from here")
            d.lost = LOST_X
            await asyncio.sleep(LOST_FOR_S)
            d.lost = 0.0
            record.line(f"{d.id} loses no more answers")
        await asyncio.gather(*tasks)
        await asyncio.sleep(2)
        violations = [v for d in group.databases for v in d.violations]
        kept = {e[2] for e in group.leader.log}
        missing = [w for w in acked_writes if w not in kept]
        for v in violations:
            record.line("BROKEN " + v)
        for w in missing:
            record.line(f"acknowledged write {w} ({acked_writes[w]}) isn't in the log")
        print(f"{len(violations)} statements ran inside another client's transaction; {len(missing)} of {len(acked_writes)} acknowledged writes are not in the log; term {group.term}; {counts}")
        if len(acked_writes) < 20:
            return 2
        return 1 if violations else 0
    finally:
        for h in hosts:
            h.kill()
        record.close()
        if os.environ.get("KEEP"):
            shutil.copytree(directory, os.environ["KEEP"], dirs_exist_ok=True)
        shutil.rmtree(directory)


try:
    rc = asyncio.run(main())
except Exception as e:  # the case couldn't run
    print("failed:", repr(e))
    rc = 2
sys.exit(rc)
