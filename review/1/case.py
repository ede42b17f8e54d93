"""A job that is sent again after its queue was routed to another service."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import standin as s  # noqa: E402

JOBS = 18
RUN_MS = 6000
JOB = {"spec": f"ms={RUN_MS}", "phases": [{"count": 2, "cpu": 500, "memMb": 256, "estimatedMs": RUN_MS}]}


async def case(system, trouble):
    platform = system.platform
    pools = [("booking-hub", 5, False), ("quote-desk", 5, False), ("member-portal", 2, True)]
    other = ("quotes", "/quotes/", "quote-desk")
    await system.start(pools, [("bookings", "/bookings/", "booking-hub"), other])
    ids = [f"{0x5c0e7a21d94b0000 + i:016x}" for i in range(JOBS)]

    # Each job is handed in once, and accepted.
    for i, job in enumerate(ids):
        status, _ = await system.client(system.nodes[i % 6], "POST", f"/bookings/{job}", JOB)
        if status != 200:
            raise s.CannotRun(f"job {job} was not accepted")
    accepted = time.monotonic()

    # The operator removes the route, and adds it again for another service.
    if trouble:
        platform.put_config(2, [other])
        await asyncio.sleep(0.33)
        platform.put_config(3, [("bookings", "/bookings/", "quote-desk"), other])
    else:
        await asyncio.sleep(0.33)

    # Later than its 2xx, a client sends the same ID again, to another node. It remains one job.
    await asyncio.sleep(0.6)
    for i, job in enumerate(ids):
        await system.client(system.nodes[(i + 3) % 6], "POST", f"/bookings/{job}", JOB)
    system.record(f"the jobs were sent again {time.monotonic() - accepted:.1f} s after the last 2xx")

    # All runs of all jobs have ended by then.
    await asyncio.sleep(2 * RUN_MS / 1000 + 4)
    for job in ids:
        await system.client(system.nodes[0], "GET", f"/bookings/{job}")
    return twice(platform)


def twice(platform):
    """TWICE, its first part: two runs of one task at once, on workers that are up; no step here has
    `speculative`. Starts after an end are not judged: whether an end is taken note of hangs on leases too."""
    violations = []
    by_task = {}
    for run in platform.runs:
        by_task.setdefault(run.task, []).append(run)
    now = time.monotonic()
    for task, runs in sorted(by_task.items()):
        runs.sort(key=lambda r: r.began)
        for a, b in zip(runs, runs[1:]):
            where = f"on {a.worker.id} of {a.worker.service} and on {b.worker.id} of {b.worker.service}"
            if b.began < (a.ended or now):
                violations.append(f"TWICE: two runs of {task} at once, {where}")
    return violations


s.main(os.path.dirname(os.path.abspath(__file__)), case)
