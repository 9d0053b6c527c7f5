"""Properties of the regression run: what it reads off the bench's output."""

from __future__ import annotations

from lentilcourse.lab.regression import SiteResult, read_score
from properties import prop

SCORE = """7 days, 1 at a time
trouble-1 is played, after 76 s
day                  own/srv  score  worth served refused failed  weakest part
quiet-1                 18/0   0.54  0.935  0.996   0.000  0.000  worst windows 0.97; prices 0.054
trouble-1               18/0   0.58  0.865  0.973   0.000  0.001  worst windows 0.69; prices 0.036
GATE {gate}
"""


@prop("regression.gates_are_read")
def check_gates():
    """Only a gate that the bench calls passed counts as passed."""
    worth = {"quiet-1": 0.935, "trouble-1": 0.865}
    for gate, passed in (("passed", True), ("passed on the days played", True), ("failed", False)):
        assert read_score(SCORE.format(gate=gate)) == SiteResult(passed=passed, worth=worth)
    assert read_score("the build failed") == SiteResult(passed=False, worth={})
