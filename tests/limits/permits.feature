Feature: The limits and permits of one gateway

  Scenario: A replica that named a limit gets no request without a permit
    Given a gateway with 1 replica of each kind
    When the plain replica names a limit of 2 a second
    And a call arrives that may run once
    Then the call is not sent
    And the gateway requests 1 permit that a request needs
    And with the permit the call is sent at once

  Scenario: A call for which there is no permit is refused at once as not run
    The reply states when there may be one. The caller may use another server
    until then.
    Given a gateway with 1 replica of each kind
    When the plain replica names a limit of 2 a second
    And a call arrives that may run once
    And the reply has no permit for 3 seconds
    Then the call is refused as not run, to be retried in about 3 seconds

  Scenario Outline: Only a replica's own response to a request changes its limit
    Given a gateway with 1 replica of each kind
    When the plain replica names a limit of 2 a second
    And <event>
    Then the limit is <state>

    Examples:
      | event                                         | state   |
      | it responds without a limit                   | over    |
      | it fails with status 500 without a limit      | over    |
      | it refuses a request without a limit          | 2       |
      | it sends the response to another request      | 2       |
      | it refuses a request and names a limit of 1   | 1       |
      | it responds and names a limit of 3            | 3       |
      | 61 seconds pass                               | over    |
      | 59 seconds pass                               | 2       |

  Scenario Outline: The permits of a reply count only while they can be valid
    A delayed reply would bring permits in addition to those that were granted
    to others in the meantime. The lease starts with the request for permits.
    Given a gateway with 1 replica of each kind
    When the plain replica names a limit of 2 a second
    And a call arrives that may run once
    And a reply with 2 permits of 2 seconds arrives <when>
    Then the gateway holds <left> permits after that call

    Examples:
      | when                           | left |
      | 0.01 seconds later             | 1    |
      | 2.5 seconds later              | 0    |
      | for a previous start of it     | 0    |

  Scenario: Permits that expire unused are returned
    Given a gateway with 1 replica of each kind
    When the plain replica names a limit of 2 a second
    And a call arrives that may run once
    And a reply with 3 permits of 2 seconds arrives 0.01 seconds later
    And 2.1 seconds pass
    And a call arrives that may run once
    Then its next request for permits returns 2

  Scenario: One old request for permits without a reply has no effect
    A coordinator was lost when the gateway sent it, and there were no requests
    since. If the gateway then assumed that no coordinator runs, it would use
    its saved local share, and all gateways that requested permits at that
    moment would do so at once.
    Given a gateway with 1 replica of each kind
    When the plain replica names a limit of 2 a second
    And a call arrives that may run once
    And 50 seconds pass
    And a call arrives that may run once
    Then the call is not sent
    And the gateway requests 1 permit that a request needs

  Scenario: One of nine gateways that gets no replies sends its own share
    Given a gateway with 1 replica of each kind
    When the plain replica names a limit of 4.5 a second
    And calls arrive for 6 seconds and no coordinator replies
    Then it sends 2 to 3 of them, none before 1.5 seconds have passed

  Scenario: Reports of limits merge in any order
    Reports arrive late and twice, and from nodes with older state. The last
    report of a server's present incarnation counts.
    Given two limits, their end, a new incarnation's limit, and a late old one
    Then in any order the new incarnation's limit is known, and no other

  Scenario: The number of limits is bounded
    Given a gateway with 1 replica of each kind
    When 5000 servers name a limit
    Then it keeps 1024 of them, in less than 1 MB
    And 61 seconds later it keeps none
