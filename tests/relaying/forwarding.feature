Feature: Requests through relays

  Background:
    Given a gateway with 3 plain replicas and 2 relays

  Scenario: A request whose servers cannot be connected to goes through a relay
    Given connections to the replicas fail
    When a call arrives
    Then the call is sent through a relay

  Scenario: A server that the gateway can connect to is used directly
    Given connections to all replicas but one fail
    When a call arrives
    Then the call is sent directly to that replica

  Scenario: A silent server is no reason to use a relay
    When a replica sends no response for 1 second and accepts connections
    Then calls are still sent to it directly

  Scenario: A request that may run once is not sent again after its relay was lost
    Given connections to the replicas fail
    When a non-idempotent call is sent through a relay that is lost
    Then the call was sent once
    And its caller gets status 502

  Scenario Outline: A request that its relay did not send goes through another relay
    Given connections to the replicas fail
    When a non-idempotent call gets "<reason>" from a relay
    Then the call is sent through the other relay

    Examples:
      | reason            |
      | relay_unreachable |
      | relay_refused     |
      | relay_no_zone     |

  Scenario: A server that a relay cannot connect to is not tried again by the request
    Given connections to the replicas fail
    When a non-idempotent call gets "relay_no_server" from a relay
    Then the call is sent to another replica

  Scenario: Attempts that no server received spend no retries
    Given connections to the replicas fail
    And no retries are left for the calls
    When a non-idempotent call gets "relay_refused" from a relay
    Then the call is sent through the other relay

  Scenario: A request whose connection was lost is sent again over a new one
    The idle connections to the other servers may be lost too, and a request
    that is sent on one of these could not be sent a third time.
    When the connection of an idempotent call is reset
    Then the call is sent again over a new connection

  Scenario: A request that its relay may have sent spends a retry
    Given connections to the replicas fail
    And no retries are left for the calls
    When an idempotent call is sent through a relay that is lost
    Then the call was sent once

  Scenario: Attempts through relays count towards the most servers of a request
    Given connections to the replicas fail
    When an idempotent call is lost by each relay that it is sent through
    Then the call was sent 2 times

  Scenario: A request is refused at once when each relay refused it
    Given connections to the replicas fail
    When each relay of a non-idempotent call refuses it
    Then its caller gets status 503
    And at most 2 relays were tried

  Scenario: A request stops trying relays that cannot be connected to
    Given connections to the replicas fail
    When relays keep offering themselves and a non-idempotent call connects to none
    Then its caller gets status 503
    And at most 6 relays were tried

  Scenario: The time left is what a server gets through a relay
    Given connections to the replicas fail
    When a call that waited 0.4 seconds at the gateway is sent through a relay
    Then the server gets 0.4 seconds less than the caller's time

  Scenario: A server that asked for a pause gets nothing through a relay
    Given connections to the replicas fail
    When a replica requests a pause of 3 seconds through a relay
    Then no call is sent to that replica through a relay for 3 seconds

  Scenario: A server that is leaving gets nothing through a relay
    Given connections to the replicas fail
    When a replica announces through a relay that it leaves
    Then no call is sent to that replica through a relay for 3 seconds

  Scenario: A rate limit that a server names holds through a relay
    Given connections to the replicas fail
    When all replicas name a limit through a relay
    Then calls beyond the permits are refused with a retry time

  Scenario: A blocked request is not sent through a relay
    Given connections to the replicas fail
    When a request that is blocked arrives
    Then the call was sent 0 times
    And its caller gets status 503

  Scenario: A caller that leaves ends its request at the relay
    Given connections to the replicas fail
    When the caller of a call that was sent through a relay leaves
    Then the exchange through the relay is cancelled

  Scenario: A change of the configuration does not end requests through relays
    Given connections to the replicas fail
    When the configuration changes while a call runs through a relay
    Then the caller gets the response of the call

  Scenario: Requests are spread over the relays
    Given connections to the replicas fail
    When 40 calls are sent through relays at the same time
    Then each relay has 20 of them

  Scenario: Without a relay requests are refused at once with a retry time
    Given connections to the replicas fail
    And the relays have withdrawn
    When a call arrives 0.2 seconds after relays were asked for in vain
    Then its caller gets status 503
    And it is refused at once as "servers_unreachable" with a retry time

  Scenario: A request waits for the first offers of relays
    Given connections to the replicas fail before any relay is known
    When a call arrives and a relay offers itself 0.01 seconds later
    Then the call is sent through a relay

  Scenario: The gateway uses its own connections again when a probe succeeds
    Given connections to the replicas fail
    When connections to the replicas work again
    Then calls are sent directly within 0.6 seconds

  Scenario: A gateway probes servers at a fixed rate while connections fail
    Given connections to the replicas fail
    When 10 seconds pass with 20 calls a second
    Then at most 2 probes a second were sent
