"""Rate limits that backend servers name, kept by all gateways together."""
