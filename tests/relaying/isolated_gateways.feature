Feature: Gateways that cannot connect to servers

  Scenario: Callers of gateways that reach no server are served like the others
    Given a fleet of 6 gateways and 24 servers with callers
    When 4 gateways lose their connections to all servers for 8 seconds
    Then from 3 seconds on their callers are served at the first attempt 0.95 times as often as the others

  Scenario Outline: Many isolated gateways are served by the others
    Given a fleet of <gateways> gateways and 24 servers with callers
    When <isolated> gateways <fault> for 8 seconds
    Then from 3 seconds on their callers are served at the first attempt 0.95 times as often as the others

    Examples:
      | gateways | isolated | fault                                            |
      | 6        | 5        | lose their connections to all servers            |
      | 24       | 22       | lose their connections to all servers            |
      | 72       | 60       | lose their connections to all servers            |
      | 6        | 4        | keep open connections while new ones are refused |

  Scenario: A zone whose gateways all reach no server is served by the others
    Given a fleet of 24 gateways and 24 servers with callers
    When all gateways of a zone lose their connections to all servers for 8 seconds
    Then from 3 seconds on their callers are served at the first attempt 0.95 times as often as the others
    And the relays of other zones share their requests

  Scenario: Reports of isolated gateways do not move streams of the others
    Given a fleet of 6 gateways and 24 servers with callers
    When 4 gateways lose their connections to all servers for 8 seconds
    Then after 1 second isolated gateways report no stalls

  Scenario: Nothing is sent for relays while connections work
    Given a fleet of 6 gateways and 24 servers with callers
    When 8 seconds pass without a fault
    Then no message about relays was sent and no server was probed

  Scenario: A request for relays in the name of another gateway gets no offer
    Given a fleet of 6 gateways and 24 servers with callers
    When a node asks for relays in the name of another gateway
    Then no message about relays was sent and no server was probed

  Scenario: Gateways ask for relays at a fixed rate
    Given a fleet of 72 gateways and 24 servers with callers
    When 60 gateways lose their connections to all servers for 8 seconds
    Then each of them causes at most 30 messages about relays a second

  Scenario: Isolated gateways keep relays while all coordinators are stopped
    Given a fleet of 6 gateways and 24 servers with callers
    When 4 gateways lose their connections and after 2 seconds all coordinators stop
    Then from 3 seconds on their callers are served at the first attempt 0.95 times as often as the others

  Scenario: Isolated gateways are served during random faults
    Then isolated gateways are served in the random fault schedules 0 to 5
