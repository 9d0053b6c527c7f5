"""A heartbeat with an unknown service makes open flows of a sound server be reset (rule FLOW).

The balancers are then stopped and started in turn, as planned, so that the flows are looked up.
"""

from __future__ import annotations

import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from platform_world import APP_PORT, CONTROL_PORT, Flow, World, call, run_case

FLOWS = 30
GAP_S = 1.2


def play() -> str:
    """Open flows, send one foreign heartbeat, restart the balancers, and use the flows again."""
    case = Path(__file__).resolve().parent
    with World(case, {"orders": 3}, balancers=3) as world:
        world.start({world.entry(1): "orders"})
        client = world.client(1)
        flows = [client.flow(world.entry(1)) for _ in range(FLOWS)]
        for number, flow in enumerate(flows, 1):
            use(world, flow, number, "first", flow.open() == "open")
        if world.trouble:
            send_foreign_heartbeat(world)
        time.sleep(1.0)
        for balancer in world.balancers:
            balancer.stop()
            balancer.start()
            time.sleep(GAP_S)
        broken = []
        for number, flow in enumerate(flows, 1):
            holders = [each for each in world.servers if each.holds(flow.key)]
            use(world, flow, number, "second", flow.state == "open")
            if flow.reset_by_system and holders:
                broken.append(f"flow {number} of {holders[0].server_id}")
        world.record.line(f"{len(broken)} of {FLOWS} open flows were reset by the system")
        return f"FLOW: {len(broken)} flows were reset, the first: {broken[0]}" if broken else ""


def use(world: World, flow: Flow, number: int, turn: str, is_open: bool) -> None:
    """Send a request on an open flow."""
    world.record.line(f"client: {turn} request on flow {number}")
    answer = flow.request(f"{turn}-{number}", 3.0) if is_open else None
    said = answer.split(b"\r\n")[1].decode() if answer else "no answer"
    world.record.line(f"client: flow {number} is {flow.state}: {said}")


def send_foreign_heartbeat(world: World) -> None:
    """One heartbeat of another writer; its service is in no configuration."""
    agent = world.agents[0]
    body = {
        "service": "nobody",
        "address": f"{agent.ip}:{APP_PORT}",
        "zone": agent.zone,
        "version": "v1",
        "slots": 3,
        "state": "ready",
        "coldLeftMs": 0,
        "sequence": 1,
        "born": time.time_ns() // 1_000_000,
    }
    text = json.dumps(body)
    status, _ = call(agent.ip, CONTROL_PORT, "PUT", "/instances/i-other", text.encode())
    world.record.line(f"foreign heartbeat to {agent.name}: {text}: {status}")


if __name__ == "__main__":
    run_case(play)
