"""A replica is lost, the other one is deaf for some seconds, and hosts restart in turn:
is a replica promoted that lacks an acknowledged commit?"""

import asyncio
import os
import pathlib
import random
import shutil
import signal
import sys
import tempfile

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin"))
sys.dont_write_bytecode = True
import standin  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# ODD makes the clients write texts of any bytes, TWICE is the share of answers that come twice.
ODD, TWICE = os.environ.get("ODD", "0") != "0", float(os.environ.get("TWICE", "0"))
LOAD_S, DEAF_AT_S, DEAF_FOR_S, GONE_AT_S, RESTARTS_AT_S, GAP_S = 20.0, 5.4, 6.5, 5.6, 6.0, 1.3
ZONES = ["cymru-a", "lloegr-a", "iwerddon-a"]
REGIONS = {"cymru-a": "cymru", "lloegr-a": "lloegr", "iwerddon-a": "iwerddon"}

acked = {}
counts = {}


def count(what):
    counts[what] = counts.get(what, 0) + 1


async def writer(record, name, hosts, end):
    """A client that writes and reads. Some of its sessions serve a single operation."""
    c = standin.Client(record, name)
    while standin.now() < end:
        try:
            if c.w is None:
                ready = [h for h in hosts if await h.is_ready()]
                if not ready:
                    await asyncio.sleep(0.2)
                    continue
                await c.connect(random.choice(ready).front, "job-card")
            if random.random() < 0.5:
                data = f"{name}x{c.n}" + (standin.odd_text() if ODD else "")
                code, _, _ = await c.query(f"WRITE card{random.randrange(50)}_6 {data}")
                if not code:
                    acked[data] = standin.now()
            else:
                code, _, _ = await c.query(f"READ card{random.randrange(50)}_6")
            if code:
                count(code)
            if random.random() < 0.5:
                c.close()
        except (standin.Closed, OSError, asyncio.TimeoutError):
            count("closed")
            await asyncio.sleep(0.2)
        await asyncio.sleep(standin.spread(0.1))
    c.close()


async def restart(record, h):
    """Stops a host as the platform does, and starts it again."""
    record.line(f"SIGTERM to {h.name}")
    h.signal(signal.SIGTERM)
    end = standin.now() + 6
    while h.process.poll() is None and standin.now() < end:
        await asyncio.sleep(0.05)
    h.kill()
    h.start()
    record.line(f"{h.name} starts again")


async def deaf_replica(record, d, group):
    record.line(f"{d.id} receives nothing from here")
    d.deaf = True
    await asyncio.sleep(DEAF_FOR_S)
    d.deaf = False
    record.line(f"{d.id} receives again")
    if d is not group.leader and d.paused <= d.term:
        group.follow(d)


async def trouble(record, group, hosts, began):
    """Plays the faults. Returns when all have ended."""
    near, far = group.databases[1], group.databases[2]
    await asyncio.sleep(began + DEAF_AT_S - standin.now())
    tasks = [asyncio.ensure_future(deaf_replica(record, far, group))]
    await asyncio.sleep(began + GONE_AT_S - standin.now())
    record.line(f"{near.id} is lost for good")
    tasks.append(asyncio.ensure_future(near.leave()))
    for i, h in enumerate(hosts):
        await asyncio.sleep(max(0, began + RESTARTS_AT_S + i * GAP_S - standin.now()))
        tasks.append(asyncio.ensure_future(restart(record, h)))
    await asyncio.gather(*tasks)


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
        store.put("op", "config", standin.config(3, [("job-card", "primary", group.name, 800, 1500)], [group]))
        for i in range(6):
            zone = ZONES[i % 3]
            h = standin.Host(directory, store.address, store.address, f"frontend-{zone}-{1 + i // 3}", f"127.0.{10 + i}.1", zone, REGIONS)
            hosts.append(h)
            h.start()
        for h in hosts:
            if not await standin.until(h.is_ready, 20):
                print("a host is not ready")
                return 2
        await asyncio.sleep(3)
        began = standin.now()
        tasks = [asyncio.ensure_future(writer(record, f"c{i}", hosts, began + LOAD_S)) for i in range(24)]
        if TROUBLE:
            tasks.append(asyncio.ensure_future(trouble(record, group, hosts, began)))
        await asyncio.gather(*tasks)
        await asyncio.sleep(2)
        broken = []
        for at, d, kept in group.led:
            broken += [f"{w}, acknowledged at {t:.4f}, isn't in the log of {d}, promoted at {at:.4f}" for w, t in acked.items() if t < at and w not in kept]
        for b in broken:
            record.line("BROKEN " + b)
        print(f"{len(broken)} of {len(acked)} acknowledged writes are missing after a promotion; term {group.term}; {counts}")
        if len(acked) < 20:
            return 2
        return 1 if broken else 0
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
