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

  Scenario: A gateway whose event loop is late relays little
    Its own callers go first.
    Given a cluster with two gateways
    When the second gateway's ticks are late
    Then it relays no more exchanges than it may, until its ticks are on time

  Scenario Outline: A relay refuses what its offer does not cover
    Given a cluster with two gateways
    Then the second gateway refuses an exchange with <opening> as "<reason>"

    Examples:
      | opening                  | reason          |
      | another token            | relay_refused   |
      | an unknown server        | relay_no_server |
      | the address of a gateway | relay_no_server |
      | a zone that it has lost  | relay_no_zone   |

  Scenario: A gateway that got no offer cannot use a relay
    Given a cluster with two gateways
    Then a request with another token through the second gateway reaches no server

  Scenario: A gateway that is stopping relays nothing new
    Given a cluster with two gateways
    Then the second gateway refuses exchanges once it is stopping

  Scenario: A stream whose relay is killed is resumed
    Given a cluster with three gateways
    When the relay of a stream ends in the middle of it
    Then the caller gets each event once and a complete stream

  Scenario: A relay that gets SIGTERM completes the streams that it relays
    Given a cluster with two gateways
    When the relay of a stream gets SIGTERM
    Then the caller gets each event once and a complete stream
    And the relay waited for the stream, which it did not begin again

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
