"""Codecs for the users' platform: its names, formats and HTTP calls.

This package makes no decisions. The platform's names appear nowhere else: each
format is decoded once, into a type of the product with descriptive field names.
"""
