"""Stand-ins for the programs around the system, such as engines and services.

They use the published interfaces and are not part of the product. Nothing in
`hickorylead` imports them.
"""
