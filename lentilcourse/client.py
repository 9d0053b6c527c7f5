"""Entry point of the operators' command line `lentilcourse`; matched by `daemon`.

Each command is a plug-in; see `commands`. Exit codes: 0 done, 1 failed, 2 bad settings or
usage, 3 conflict with another operator, 4 refused as invalid, 5 not in force in time.
"""

from __future__ import annotations

import importlib
from typing import Final

import defopt

from lentilcourse.commands import COMMANDS
from lentilcourse.logs import configure_logging

COMMAND_MODULES: Final = (
    "lentilcourse.commands.catalogue",
    "lentilcourse.commands.controllers",
    "lentilcourse.commands.declared",
    "lentilcourse.commands.domains",
    "lentilcourse.commands.explain",
    "lentilcourse.commands.inspection",
)


def main() -> None:
    """Parse the command line and run one command."""
    configure_logging(process="lentilcourse", role="operator", level="ERROR")
    for module in COMMAND_MODULES:
        importlib.import_module(module)
    commands = {name: COMMANDS.get(name) for name in COMMANDS.names()}
    defopt.run(commands)


if __name__ == "__main__":
    main()
