"""Imports the step modules of all folders."""

import importlib
import pathlib

_TESTS = pathlib.Path(__file__).parent.parent

for _path in sorted(_TESTS.glob("*/*_steps.py")):
    importlib.import_module(f"tests.{_path.parent.name}.{_path.stem}")
