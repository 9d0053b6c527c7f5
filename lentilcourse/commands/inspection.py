"""Commands that look: status of processes and the audit trail."""

from __future__ import annotations

import datetime
from http.client import HTTPConnection, HTTPException
from json import loads
from typing import Final
from urllib.parse import urlencode

import cattrs

from lentilcourse.commands import COMMANDS
from lentilcourse.commands.output import (
    DEFAULT_SETTINGS,
    EXIT_FAILED,
    fail,
    guarded,
    open_client,
    print_json,
    print_table,
)
from lentilcourse.messages.operators import AuditRequest
from lentilcourse.messages.requests import Refusal
from lentilcourse.operator_client import OperatorClient
from lentilcourse.refusals import describe

ADMIN_TIMEOUT_S: Final = 2.0


@COMMANDS.register("status")
def show_status(*, json: bool = False, settings: str = DEFAULT_SETTINGS) -> None:
    """Show every process: role, failure domain, version in force, flows, refusals.

    :param json: print JSON
    :param settings: settings file of the operator
    """

    def run() -> None:
        client = open_client(settings)
        statuses = client.statuses()
        reports = client.reports()
        if json:
            print_json({"controllers": statuses, "processes": reports})
            return
        print_table(
            ("controller", "role", "term", "version", "log", "committed", "fresh ms", "damaged"),
            [
                (
                    each.name,
                    each.role,
                    each.term,
                    each.version,
                    each.log_index,
                    each.commit_index,
                    each.freshness_ms,
                    "yes" if each.damaged else "no",
                )
                for each in statuses
            ],
        )
        print()
        print_table(
            ("process", "role", "domain", "version", "flows", "requests", "age ms", "refusals"),
            [
                (
                    each.name,
                    each.role,
                    each.domain,
                    each.version,
                    each.flows,
                    each.requests,
                    each.age_ms,
                    sum(each.refusals.values()),
                )
                for each in reports
            ],
        )

    guarded(run)


@COMMANDS.register("refusals")
def show_refusals(*, json: bool = False, settings: str = DEFAULT_SETTINGS) -> None:
    """Show how often each process has refused, by reason, cause and whether the work ran.

    :param json: print JSON
    :param settings: settings file of the operator
    """

    def run() -> None:
        reports = open_client(settings).reports()
        if json:
            print_json({each.name: each.refusals for each in reports})
            return
        rows = [
            (report.name, *label.split(":"), count)
            for report in reports
            for label, count in sorted(report.refusals.items())
        ]
        print_table(("process", "reason", "limit or cause", "ran", "count"), rows)

    guarded(run)


@COMMANDS.register("why")
def explain_refusal(refusal_id: str, *, settings: str = DEFAULT_SETTINGS) -> None:
    """Say why one refusal was made: the owner's limit, or the system's cause.

    :param refusal_id: the id that the refusal carried
    :param settings: settings file of the operator
    """

    def run() -> None:
        client = open_client(settings)
        for report in client.reports():
            found = _ask_refusal(report.admin_address, refusal_id)
            if found is not None:
                _print_refusal(client, report.name, found)
                return
        fail("no process remembers that refusal; each keeps its last few thousand", EXIT_FAILED)

    guarded(run)


def _ask_refusal(address: str, refusal_id: str) -> Refusal | None:
    conn = HTTPConnection(address, timeout=ADMIN_TIMEOUT_S)
    try:
        conn.request("GET", f"/refusal?{urlencode({'id': refusal_id})}")
        answer = conn.getresponse()
        body = answer.read()
        return cattrs.structure(loads(body), Refusal) if answer.status == 200 else None
    except (OSError, HTTPException):
        return None
    finally:
        conn.close()


def _print_refusal(client: OperatorClient, process: str, refusal: Refusal) -> None:
    rows = [("refused by", process), ("because", describe(refusal)), ("ran", refusal.ran)]
    entry = client.state().entries.get(refusal.entry)
    if entry is not None:
        rows += [("entry", entry.name), ("owner", entry.owner), ("limits now", str(entry.limits))]
    print_table(("question", "answer"), rows)


@COMMANDS.register("audit")
def search_audit(
    *,
    subject: str = "",
    operator: str = "",
    verdict: str = "",
    last: int = 50,
    json: bool = False,
    settings: str = DEFAULT_SETTINGS,
) -> None:
    """Search the audit trail of changes, accepted and refused.

    :param subject: only changes of this entry, domain or target
    :param operator: only changes by this operator; "system" for membership
    :param verdict: only accepted, conflict or invalid ones
    :param last: how many records at the most
    :param json: print JSON
    :param settings: settings file of the operator
    """

    def run() -> None:
        req = AuditRequest(subject=subject, operator=operator, verdict=verdict, last=last)
        records = open_client(settings).audit(req)
        if json:
            print_json(records)
            return
        rows = [
            (
                each.sequence,
                _format_time(each.at_ms),
                each.operator,
                each.source,
                f"{each.version_before}>{each.version_after}",
                each.verdict,
                each.summary,
                each.reason,
            )
            for each in records
        ]
        headings = ("no", "time", "operator", "from", "version", "outcome", "change", "reason")
        print_table(headings, rows)

    guarded(run)


def _format_time(at_ms: int) -> str:
    moment = datetime.datetime.fromtimestamp(at_ms / 1000, tz=datetime.UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%S")
