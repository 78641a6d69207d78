"""Pauses and leave notices that servers send with their responses."""
