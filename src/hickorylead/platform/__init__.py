"""The users' platform: its names, formats and calls, and nothing that decides.

The platform's names end here. Each is decoded once, into a type of the product
whose fields say what they hold.
"""
