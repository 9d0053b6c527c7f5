"""Entry point of a process on the platform, which names the settings file in a variable.

A restart is paid in processor time before the first packet is served. So the command line of the
daemon is left out, the platform starts Python without `site`, and the garbage collector rests
until the start is over: it would search classes and functions that stay anyway.
"""

from __future__ import annotations

import gc
import os
import sys
from typing import Final

SETTINGS_VARIABLE: Final = "LENTILCOURSE_SETTINGS"


def main() -> None:
    """Run the process that the settings describe."""
    gc.disable()
    from lentilcourse.daemon import EXIT_SETTINGS, run_process  # noqa: PLC0415 - after `disable`
    from lentilcourse.errors import SettingsError  # noqa: PLC0415
    from lentilcourse.settings_file import load_settings  # noqa: PLC0415

    try:
        settings = load_settings(os.environ.get(SETTINGS_VARIABLE, ""))
    except SettingsError as exc:
        print(f"lentilcoursed: {exc}", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    sys.exit(run_process(settings))


if __name__ == "__main__":
    main()
