"""Fakes at the interfaces, and checkers, shared by the tests."""
