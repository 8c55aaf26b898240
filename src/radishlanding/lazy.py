"""Lazy re-exports of a package's names."""

import importlib


def lazy_exports(package, modules):
    """Return a ``__getattr__`` that imports a package's names on first use.

    Programs start often, and each uses only a few of a package's names.

    :param package: Name of the package.
    :param modules: Name of the module that defines each name, relative to
        the package.
    :returns: The function to assign to the package's ``__getattr__``.
    :raises ValueError: A name is also a module's, which the import of that
        module would put in the name's place.
    """
    shadowed = modules.keys() & set(modules.values())
    if shadowed:
        raise ValueError(f"{package}: {sorted(shadowed)} are modules as well")

    def load(name):
        module = modules.get(name)
        if module is None:
            raise AttributeError(
                f"module {package!r} has no attribute {name!r}"
            )
        return getattr(importlib.import_module(f"{package}.{module}"), name)

    return load
