"""Steps that check a property."""

from __future__ import annotations

from behave import then
from properties import find


@then('the property "{name}" holds')
def property_holds(context, name):
    """Check one property with hypothesis."""
    find(name)()
