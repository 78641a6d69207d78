Feature: What a gateway knows of limits, and which permits it holds

  Scenario: A replica that named a limit gets no request without a permit
    Given a gateway with 1 replica of each kind
    When the plain replica names a limit of 2 a second
    And a call comes that may run once
    Then the call is not sent
    And the gateway asks its home for 1 permit that a request needs
    And with the permit the call is sent at once

  Scenario: A call that no permit comes for is refused at once as not run
    The reply tells when there may be one. Its caller may go elsewhere until then.
    Given a gateway with 1 replica of each kind
    When the plain replica names a limit of 2 a second
    And a call comes that may run once
    And the reply has no permit for 3 seconds
    Then the call is refused as not run, to come back in about 3 seconds

  Scenario Outline: Only a replica's own answer to a request tells of its limit
    Given a gateway with 1 replica of each kind
    When the plain replica names a limit of 2 a second
    And <what>
    Then the limit is <state>

    Examples:
      | what                                          | state   |
      | it answers without a limit                    | over    |
      | it fails with status 500 without a limit      | over    |
      | it refuses a request without a limit          | 2       |
      | an answer to another request comes from it    | 2       |
      | it refuses a request and names a limit of 1   | 1       |
      | it answers and names a limit of 3             | 3       |
      | 61 seconds pass                               | over    |
      | 59 seconds pass                               | 2       |

  Scenario Outline: A reply brings permits only while they can be valid
    A reply that was held up on its way would bring permits beside those that
    were given to others meanwhile. They count from the asking.
    Given a gateway with 1 replica of each kind
    When the plain replica names a limit of 2 a second
    And a call comes that may run once
    And a reply with 2 permits of 2 seconds comes <when>
    Then the gateway holds <left> permits after that call

    Examples:
      | when                    | left |
      | 0.01 seconds later      | 1    |
      | 2.5 seconds later       | 0    |
      | for a former life of it | 0    |

  Scenario: Permits that end unused are given back
    Given a gateway with 1 replica of each kind
    When the plain replica names a limit of 2 a second
    And a call comes that may run once
    And a reply with 3 permits of 2 seconds comes 0.01 seconds later
    And 2.1 seconds pass
    And a call comes that may run once
    Then its next request for permits gives 2 back

  Scenario: One request for permits that got no reply long ago is no loss
    A coordinator was lost as the gateway asked, and nobody asked anything since.
    If the gateway took itself for alone for that, it would send what it saved by
    itself, and all that asked in that moment would do so at once.
    Given a gateway with 1 replica of each kind
    When the plain replica names a limit of 2 a second
    And a call comes that may run once
    And 50 seconds pass
    And a call comes that may run once
    Then the call is not sent
    And the gateway asks its home for 1 permit that a request needs

  Scenario: One of nine gateways that asks in vain sends its own part
    Given a gateway with 1 replica of each kind
    When the plain replica names a limit of 4.5 a second
    And calls come for 6 seconds, and no reply
    Then it sends 2 to 3 of them, from 1.5 seconds on

  Scenario: What servers tell merges in any order
    News come late and twice, and from nodes that have heard less. What a server
    told last counts, and only its present life.
    Given news of two limits, their end, a new life's limit, and the old life late
    Then in any order the new life's limit is known, and no other

  Scenario: What is known of limits is bounded
    Given a gateway with 1 replica of each kind
    When 5000 servers name a limit
    Then it keeps 1024 of them, in less than 1 MB
    And 61 seconds later it keeps none
