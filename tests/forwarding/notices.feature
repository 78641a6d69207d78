Feature: What servers say with an answer about requests to come

  Scenario: A server that asks for a pause gets no requests in it
    It turns requests away and says for how long it wants none from a gateway.
    Given a fleet of 6 gateways and 24 servers with callers
    When two heads turn requests away and ask for 3 seconds, for 8 seconds
    Then no gateway sends over 2 requests in a pause that it was asked for

  Scenario: A server that says that it leaves gets no new requests
    Its answers say so; its heartbeats do not.
    Given a fleet of 6 gateways and 24 servers with callers
    When a head says with its answers that it leaves, for 8 seconds
    Then no gateway sends it a request that came 2 seconds after it was told
