"""Stand-ins of the platform's store, the databases and the clients, for the review's scripts.

Everything runs in one asyncio loop on loopback addresses. The entry hosts are the
project's own processes, started by Host. Where the pages are silent, a stand-in does
what a sound store, database or client does.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
BINARY = ROOT / "target" / "cumintrestle-entry"
BEGAN = time.monotonic()


started = []


def end_early(*_):
    """Ends the processes that the script started if the script is ended early."""
    for p in started:
        p.kill()
    os._exit(2)


signal.signal(signal.SIGTERM, end_early)


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - BEGAN


class Record:
    """The lines of record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def line(self, text):
        text = text.replace("\\", "\\\\").replace("\r", "\\r").replace("\n", "\\n")
        self.file.write(f"{now():9.4f} {text}\n")

    def close(self):
        self.file.close()


def free_port(ip):
    with socket.socket() as s:
        s.bind((ip, 0))
        return s.getsockname()[1]


# ODD_TEXTS are what a text may hold beside letters: any byte, but not the end of a line.
ODD_TEXTS = ["\r", "\n", "\n\r", "a\rb", " a  ", "\t", "\0", "\x7f", "\xff", "\xc3", "\xe2\x80\xa8", "'\"\\", "  "]


def odd_text():
    return random.choice(ODD_TEXTS)


def to_wire(text):
    """Returns the bytes of a text, in which each character is one byte."""
    return text.encode("latin-1")


async def read_line(r):
    """Reads a line, which ends at CR LF only."""
    return (await r.readuntil(b"\r\n"))[:-2].decode("latin-1")


class Store:
    """The platform's store (tables only) and its promote call."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.changes = []
        self.ver = 0
        self.changed = asyncio.Event()
        self.on_promote = None
        self.server = None
        self.address = ""

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 22)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def put(self, table, key, value):
        """Writes a row as the operator or a database does."""
        self.ver += 1
        self.apply(table, key, json.dumps(value).encode())
        self.wake()

    def drop(self, table, key):
        self.ver += 1
        self.apply(table, key, None)
        self.wake()

    def apply(self, table, key, value):
        row = {"table": table, "part": "", "key": key, "ver": self.ver}
        if value is None:
            self.rows.pop((table, key), None)
            row["tombstone"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
            self.rows[table, key] = row
        self.changes.append(row)

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, r, w):
        try:
            while True:
                head = (await r.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                method, target, _ = head[0].split(" ", 2)
                headers = dict(line.lower().split(": ", 1) for line in head[1:] if ": " in line)
                body = await r.readexactly(int(headers.get("content-length", "0")))
                status, answer = await self.handle(method, target, headers, body)
                answer = json.dumps(answer).encode()
                w.write(
                    b"HTTP/1.1 %d -\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(answer))
                    + answer
                )
                await w.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            w.close()

    def body(self, rows):
        return {"rows": rows, "truncated": False, "ver": self.ver, "now-ms": int(now() * 1000) + 1000}

    async def handle(self, method, target, headers, body):
        url = urllib.parse.urlsplit(target)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
        await asyncio.sleep(0.004)
        if url.path == "/promote":
            call = json.loads(body)
            self.record.line("promote %s token %s by %s" % (call["id"], headers["x-fencing-token"], headers["x-lease-holder"]))
            ok = self.on_promote is not None and self.on_promote(call["service"], call["id"])
            return (200 if ok else 409), {}
        if url.path == "/api/rows-get":
            rows = [v for (t, _), v in sorted(self.rows.items()) if t == query["table"]]
            return 200, self.body(rows)
        if url.path == "/api/rows-feed":
            return await self.feed(query)
        if url.path == "/api/rows-tx":
            return self.transact(json.loads(body))
        return 404, {}

    async def feed(self, query):
        end = now() + int(query.get("wait-ms", "0")) / 1000
        after = int(query["after"])
        while True:
            rows = [c for c in self.changes if c["table"] == query["table"] and c["ver"] > after]
            if rows or now() >= end:
                return 200, self.body(rows)
            try:
                await asyncio.wait_for(self.changed.wait(), end - now())
            except asyncio.TimeoutError:
                pass

    def transact(self, call):
        for e in call["expected-rev"]:
            row = self.rows.get((e["table"], e["key"]))
            if (row["ver"] if row else 0) != e["ver"]:
                return 412, self.body([row] if row else [])
        self.ver += 1
        for e in call["set-keys"]:
            self.apply(e["table"], e["key"], base64.b64decode(e["value"]))
        for e in call["delete-keys"]:
            self.apply(e["table"], e["key"], None)
        self.wake()
        return 200, self.body([])


class Group:
    """One service: a primary and its replicas, with sync-replicas 1."""

    def __init__(self, store, name, zones, slots=3, max_conns=41, lag=0.06, promote_s=1.0):
        self.store, self.name, self.zones = store, name, zones
        self.slots, self.max_conns, self.lag, self.promote_s = slots, max_conns, lag, promote_s
        self.databases = []
        self.term = 1
        self.leader = None
        # led has the promotions: the time, the database, and the data that its log had.
        self.led = []

    async def start(self):
        for i, zone in enumerate(self.zones):
            d = Database(self, f"i-{self.name}-{i}", zone)
            await d.start()
            self.databases.append(d)
        self.leader = self.databases[0]
        self.leader.role = "primary"
        for d in self.databases:
            d.register()

    def promote(self, service, ident):
        for d in self.databases:
            if service == self.name and d.id == ident:
                if d is not self.leader:
                    asyncio.get_running_loop().call_later(self.promote_s, self.lead, d)
                return True
        return False

    def lead(self, d):
        old, self.leader = self.leader, d
        if old is d:
            return
        self.term += 1
        self.store.record.line("%s leads term %d with a log of %d" % (d.id, self.term, len(d.log)))
        self.led.append((now(), d.id, {e[2] for e in d.log}))
        d.role, d.term, d.paused, d.applied = "primary", self.term, 0, len(d.log)
        d.register()
        asyncio.get_running_loop().call_later(1.0, self.follow, old)
        for o in self.databases:
            if o not in (d, old) and not o.deaf and not o.gone and o.paused <= self.term:
                self.follow(o)

    def follow(self, d):
        """Makes a database follow the leader."""
        if d is self.leader or d.gone or d.deaf:
            return
        d.role, d.term = "replica", self.term
        d.log = list(self.leader.log)
        d.applied = len(d.log)
        d.register()


class Database:
    """One database: a number of slots, a queue before them, and a log."""

    QUEUE = 24

    def __init__(self, group, ident, zone):
        self.group, self.id, self.zone = group, ident, zone
        self.record = group.store.record
        self.role, self.term, self.paused = "replica", 1, 0
        self.log, self.applied = [], 0
        self.slow = 1.0
        # lost is the share of the answers to data statements that are lost.
        self.lost = 0.0
        # twice is the share of all answers that come twice, at once or up to 40 ms late.
        self.twice = 0.0
        # A deaf replica receives nothing. A database that is gone has no connections.
        self.deaf, self.gone = False, False
        self.writers = set()
        self.free, self.queue = group.slots, []
        self.born, self.seq = int(time.time() * 1000), 0
        self.conns = 0
        self.names = 0
        self.digests = 0
        self.violations = []
        self.address = ""

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 21)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def register(self):
        self.seq += 1
        self.group.store.put("servers", self.id, {
            "service": self.group.name, "address": self.address, "zone": self.zone, "version": "v1",
            "slots": self.group.slots, "state": "ready", "cold-left-ms": 0, "seq": self.seq,
            "db-role": self.role, "born": self.born,
        })

    def point(self, n):
        return "%d.%d" % (self.log[n - 1][0], n) if n else f"{self.term}.0"

    async def slot(self, seconds):
        """Works for a time in a slot. Returns False if the queue is full."""
        if self.free == 0:
            if len(self.queue) >= self.QUEUE:
                return False
            turn = asyncio.get_running_loop().create_future()
            self.queue.append(turn)
            await turn
        else:
            self.free -= 1
        try:
            await asyncio.sleep(seconds * self.slow)
        finally:
            while self.queue and self.queue[0].done():
                self.queue.pop(0)
            if self.queue:
                self.queue.pop(0).set_result(None)
            else:
                self.free += 1
        return True

    async def leave(self, interval=1.2):
        """Is lost for good, 1 s after its last report to the store.

        The entry goes after three status report intervals without a report.
        """
        self.gone = True
        self.server.close()
        for w in list(self.writers):
            w.transport.abort()
        await asyncio.sleep(3 * interval - 1)
        self.group.store.drop("servers", self.id)

    async def serve(self, r, w):
        self.writers.add(w)
        self.conns += 1
        self.names += 1
        c = Connection(self, f"{self.id}/{self.names}", r)
        try:
            start = (await read_line(r)).split(" ")
            if len(start) < 3 or start[0] != "START" or start[1] != self.group.name or start[3:] not in ([], [self.id]):
                w.write(b"ERR WRONGNODE -\r\n")
                return
            if self.conns > self.group.max_conns:
                w.write(b"ERR MAXCONN -\r\n")
                return
            await asyncio.sleep(0.012 * self.slow)
            w.write(f"READY I {self.point(self.applied_now())}\r\n".encode())
            while True:
                verb, _, rest = (await read_line(r)).partition(" ")
                if verb != "QUERY":
                    return
                ident, _, text = rest.partition(" ")
                out = await c.query(ident, text)
                if out is None:
                    return
                if ident != "-" and random.random() < self.lost:
                    self.record.line(f"lost the answer of {self.id} to {ident} {text}")
                    continue
                state = "E" if c.failed else "T" if c.owner is not None else "I"
                answer = to_wire(out + f"READY {state} {self.point(self.applied_now())}\r\n")
                w.write(answer)
                if random.random() < self.twice:
                    self.answer_again(w, answer, ident, text)
                await w.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.conns -= 1
            self.writers.discard(w)
            w.close()

    def answer_again(self, w, answer, ident, text):
        """Sends an answer a second time, at once or late."""
        late = random.choice((0, random.uniform(0.001, 0.04)))
        self.record.line(f"{self.id} answers {ident} {text} twice, {late:.3f} s late")
        if late == 0:
            w.write(answer)
        else:
            asyncio.get_running_loop().call_later(late, lambda: w.is_closing() or w.write(answer))

    def applied_now(self):
        if self.role == "primary":
            return len(self.log)
        n = self.applied
        while n < len(self.log) and self.log[n][3] + self.group.lag <= now():
            n += 1
        self.applied = n
        return n

    async def commit(self, writes, closed):
        """Commits writes and waits until one replica has received them.

        Returns False if the database has lost the lead or the connection meanwhile.
        The writes stay in the log then, and replicas receive them later.
        """
        term = self.term
        if self.role != "primary":
            return False
        for item, data in writes:
            self.log.append((self.term, item, data, now()))
        if not writes:
            return True
        size = len(self.log)
        await asyncio.sleep(0.002)
        while self.role == "primary" and self.term == term and not closed():
            if self.replicate(size):
                return True
            await asyncio.sleep(0.01)
        return False

    def replicate(self, size):
        """Sends the log up to a size to the replicas. Reports whether one received it."""
        received = False
        for o in self.group.databases:
            if o is not self and o.role == "replica" and o.term == self.term and o.paused <= o.term and not o.deaf and not o.gone:
                o.log.extend(e[:3] + (now(),) for e in self.log[len(o.log):size])
                received = received or len(o.log) >= size
        return received

    def digest(self):
        self.digests += 1
        return "DONE %s.%d\r\n" % (self.id[2:], self.digests)


class Connection:
    """The server's side of one connection to a database."""

    def __init__(self, d, name, reader):
        self.d, self.name, self.reader = d, name, reader
        # owner is the client of the open transaction: "" until its first statement.
        self.owner, self.plain, self.failed, self.writes = None, False, False, []
        self.values, self.prepared = {}, {}

    def closed(self):
        """Reports whether the other side has closed the connection."""
        return self.reader.at_eof() or self.reader.exception() is not None

    def fail(self, code):
        self.failed = self.owner is not None
        return f"ERR {code} {self.d.id}\r\n"

    def status(self):
        d = self.d
        return "ROW %s %d %s %d 0 0 %d\r\nDONE -\r\n" % (d.role, d.term, d.point(len(d.log)), d.paused, d.conns)

    async def query(self, ident, text):
        d = self.d
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            term, number = map(int, position.split("."))
            n = d.applied_now()
            if (d.log[n - 1][0] if n else 0, n) < (term, number) and number > 0:
                return self.fail("LAGGING")
        verb, _, rest = text.partition(" ")
        if self.failed and verb not in ("ROLLBACK", "COMMIT"):
            return "ERR MALFORMED -\r\n"
        if verb == "BEGIN":
            if self.owner is not None:
                return self.fail("MALFORMED")
            if rest == "" and d.role != "primary":
                return self.fail("READONLY")
            self.owner, self.plain, self.writes = "", rest == "", []
            return "DONE -\r\n"
        if verb == "ROLLBACK":
            self.owner, self.failed, self.writes = None, False, []
            return "DONE -\r\n"
        if verb == "SET":
            name, _, value = rest.partition(" ")
            self.values[name] = value
            return "DONE -\r\n"
        if verb == "PREPARE":
            name, _, shape = rest.partition(" ")
            self.prepared[name] = shape
            return "DONE -\r\n"
        if verb == "RESET":
            self.values, self.prepared = {}, {}
            return "DONE -\r\n"
        if verb in ("STATUS", "PAUSE", "RESUME", "DEMOTE"):
            if not await d.slot(0.001):
                return "ERR BUSY -\r\n"
            if verb == "PAUSE":
                d.paused = int(rest)
            elif verb == "RESUME":
                d.paused = 0
                if d.role == "replica" and d.term < d.group.term:
                    d.group.follow(d)
            elif verb == "DEMOTE" and int(rest) > d.term:
                d.role = "replica"
            return self.status()
        return await self.data(ident, verb, rest, text)

    async def data(self, ident, verb, rest, text):
        d = self.d
        if self.plain and self.owner is not None and d.role != "primary" and not (verb == "COMMIT" and not self.writes):
            return self.fail("READONLY")
        item, _, data = rest.partition(" ")
        if verb == "WRITE" and d.role != "primary":
            return self.fail("READONLY")
        if not await d.slot(work_of(item) if verb != "COMMIT" else 0.002):
            return self.fail("BUSY")
        if verb == "WRITE" and d.role != "primary":
            return self.fail("READONLY")
        client = ident.split("-")[0]
        d.record.line(f"run {d.id} connection {self.name} transaction of {self.owner!r} id {ident} text {text}")
        if self.owner == "":
            self.owner = client
        if self.owner is not None and self.owner != client:
            self.d.violations.append(f"{ident} {text} ran on {self.name} inside the transaction of {self.owner}")
        if verb == "READ":
            value = "none"
            for e in d.log[: d.applied_now()]:
                if e[1] == item:
                    value = e[2]
            return f"ROW {value}\r\n" + d.digest()
        if verb == "WRITE":
            if self.owner is not None:
                self.writes.append((item, data))
                return d.digest()
            return d.digest() if await d.commit([(item, data)], self.closed) else None
        if verb == "COMMIT":
            writes = self.writes
            self.owner, self.failed, self.writes = None, False, []
            return d.digest() if await d.commit(writes, self.closed) else None
        return self.fail("MALFORMED")


def work_of(item):
    """The work of a statement, in seconds: the item's name ends with its ms."""
    return int(item.rsplit("_", 1)[1]) / 1000


class Closed(Exception):
    """The connection ended without a complete answer."""


class Client:
    """One session of a client."""

    count = 0

    def __init__(self, record, name):
        self.record, self.name, self.n = record, name, 0
        self.r = self.w = None
        self.state = "-"

    async def connect(self, address, database):
        ip, port = address.split(":")
        self.r, self.w = await asyncio.open_connection(ip, int(port), limit=1 << 21)
        self.w.write(to_wire(f"START {database} {self.name}\r\n"))
        try:
            line = await asyncio.wait_for(self.r.readuntil(b"\r\n"), 2)
        except asyncio.TimeoutError:
            self.close()
            raise
        except (asyncio.IncompleteReadError, ConnectionError) as e:
            self.close()
            raise Closed(str(e)) from e
        if not line.startswith(b"READY"):
            self.close()
            raise Closed(line.decode("latin-1").strip())
        self.state = "I"

    def next_id(self):
        self.n += 1
        return f"{self.name}-{self.n}"

    async def query(self, text, timeout=10):
        """Sends a statement. Returns its code ("" for success), rows and digest."""
        ident = self.next_id()
        self.record.line(f"sent {ident} {text}")
        rows, code, digest = [], "", ""
        try:
            self.w.write(to_wire(f"QUERY {ident} {text}\r\n"))
            while True:
                line = await asyncio.wait_for(read_line(self.r), timeout)
                verb, _, rest = line.partition(" ")
                if verb == "ROW":
                    rows.append(rest)
                elif verb == "DONE":
                    digest = rest
                elif verb == "ERR":
                    code = rest.split(" ")[0]
                elif verb == "READY":
                    self.state = rest.split(" ")[0]
                    break
        except (asyncio.IncompleteReadError, asyncio.TimeoutError, ConnectionError) as e:
            self.record.line(f"no answer {ident}: {type(e).__name__}")
            self.close()
            raise Closed(str(e)) from e
        self.record.line(f"answered {ident} {code or 'DONE'} {digest} rows {rows} state {self.state}")
        return code, rows, digest

    def close(self):
        if self.w is not None:
            self.w.close()
            self.w = None
        self.state = "-"


class Host:
    """One entry host, started with the command of the deploy file."""

    def __init__(self, directory, store_address, promote_address, name, ip, zone, regions, grace_s=6):
        self.name = name
        ports = [free_port(ip) for _ in range(3)]
        self.front, self.ready_address = f"{ip}:{ports[0]}", f"{ip}:{ports[1]}"
        settings = {
            "host_id": name, "zone": zone, "regions": regions, "bootstrap": True,
            "caller_listen": self.front, "ready_listen": self.ready_address,
            "bind_ip": ip, "internal_ports": [ports[2], ports[2]],
            "store_address": store_address, "promote_address": promote_address,
            "row_bytes": 65536, "heartbeat_ms": 1200, "memory_mb": 284, "cpu_share": 0.4,
            "link_mbps": 1000.0, "grace_s": grace_s, "drain_ms": 7000,
        }
        self.values = settings
        self.settings = pathlib.Path(directory) / f"{name}.json"
        self.log = pathlib.Path(directory) / f"{name}.log"
        self.process = None

    def start(self):
        """Starts the process. It is told of the bootstrap at its first start only."""
        self.settings.write_text(json.dumps(self.values))
        self.values["bootstrap"] = False
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["CUMINTRESTLE_CONFIG"] = str(self.settings)
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen([str(BINARY), "serve"], cwd=ROOT, env=env, stdout=log, stderr=log)
        started.append(self.process)

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        """Ends the process, also if it is stopped."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    async def is_ready(self):
        ip, port = self.ready_address.split(":")
        try:
            r, w = await asyncio.open_connection(ip, int(port))
            w.write(b"GET /api/readiness HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(r.readline(), 1)
            w.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False


def config(version, routes, groups, tx_idle_ms=3000):
    """The operator's config. A route is (database, kind, service, timeout ms, staleness ms)."""
    return {
        "version": version,
        "routes": [
            {"name": "r-" + h, "host": h, "kind": k, "service": s, "timeout-ms": t, "target-latency-ms": 600,
             "priority": 1, "max-staleness-ms": m}
            for h, k, s, t, m in routes
        ],
        "services": [{"name": g.name, "max-conns": g.max_conns, "sync-replicas": 1} for g in groups],
        "limits": {"tx-idle-ms": tx_idle_ms},
    }


async def until(condition, seconds, step=0.1):
    """Waits for an async condition. Returns False if it doesn't hold in time."""
    end = now() + seconds
    while now() < end:
        if await condition():
            return True
        await asyncio.sleep(step)
    return False


def spread(seconds):
    """A pause of about the given length."""
    return seconds * random.uniform(0.8, 1.2)
