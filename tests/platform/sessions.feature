Feature: Sessions on the platform, on real sockets

  Scenario Outline: A session is as it was recorded
    Three coordinators with disks, a gateway, and backend servers that speak
    the platform's calls; the record holds what caller, servers and operator
    sent and saw.
    Then the platform session "<name>" is as recorded

    Examples:
      | name                 |
      | stream               |
      | resumed_stream       |
      | plain_call           |
      | configuration_change |
      | leaving_replica      |
