#!/usr/bin/env python3
"""End of review/6 with real processes: six hubs, entry hosts, 1,440 routes.

usage: play.py BIN_DIR OUT NAME [key=value ...]
keys: rounds entries sync busy down order late late_s paused_s slow duty leadwipe warm block watch
"""
import asyncio, json, os, random, shutil, signal, subprocess, sys, time
BIN, OUT, NAME = sys.argv[1:4]
opt = dict(rounds=5, entries=6, sync=0, busy=0, down=1.5, order='hubs', late_s=0.0, paused_s=0.0, slow=0, duty=0.1,
           warm=2, block=random.randint(20, 120), watch=12.0, routes=1440, seed=random.randrange(10**6), spread=0.3, second=0)
for a in sys.argv[4:]:
    k, v = a.split('=')
    opt[k] = type(opt[k])(v) if k in opt else v
rnd = random.Random(opt['seed'])
B = opt['block']
BASE = f"{os.environ.get('PLAY_DIR', '/tmp')}/play-{os.getpid()}"
HUBS = [f"127.{B}.0.{10+i}" for i in range(6)]
ENTRIES = [f"127.{B}.1.{10+i}" for i in range(opt['entries'])]
DOM = ['a', 'a', 'b', 'b', 'c', 'c']
SEEDS = ', '.join(f"{HUBS[i]}:8080" for i in (0, 2, 4))

def hub_ini(i, found):
    return f"""[hub]
host = hub-{i}
domain = {DOM[i]}
region = r
data = {BASE}/hub-{i}
address = {HUBS[i]}
port = 7240
seeds = {SEEDS}
found = {'yes' if found else 'no'}

[platform]
control = {HUBS[i]}:8080
"""

def entry_ini(j):
    ip = ENTRIES[j]
    return f"""[entry]
host = entry-{j}
domain = {'abc'[j%3]}
region = r
front = {ip}:8641
ready = {ip}:8640
ready-path = /-/ready
port = 7240
spread = 3
ttl = 5s
seeds = {SEEDS}

[platform]
directory = {ip}:8642
"""

class Proc:
    def __init__(self, name, binary, ini, env=None):
        self.name = name
        self.path = f"{BASE}/{name}.ini"
        open(self.path, 'w').write(ini)
        self.lines = []
        self.binary = binary; self.env = env
        self.started = time.monotonic()
        self.exited = None
    async def start(self):
        env = dict(os.environ); env.update(self.env or {})
        self.started = time.monotonic()
        self.p = await asyncio.create_subprocess_exec(f"{BIN}/{self.binary}", '--config', self.path, stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT, env=env, limit=2**22)
        self.task = asyncio.create_task(self.read())
        return self
    async def read(self):
        try:
            async for l in self.p.stdout:
                self.lines.append((time.monotonic(), l.decode(errors='replace').rstrip()))
        except ValueError:
            pass
        await self.p.wait()
        self.exited = (time.monotonic(), self.p.returncode)
    def kill(self, sig=signal.SIGKILL):
        if self.p.returncode is None:
            try: self.p.send_signal(sig)
            except ProcessLookupError: pass
    async def gone(self):
        await self.p.wait()

def config(version, extra):
    def route(k, path, svc='svc'):
        return {"name": f"r-{k}", "path-prefix": path, "kind": "safe", "timeout": "1500ms", "target-latency": "400ms", "priority": 1,
                "service": svc, "max-attempts": 2}
    rules = [route(f"b{n:05d}x{n*7919%99991:05d}", f"/base{n:05d}/") for n in range(opt['routes'])]
    rules += [route(f"x{v}", f"/new{v}/") for v in extra]
    return json.dumps({"version": f"{version:08x}", "services": [{"name": "svc", "health-path": "/health", "max-connections": 220, "protocol": "h1", "tls": False}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout": "3000ms", "idle-timeout": "15000ms"},
        "tenants": [{"name": "t1", "api-keys": ["k-aaaaaaaa"]}],
        "virtual-hosts": [{"host": "h.example", "path-rules": [dict(r, public=True) for r in rules]}]}).encode()

async def http(ip, port, method, path, body=b'', headers=None, timeout=1.0):
    async def go():
        r, w = await asyncio.open_connection(ip, port)
        try:
            h = {'Host': 'h.example', 'Connection': 'close', 'Content-Length': str(len(body))}
            h.update(headers or {})
            w.write((f"{method} {path} HTTP/1.1\r\n" + ''.join(f"{k}: {v}\r\n" for k, v in h.items()) + "\r\n").encode() + body)
            await w.drain()
            data = await r.read()
            head, _, rest = data.partition(b'\r\n\r\n')
            return int(head.split()[1]), rest
        finally:
            w.close()
    try:
        return await asyncio.wait_for(go(), timeout)
    except Exception as e:
        return None, b''

class Play:
    def __init__(self):
        self.version = 0; self.extra = []
        self.acker = None
    async def put(self, deadline=30, tries=None):
        self.version += rnd.randint(1, 3); self.extra.append(self.version)
        body = config(self.version, self.extra)
        end = time.monotonic() + deadline
        while time.monotonic() < end:
            i = rnd.randrange(6)
            s, rest = await http(HUBS[i], 8080, 'POST', '/-/Config.Put', body, {'Content-Type': 'application/json'}, 2.0 + opt['sync']/100)
            if s == 200:
                self.acker = i
                return True
            await asyncio.sleep(0.1)
        return False

async def table_version_log(e):
    return [(t, l) for t, l in e.lines if 'msg="route table"' in l]

def field(l, k):
    import re
    m = re.search(rf'(?:^| ){k}="?([^ "]*)"?', l)
    return m.group(1) if m else None

async def probe_entry(j, path, start, stop, out):
    while time.monotonic() < stop:
        t = time.monotonic()
        s, _ = await http(ENTRIES[j], 8641, 'GET', path, headers={'Request-Deadline': '300', 'Attempt-Id': f'{rnd.getrandbits(64):016x}'}, timeout=0.6)
        out.append((t - start, s))
        await asyncio.sleep(0.05)

async def probe_reads(start, stop, newest, out):
    while time.monotonic() < stop:
        for i in range(6):
            t = time.monotonic()
            s, rest = await http(HUBS[i], 8080, 'GET', '/-/Config.Get', timeout=0.9)
            if s == 200:
                v = int(json.loads(rest)['version'], 16)
                out.append((t - start, i, v))
        await asyncio.sleep(0.05)

async def wait_entries(entries, version, limit=30):
    end = time.monotonic() + limit
    while time.monotonic() < end:
        if all(any('msg="route table"' in l and int(field(l, 'version')) >= version for _, l in reversed(e.lines)) for e in entries):
            return True
        await asyncio.sleep(0.05)
    return False

async def round_(n):
    shutil.rmtree(BASE, ignore_errors=True); os.makedirs(BASE)
    env = {'PLAY_SYNC_MS': str(opt['sync'])}
    play = Play()
    t_setup = time.monotonic()
    hubs = [await Proc(f"hub-{i}", 'platform-hub', hub_ini(i, True), {'PLAY_SYNC_MS': '0'} if False else env).start() for i in range(6)]
    entries = []
    busy = []
    try:
        assert await play.put(60 + opt['sync']/4), "first put"
        # all six are voters
        end = time.monotonic() + 60 + opt['sync']/4
        while time.monotonic() < end:
            voters = [field(l, 'voters') for h in hubs for _, l in h.lines if 'msg=membership' in l]
            if any(v and len(v.split(',')) == 6 for v in voters): break
            await asyncio.sleep(0.1)
        else:
            raise AssertionError("no six voters")
        for j in range(opt['entries']):
            entries.append(await Proc(f"entry-{j}", 'platform-entry', entry_ini(j)).start())
        assert await wait_entries(entries, play.version), "entries have no table"
        await asyncio.sleep(0.5)
        for _ in range(opt['warm']):
            assert await play.put(60), "put"
            await asyncio.sleep(0.8 if opt['warm'] < 4 else 0.3)
            assert await play.put(60), "put"
            a, b = rnd.sample(range(6), 2)
            for x in (a, b):
                hubs[x].kill(); await hubs[x].gone(); await asyncio.sleep(0.1)
            await asyncio.sleep(0.4)
            for x in (a, b):
                hubs[x] = await Proc(f"hub-{x}", 'platform-hub', hub_ini(x, False), env).start()
            await asyncio.sleep(1.0 + opt['sync']/250)
        assert await play.put(60), "put"
        await asyncio.sleep(0.8)
        for _ in range(opt['busy']):
            busy.append(subprocess.Popen([sys.executable, '-c', 'while True: pass']))
        if opt['busy']: await asyncio.sleep(0.5)
        assert await play.put(60), "last put"
        newest = play.version
        # the end
        allp = hubs + entries
        for p in allp: p.kill()
        t_kill = time.monotonic()
        for p in allp: await p.gone()
        leader = None
        for i, h in enumerate(hubs):
            for t, l in h.lines:
                if 'msg=leadership' in l and 'leads=true' in l: last = (t, i); leader = max(leader or last, last)
        first = play.acker
        second = leader[1] if leader and leader[1] != first else rnd.choice([i for i in range(6) if i != first])
        wiped = sorted({first, second})
        for i in wiped: shutil.rmtree(f"{BASE}/hub-{i}")
        survivors = [i for i in range(6) if i not in wiped]
        old = {p.name: list(p.lines) for p in allp}
        await asyncio.sleep(max(0, opt['down'] - (time.monotonic() - t_kill)))
        late = rnd.choice(survivors) if (opt['late_s'] or opt['paused_s'] or opt['slow']) else None
        nh = [Proc(f"hub-{i}", 'platform-hub', hub_ini(i, False), env) for i in range(6)]
        ne = [Proc(f"entry-{j}", 'platform-entry', entry_ini(j)) for j in range(opt['entries'])]
        if opt['order'] == 'hubs': seq = nh + ne
        elif opt['order'] == 'entries': seq = ne + nh
        elif opt['order'] == 'wiped': seq = [nh[i] for i in wiped] + ne + [nh[i] for i in survivors]
        else:
            seq = nh + ne; rnd.shuffle(seq)
        start = time.monotonic()
        gap = opt['spread'] / max(1, len(seq))
        later = []
        async def start_late():
            await asyncio.sleep(opt['late_s']); await nh[late].start()
        for p in seq:
            if late is not None and p is nh[late] and opt['late_s']:
                later.append(asyncio.create_task(start_late())); continue
            await p.start()
            if late is not None and p is nh[late] and opt['paused_s']:
                async def pause(p=p):
                    await asyncio.sleep(0.02); p.kill(signal.SIGSTOP); await asyncio.sleep(opt['paused_s']); p.kill(signal.SIGCONT)
                later.append(asyncio.create_task(pause()))
            if late is not None and p is nh[late] and opt['slow']:
                async def slow(p=p):
                    end = time.monotonic() + opt['slow']
                    while time.monotonic() < end:
                        p.kill(signal.SIGSTOP); await asyncio.sleep(0.1 * (1 - opt['duty'])); p.kill(signal.SIGCONT); await asyncio.sleep(0.1 * opt['duty'])
                later.append(asyncio.create_task(slow()))
            await asyncio.sleep(gap)
        stop = start + opt['watch']
        probes = [[] for _ in ne]; reads = []
        tasks = [asyncio.create_task(probe_entry(j, f"/new{newest}/x", start, stop, probes[j])) for j in range(len(ne)) if j < 12]
        tasks.append(asyncio.create_task(probe_reads(start, stop, newest, reads)))
        if opt['second']:
            # power is lost once more during the recovery
            await asyncio.sleep(rnd.uniform(0.05, 1.0))
            for p in nh + ne:
                if hasattr(p, 'p'): p.kill(signal.SIGCONT); p.kill()
            for p in nh + ne:
                if hasattr(p, 'p'): await p.gone()
            for p in nh + ne: old.setdefault(p.name, []).extend(p.lines)
            await asyncio.sleep(0.3)
            nh = [Proc(f"hub-{i}", 'platform-hub', hub_ini(i, False), env) for i in range(6)]
            ne = [Proc(f"entry-{j}", 'platform-entry', entry_ini(j)) for j in range(opt['entries'])]
            start2 = time.monotonic()
            for p in nh + ne: await p.start()
            for pr in probes: pr.clear()
            reads.clear()
        await asyncio.gather(*tasks)
        for t in later: t.cancel()
        # evaluate
        starts = start
        old_for, new_at = [], []
        for e in ne:
            tv = [(t - start, int(field(l, 'version'))) for t, l in e.lines if 'msg="route table"' in l]
            first_old = next((t for t, v in tv if v < newest), None)
            first_new = next((t for t, v in tv if v >= newest), None)
            new_at.append(first_new if first_new is not None else 99)
            old_for.append(0 if first_old is None else (first_new if first_new is not None else opt['watch']) - first_old)
        last404 = max([t for pr in probes for t, s in pr if s == 404] or [0])
        n404 = sum(1 for pr in probes for t, s in pr if s == 404)
        older_reads = [r for r in reads if r[2] < newest]
        first_read = min([r[0] for r in reads if r[2] >= newest] or [99])
        exits = [p.name for p in nh + ne if hasattr(p, 'exited') and p.exited]
        lead = min([t - start for h in nh for t, l in h.lines if 'msg=leadership' in l and 'leads=true' in l] or [99])
        lost = first_read > opt['watch']
        red = last404 > 6.0 or older_reads or lost or exits or max(new_at) > opt['watch']
        res = dict(round=n, red=bool(red), wiped=wiped, acker=play.acker, late=late, newest=newest, leader_at=round(lead, 2), first_read=round(first_read, 2),
                   new_min=round(min(new_at), 2), new_max=round(max(new_at), 2), old_entries=sum(1 for o in old_for if o > 0), old_max=round(max(old_for), 2), n404=n404, last404=round(last404, 2),
                   older_reads=len(older_reads), exits=exits)
        print(json.dumps(res), flush=True)
        open(f"{OUT}/{NAME}.jsonl", 'a').write(json.dumps(res) + '\n')
        d = f"{OUT}/{NAME}-{n}"
        if opt.get('keep', 'red') == 'all' or red or last404 > 1.0:
            os.makedirs(d, exist_ok=True)
            for p in nh + ne[:6]:
                open(f"{d}/{p.name}.log", 'w').write('\n'.join(f"{t-start:9.3f} {l}" for t, l in old.get(p.name, [])[-200:]) + '\n---- the end\n' + '\n'.join(f"{t-start:9.3f} {l}" for t, l in p.lines) + '\n')
        return res, nh + ne
    finally:
        for b in busy: b.kill(); b.wait()
        procs = hubs + entries
        try: procs += nh + ne
        except NameError: pass
        for p in procs:
            if hasattr(p, 'p'):
                p.kill(signal.SIGCONT); p.kill()
        for p in procs:
            if hasattr(p, 'p'): await p.gone()
        shutil.rmtree(BASE, ignore_errors=True)

async def main():
    rs = []
    open(f"{OUT}/{NAME}.jsonl", 'a').write(json.dumps(dict(options={k: v for k, v in opt.items()}, bin=BIN)) + '\n')
    for n in range(opt['rounds']):
        try:
            r, _ = await round_(n)
            rs.append(r)
        except AssertionError as e:
            print(json.dumps(dict(round=n, failed=str(e))), flush=True)
            open(f"{OUT}/{NAME}.jsonl", 'a').write(json.dumps(dict(round=n, failed=str(e))) + '\n')
    s = dict(name=NAME, rounds=len(rs), red=sum(r['red'] for r in rs), old_rounds=sum(1 for r in rs if r['n404']), old_max=max([r['old_max'] for r in rs] or [0]),
             last404=max([r['last404'] for r in rs] or [0]), first_read=[min([r['first_read'] for r in rs] or [0]), max([r['first_read'] for r in rs] or [0])], new_max=max([r['new_max'] for r in rs] or [0]))
    print('SUM', json.dumps(s), flush=True)
    open(f"{OUT}/{NAME}.jsonl", 'a').write(json.dumps(dict(sum=s)) + '\n')
asyncio.run(main())
