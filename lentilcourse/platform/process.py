"""Entry point of a process on the platform, which names the settings file in a variable.

The command line of the daemon is left out, because its import is paid at each restart.
"""

from __future__ import annotations

import os
import sys
from typing import Final

from lentilcourse.daemon import EXIT_SETTINGS, run_process
from lentilcourse.errors import SettingsError
from lentilcourse.settings_file import load_settings

SETTINGS_VARIABLE: Final = "LENTILCOURSE_SETTINGS"


def main() -> None:
    """Run the process that the settings describe."""
    try:
        settings = load_settings(os.environ.get(SETTINGS_VARIABLE, ""))
    except SettingsError as exc:
        print(f"lentilcoursed: {exc}", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    sys.exit(run_process(settings))


if __name__ == "__main__":
    main()
