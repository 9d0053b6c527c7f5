"""Writes the settings of both deployments under examples/."""

from __future__ import annotations

from pathlib import Path

import defopt

from lentilcourse.lab.shapes import SHAPES, Layout, write_files


def run(*, folder: str = "examples") -> None:
    """Write the settings files of every process of both deployments.

    :param folder: folder that gets one folder for each deployment
    """
    for number, shape in enumerate(SHAPES.values()):
        layout = Layout(shape=shape, prefix=f"127.{50 + number}", folder=f"run/{shape.name}")
        write_files(layout, Path(folder) / shape.name)


if __name__ == "__main__":
    defopt.run(run)
