"""Tests of radishlanding, in folders that mirror the package."""
