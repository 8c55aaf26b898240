"""Re-exports that are imported on first use."""

import importlib


def lazy_exports(package, modules):
    """Return a package's ``__getattr__`` for names of its modules.

    Programs start often, and each uses few of what a package offers.

    :param package: Name of the package.
    :param modules: Name of the module that holds each name, without that of
        the package.
    """

    def get(name):
        module = modules.get(name)
        if module is None:
            raise AttributeError(f"{package} has no {name}")
        return getattr(importlib.import_module(f"{package}.{module}"), name)

    return get
