Feature: The limits that one gateway knows, and its permits

  Scenario: A replica that named a limit gets no request without a permit
    Given a gateway with 1 replica of each kind
    When the plain replica names a limit of 2 a second
    And a call arrives that may run once
    Then the call is not sent
    And the gateway requests 1 permit that a request needs
    And the call is sent at once when the permit arrives

  Scenario: A call for which there is no permit is refused at once as not run
    The coordinator's reply states when there may be a permit. The caller may
    use another server until then.
    Given a gateway with 1 replica of each kind
    When the plain replica names a limit of 2 a second
    And a call arrives that may run once
    And the reply states that there is no permit for 3 seconds
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

  Scenario Outline: The permits in a reply are valid only during their lease
    A delayed reply would bring permits in addition to the permits that were
    granted to other gateways in the meantime. The lease starts with the request
    for permits.
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

  Scenario: A gateway returns permits that expired unused
    Given a gateway with 1 replica of each kind
    When the plain replica names a limit of 2 a second
    And a call arrives that may run once
    And a reply with 3 permits of 2 seconds arrives 0.01 seconds later
    And 2.1 seconds pass
    And a call arrives that may run once
    Then the gateway's next request for permits returns 2 permits

  Scenario: A gateway does not use its local share because of one old request for permits without a reply
    A coordinator was lost when the gateway sent the request for permits, and
    there were no requests since. If the gateway now assumed that no coordinator
    runs, it would use its saved local share, and all gateways that requested
    permits at that moment would do the same at once.
    Given a gateway with 1 replica of each kind
    When the plain replica names a limit of 2 a second
    And a call arrives that may run once
    And 50 seconds pass
    And a call arrives that may run once
    Then the call is not sent
    And the gateway requests 1 permit that a request needs

  Scenario: A late gateway does not use its local share before it has read the replies
    Given a gateway with 1 replica of each kind
    When the plain replica names a limit of 100 a second
    And calls arrive for 0.4 seconds and no coordinator replies
    And the gateway is 1.3 seconds late, and calls that arrive come first
    Then none of these calls is sent

  Scenario: A gateway without replies from coordinators uses an equal share of the limit
    The gateway assumes that there are nine gateways.
    Given a gateway with 1 replica of each kind
    When the plain replica names a limit of 4.5 a second
    And calls arrive for 6 seconds and no coordinator replies
    Then the gateway sends 2 to 3 of these calls, none before 1.5 seconds have passed

  Scenario: Reports of a server's limit can be merged in any order
    Reports arrive late and twice, and from nodes with older state. The latest
    report of the server's present incarnation counts.
    Given two limits, their end, the limit of a new incarnation, and a late report of the old incarnation
    Then in any order only the limit of the new incarnation is known

  Scenario: The number of limits that a gateway stores is bounded
    Given a gateway with 1 replica of each kind
    When 5000 servers name a limit
    Then the gateway keeps 1024 limits, in less than 1 MB
    And 61 seconds later the gateway keeps no limit
