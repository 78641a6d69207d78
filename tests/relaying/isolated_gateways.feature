Feature: Gateways that cannot connect to servers

  Scenario: Callers of gateways that reach no server are served like the others
    Given a fleet of 6 gateways and 24 servers with callers
    When 4 gateways lose their connections to all servers for 8 seconds
    Then from 3 seconds on their callers are served at the first attempt 0.95 times as often as the others
