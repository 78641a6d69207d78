"""Fakes and checkers that the tests share."""
