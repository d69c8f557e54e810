"""A tenant hands in one scheduled job; another tenant's jobs are accepted too.

The platform kills a process that exceeds `memory_mb` and starts it again.
TROUBLE=0 hands in the same job with two occurrences.
"""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-3"))
import standin  # noqa: E402

# Every five minutes for thirty days, with as many tasks as the widest step of the
# sheets (78).
REPEATS = 30 * 24 * 12
INTERVAL_MS = 5 * 60 * 1000
TASKS = 78
# Time for the second job, of which finish_s (14 s) would be enough.
WAIT_S = 45
FINISH_S = 14


async def play(folder, trouble):
    site = standin.Site(folder, gateways=3, runners=3, work_ms_of=lambda task: 2000)
    record = site.record
    platform = None
    try:
        await site.start()
        platform = asyncio.ensure_future(site.keep_platform(limit_memory=True))
        other = site.client("b")
        ordinary = {"task_spec": "text", "steps": [
            {"count": 2, "cpu": 1000, "mem_mb": 256, "estimate_ms": 2000}]}
        first = standin.new_job()
        await other.submit(first, ordinary)
        await asyncio.sleep(4)
        before = await other.state_anywhere(first)

        scheduled = {
            "task_spec": "text",
            "steps": [{"count": TASKS, "cpu": 500, "mem_mb": 256, "estimate_ms": 2000}],
            "repeat_count": REPEATS if trouble else 2,
            "first_ms": int((time.time() + 3600) * 1000),
            "interval_ms": INTERVAL_MS,
        }
        size = len(standin.json.dumps(scheduled))
        record(f"the scheduled job takes {size} bytes; max_body_bytes is 262144")
        await site.client("a").submit(standin.new_job(), scheduled)

        second = standin.new_job()
        answers = await other.submit(second, ordinary, tries=20)
        accepted = any(status is not None and 200 <= status < 300 for status in answers)
        for _ in range(WAIT_S):
            await asyncio.sleep(1)
            record("memory: " + ", ".join(
                f"{p.name} {p.memory_mb():.0f} MB (killed {p.killed_for_memory} times)"
                for p in site.gateways))
        # The jobs are asked for during finish_s.
        states = {}
        deadline = standin.now_ms() + FINISH_S * 1000
        while standin.now_ms() < deadline and "completed" not in states.values():
            states[second] = await other.state_anywhere(second)
            await asyncio.sleep(1)
        ran = sorted(task for task in site.runs.begun if task.startswith(second))
        kills = {p.name: p.killed_for_memory for p in site.gateways}
        ends = {p.name: p.ended_by_itself for p in site.gateways + site.agents
                if p.ended_by_itself}
        lost = accepted and states[second] != "completed"
        fault = sum(1 for count in kills.values() if count >= 3) >= 2
        record(f"verdict: first job {before}; second job accepted {accepted}, now "
               f"{states[second]}, its tasks that began: {ran}; killed for memory {kills}; "
               f"ended otherwise {ends}; LOST {lost}, Fault {fault}")
        print(f"second job: answers {answers}, state {states[second]}, tasks begun "
              f"{len(ran)}; killed for memory {kills}; LOST {lost}, Fault {fault}")
        if before != "completed" or (not accepted and not fault):
            raise RuntimeError("the ordinary jobs were not served in calm")
        return not (lost or fault)
    finally:
        if platform is not None:
            platform.cancel()
        await site.stop()


standin.main(play)
