"""Steps for the names that packages export."""

import importlib
import pkgutil
import types

from behave import then
from behave import when

import radishlanding
from radishlanding.lazy import lazy_exports


@when("all modules are imported")
def _import_all(context):
    context.packages = []
    for info in pkgutil.walk_packages(
        radishlanding.__path__, "radishlanding."
    ):
        module = importlib.import_module(info.name)
        if info.ispkg:
            context.packages.append(module)


@then("no exported name of a package is a module")
def _no_module(context):
    names = [
        f"{package.__name__}.{name}"
        for package in context.packages
        for name in getattr(package, "__all__", [])
        if isinstance(getattr(package, name), types.ModuleType)
    ]
    assert not names, names


@then('lazy exports of a name "{name}" from a module "{module}" are rejected')
def _rejected(_context, name, module):
    try:
        lazy_exports("package", {name: module})
    except ValueError as exc:
        assert name in str(exc), exc
        return
    raise AssertionError("the name was accepted")
