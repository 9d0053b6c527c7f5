"""Steps that check a property."""

from __future__ import annotations

from behave import then
from properties import find
from properties.flows import check_walk_of_restarts


@then('the property "{name}" holds')
def property_holds(context, name):
    """Check one property with hypothesis."""
    find(name)()


@then("a walk of restarts with seed {seed:d} moves no established flow")
def walk_moves_no_flow(context, seed):
    """Check the examples that hypothesis draws with one seed."""
    check_walk_of_restarts(seed)
