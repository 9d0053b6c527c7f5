"""Commands that look: status of processes and the audit trail."""

from __future__ import annotations

import datetime

from lentilcourse.commands import COMMANDS
from lentilcourse.commands.output import (
    DEFAULT_SETTINGS,
    guarded,
    open_client,
    print_json,
    print_table,
)
from lentilcourse.messages import AuditRequest


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
