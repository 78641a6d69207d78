Feature: Work that fails

  Scenario Outline: A request whose silent attempt is lost after its successor was refused waits like others
    The request has no attempt then, so none that could be silent.
    Given a gateway with 2 replicas of each service
    When the replica of a <request> falls silent, the next one refuses the request, and the first one is lost
    Then the gateway's ticks do not fail
    And another request that waits for a response gets its final effect at its deadline
    And the <request> gets its final effect

    Examples:
      | request |
      | stream  |
      | call    |

  Scenario: Random orders of silence, refusal and loss violate no promise
    Then the lost silence schedules 92, 111, 113 and 138 violate no promise
    And 60 lost silence schedules violate no promise

  Scenario Outline: A request that cannot be handled costs no other request anything
    Given a gateway with 2 replicas of each service
    When <work> of one of two requests fails
    Then that request is answered with status 502 and a log line that names it
    And another request that waits for a response gets its final effect at its deadline

    Examples:
      | work               |
      | a check            |
      | a response's head  |

  Scenario: A request that cannot be handled before it was sent has not run
    Given a gateway with 2 replicas of each service
    When the dispatch of a request fails
    Then that request is answered with status 503 and a log line that names it

  Scenario Outline: A step of a tick that fails costs no other step
    Given three coordinators with gateways
    When the step "<step>" of a <node> fails in each tick
    Then the other steps of the <node> are still carried out
    And each failure is in its log

    Examples:
      | node        | step                |
      | coordinator | heartbeats          |
      | coordinator | probes              |
      | coordinator | hellos              |
      | gateway     | reports             |
      | gateway     | cleanup             |

  Scenario: An effect that fails costs no other effect
    When the second of three effects cannot be carried out
    Then the first and the third are carried out and the second is in the log

  Scenario: A message that cannot be handled costs no other message of its connection
    When the first of two messages of a node cannot be handled
    Then the second one is handled and the first is in the log
