"""Steps on the operators' command line."""

from __future__ import annotations

from http.client import HTTPConnection

from behave import then, when
from control_steps import SETTLE_S, command

from lentilcourse.lab.cluster import wait_until

DECLARED = """
[entry orders]
service = ordering
owner = floor-desk
traffic_class = interactive
protocol = http
address = 10.77.0.1:80
requests_in_flight = 50

[entry intake]
service = inspection
owner = millers-desk
traffic_class = bulk
protocol = http
address = 10.77.0.2:80

[entry evening-board]
service = ordering
owner = floor-desk
traffic_class = standard
protocol = udp
address = 10.77.0.8:4000
"""


@when("a declared catalogue with one new, one changed and one missing entry is applied")
def apply_declared(context):
    """Apply a file with --prune."""
    context.file = context.folder / "declared.ini"
    context.file.write_text(DECLARED, encoding="utf-8")
    context.done = command(context, "apply", str(context.file), "--prune", "--yes")


@then("the difference was shown and the catalogue is as declared")
def difference_shown(context):
    """Check output and state."""
    out = context.done.stdout
    assert context.done.returncode == 0, context.done
    for part in ("+ evening-board", "~ orders", "requests_in_flight: 0 -> 50", "- price-board"):
        assert part in out, out
    entries = context.deployment.cluster.operator.state().entries
    assert set(entries) == {"orders", "intake", "evening-board"}
    assert entries["orders"].limits.requests_in_flight == 50


@then("applying it again changes nothing")
def apply_again(context):
    """Apply the same file again."""
    done = command(context, "apply", str(context.file), "--prune", "--yes")
    assert done.returncode == 0 and "nothing to change" in done.stdout, done


@then('asking why names "{entry}", "{owner}" and "{limit}"')
def ask_why(context, entry, owner, limit):
    """Get one more refusal, while a long request holds the limit, and ask for it by its id."""
    cluster = context.deployment.cluster
    host, port = cluster.request_addresses()[0]
    first = HTTPConnection(host, port, timeout=20.0)
    first.request("GET", "/work?id=a&size=200", headers={"Host": entry})
    wait_until(lambda: cluster.target_stats("inspection-1")["running"] == 1, SETTLE_S, "runs")
    second = HTTPConnection(host, port, timeout=20.0)
    second.request("GET", "/work?id=b&size=1", headers={"Host": entry})
    answer = second.getresponse()
    refusal_id = answer.getheader("Refusal-Id") or ""
    answer.read()
    second.close()
    assert refusal_id, "the second request was not refused"
    first.getresponse().read()
    first.close()
    done = command(context, "why", refusal_id)
    assert done.returncode == 0, done
    for part in (entry, owner, limit):
        assert part in done.stdout, done.stdout


@then('"{words}" prints "{text}" and ends with {status:d}')
def command_prints(context, words, text, status):
    """Run one command and check its output and exit status."""
    done = command(context, *words.split())
    assert done.returncode == status, done
    assert text in done.stdout + done.stderr, done
