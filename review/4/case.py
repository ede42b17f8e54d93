"""Empty minions are added to a service one of whose queues has a policy: the minions that it allows are asked about no more."""
import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib-2"))
import standin  # noqa: E402

MINIONS, ADDED, ALLOWED = 28, 7, 4
POLICY = {"decide_ms": 20, "each_ms": 1, "valid_ms": 3000}
WORK_MS = 500
# The rule's 3 s, counted only from when the job is accepted, and with 5 s more.
BOUND_S = 8.0


async def submit(platform, node, pool, step, text):
    job = f"{random.getrandbits(64):016x}"
    if pool == platform.pools[0]:
        platform.advice.jobs.add(job)
    status, _ = await standin.call(node.ip, 8624, "POST", f"/{pool}/{job}", {"spec": text, "phases": [step]})
    platform.record(f"client sends job {job} to {pool} at {node.name}: {status}")
    return job if status == 200 else None


async def case(platform):
    platform.advice_policy = POLICY
    platform.advice = standin.Advice(platform, POLICY)
    await platform.advice.listen(platform.ip(1), 7300)
    platform.configure()
    nodes = [platform.add_node(f"frontend-hal-a-{i}") for i in (1, 2, 3)]
    for i in range(MINIONS):
        machine = await platform.machines.add(f"m-{i}", "desk-service", rack=f"r1-{i % 7}")
        if i % (MINIONS // ALLOWED) == 0:
            platform.advice.allowed.add(machine.name)
            machine.labels.append("policy")
    for node in nodes:
        node.start()
    await platform.until_ready()
    await asyncio.sleep(2)
    # The minions that the policy allows have some other work too, as a queue without a policy may want them: a quarter of each.
    lasting = {"count": ALLOWED, "cpu": 4000, "memMb": 512, "longRunning": True, "antiAffinity": 1, "constraints": "policy"}
    await submit(platform, nodes[0], platform.pools[1], lasting, "stays")
    await platform.until("the lasting tasks run", lambda: sum(r["how"] == "begins" for r in platform.runs) == ALLOWED)
    await asyncio.sleep(3)
    if standin.TROUBLE:
        for i in range(MINIONS, MINIONS + ADDED):
            await platform.machines.add(f"m-{i}", "desk-service", rack=f"r1-{i % 7}")
        platform.record(f"{ADDED} empty minions are added")
    await asyncio.sleep(10)
    step = {"count": 2, "cpu": 1000, "memMb": 256, "estimatedMs": WORK_MS}
    accepted = {}
    for _ in range(20):
        job = await submit(platform, random.choice(nodes), platform.pools[0], step, f"ms={WORK_MS}")
        if job:
            accepted[job] = standin.now()
        await asyncio.sleep(0.5)
    await asyncio.sleep(BOUND_S + 1)
    begun = {}
    for run in platform.runs:
        if run["how"] == "begins":
            begun.setdefault(run["task"].split(".")[0], run["at"])
    late = [j for j, at in accepted.items() if begun.get(j, standin.now()) > at + BOUND_S]
    for job in late[:1]:
        status, body = await standin.call(nodes[0].ip, 8624, "GET", f"/{platform.pools[0]}/{job}")
        waited = begun.get(job, standin.now()) - accepted[job]
        platform.record(f"client asks for job {job}: {status} {body.decode()}")
        return (f"{len(late)} of {len(accepted)} accepted jobs have nothing running for {BOUND_S} s; {job} for {waited:.1f} s, and is "
                f"shown as {body.decode()}, while each of {ALLOWED} minions that may run it has room for 12 of its tasks")
    return None


standin.run(case, HERE, off_pool=None, pools=("r-policy", "r-other"), service="desk-service")
