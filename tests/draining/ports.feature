Feature: Ports for probes and metrics beside a planned stop

  Scenario Outline: A connection to the <port> port of a gateway delays no end
    The caller does not read what it has asked for, and keeps the connection.
    When a gateway stops while a caller of its <port> port does not read
    Then the gateway has ended within its grace time

    Examples:
      | port      |
      | readiness |
      | metrics   |
