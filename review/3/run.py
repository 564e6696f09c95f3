"""A proxy restarts while discovery is down, with an old list, on a machine whose agent has a newer one."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
from standin import Backend, Client, CouldNotRun, Discovery, Proxy, entry, free_port, play  # noqa: E402

GRACE_S = 2.0  # contract.stop_sending_within_ms of the second deployment
SOCKET_SLACK_S = 0.05  # "each time limit is 50 ms longer"
OUTAGE_S = 8.0  # "discovery is down for 8 s"
RATE = 40

CLASSES = [
    {"name": "status-check", "promise_ms": 1200, "deadline_ms": 3000, "semantics": "idempotent", "gain": 3,
     "late_value": 0, "group": "cell", "dedup_window_ms": 3000, "streaming": False},
    {"name": "place-order", "promise_ms": 750, "deadline_ms": 2000, "semantics": "deduplicated", "gain": 10,
     "late_value": 0, "group": "cell", "dedup_window_ms": 3000, "streaming": False},
]


def settings():
    return {
        "balancers": 2, "rank": 0, "stage": 0, "stages": ["gateway", "orders", "ledger"], "tick_ms": 5,
        "zones": ["cikarang-dc"], "my_zone": "cikarang-dc", "host_types": ["gw-std", "gw-slow"],
        "discovery": "pushed", "request_classes": CLASSES, "tenants": [], "clients": {"marks_retry": True},
        "limits": {"cancel": True, "connect_timeout_ms": 100, "keepalive_ms": 30000, "max_attempts": 6,
                   "max_held": 20000, "max_retry_after_ms": 1500, "peers": False, "probes": False,
                   "retry_after": True, "second_copies": True, "streams_per_conn": 1},
        "contract": {"answer_slack_ms": 20, "cold_from": 0.15, "cold_ms": 23000, "fall_ms": 3000,
                     "fall_multiple": 3, "must_ask_in_ms": 10000, "stop_sending_within_ms": GRACE_S * 1000},
        "penalties": {"cross_zone": 0}, "telemetry": {"fields": ["load_share", "tps", "depth"], "how": "answers"},
        "weights": "none", "workload": "chain",
    }


async def traffic(client, seconds):
    for number in range(int(seconds * RATE)):
        kind = CLASSES[number % 2]
        client.send(kind["name"], kind["semantics"], kind["deadline_ms"])
        await asyncio.sleep(1 / RATE)


async def case(record, folder, trouble):
    place = {"zone": "cikarang-dc", "kind": "gw-std"}
    report = {"util": 0.2, "qps": 20, "queue": 0}
    backends = [Backend(record, f"gw-{number}", report=report) for number in range(4)]
    agent = Discovery(record, "agent")
    agent.list(*(entry(backend, **place) for backend in backends))
    known = agent.whole()
    drained = backends[3]
    proxy = Proxy(record, folder, "n0", {
        "name": "n0", "listen": f"127.0.0.1:{free_port()}", "discovery": agent.address, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 1024}, "known": known, "settings": settings()})
    client = Client(record, proxy.port)
    try:
        for server in [*backends, agent]:
            await server.start()
        proxy.start()
        await proxy.wait_until_ready()
        await traffic(client, 3)
        if not all(backend.sends for backend in backends):
            raise CouldNotRun("a backend got no request on a calm network")

        proxy.kill()
        await agent.change(entry(drained, "DRAINING", **place))  # the agent has it from now on
        await asyncio.sleep(1)
        if trouble:
            await agent.set_silent(True)
        # The new process has the list "as this proxy last had it".
        started = proxy.start()
        await proxy.wait_until_ready()
        client.idle.clear()
        outage = asyncio.ensure_future(asyncio.sleep(OUTAGE_S))
        await traffic(client, OUTAGE_S)
        await outage
        if trouble:
            await agent.set_silent(False)
        await traffic(client, 3)
        await client.finish()
    finally:
        proxy.stop()
        client.close()
        for server in [*backends, agent]:
            server.stop()
        record.write("log of the proxy:\n" + proxy.log_text())

    # Told "from the first moment of a new process"; the rule's clock is started late, at the process's start.
    limit = started + GRACE_S + SOCKET_SLACK_S
    late = [(at, request) for at, request in drained.sends if at > limit]
    after_start = [at for at, _ in drained.sends if at > started]
    record.say(f"answers: {client.counts()}")
    record.say(f"sends to {drained.name} after the new process began at {started:.3f}: {len(after_start)}, "
               f"later than {limit:.3f}: {len(late)}"
               + (f", from {late[0][0]:.3f} to {late[-1][0]:.3f}" if late else ""))
    return not late


play(case, HERE)
