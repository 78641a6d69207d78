Feature: Recorded sessions of the platform, on real sockets

  Scenario Outline: A repeated session gives the recorded lines
    Three coordinators with disks, a gateway, and stand-in backend servers run.
    The golden file holds what the caller, servers and operator sent and
    received.
    Then the platform session "<name>" gives its recorded lines

    Examples:
      | name                 |
      | stream               |
      | resumed_stream       |
      | plain_call           |
      | configuration_change |
      | leaving_replica      |
