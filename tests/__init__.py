"""Tests; a package so that they can import the shared fakes."""
