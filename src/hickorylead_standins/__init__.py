"""Small stand-ins for what surrounds the system: engines, services, callers.

They speak the published interfaces and are apart from the product. Nothing in
`hickorylead` imports them.
"""
