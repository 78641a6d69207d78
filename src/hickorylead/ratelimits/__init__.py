"""Rate limits of backend servers, kept by all gateways together."""
