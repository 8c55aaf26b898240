"""Tests of radishlanding; the folders mirror the package."""
