Feature: Relays of real gateways, on real sockets

  Scenario Outline: A gateway that cannot connect to any server serves through another one
    Given a cluster with two gateways
    When new connections of the first gateway <fault>
    Then its callers get complete responses with the servers' signatures
    And no server gets a key, and each gets the caller's bytes

    Examples:
      | fault        |
      | are refused  |
      | hang         |

  Scenario: A gateway uses its own connections again once they work
    Given a cluster with two gateways
    When connections of the first gateway fail during some calls only
    Then its calls reach the servers directly afterwards

  Scenario: A gateway whose event loop is late relays nothing
    Its own callers go first.
    Given a cluster with two gateways
    When the second gateway's ticks are late
    Then the second gateway relays nothing, and relays again half a second later

  Scenario: A stream whose relay is killed is resumed
    Given a cluster with three gateways
    When the relay of a stream ends in the middle of it
    Then the caller gets each event once and a complete stream

  Scenario: A relay that gets SIGTERM completes the streams that it relays
    Given a cluster with two gateways
    When the relay of a stream gets SIGTERM
    Then the caller gets each event once and a complete stream
    And the relay stops only after that

  Scenario: A gateway that gets SIGTERM completes the streams that go through a relay
    Given a cluster with two gateways
    When the gateway whose stream goes through a relay gets SIGTERM
    Then the caller gets each event once and a complete stream

  Scenario: A caller that leaves ends its request at the server behind a relay
    Given a cluster with two gateways
    When the caller of a stream that goes through a relay closes its connection
    Then the server's connection closes within half a second

  Scenario: Metrics tell a gateway without connections from servers that are down
    Given a cluster with two gateways
    When new connections of the first gateway are refused
    Then the metrics of the first gateway show unreachable servers and relayed requests
    And the metrics of the second gateway show neither
