Feature: What callers lost, by cause, from logs alone

  Scenario Outline: Each loss has the cause that its logs show
    On-call engineers see that a tenth of the requests were late, and have only
    logs. One request among others shows each cause.
    Given the logs of a request that <what>
    Then its loss is put down to "<cause>"

    Examples:
      | what                                     | cause                           |
      | was queued at its replica                | queued or slow at its replica   |
      | found all replicas full for 0.2 s        | waited here for a replica       |
      | came while the process was busy          | this process was busy           |
      | left a replica that lost a member        | moved: its replica had stopped  |
      | left a replica that went on              | moved: false alarm of a stall   |
      | was sent again after a reset             | sent again: reset               |
      | paused for 0.4 s after its first event   | paused at its replica           |
      | was refused as overloaded                | refused: overloaded             |
      | was broken at its deadline               | broken: deadline                |

  Scenario Outline: What was as it should be is no loss
    Given the logs of a request that <what>
    Then it is no loss

    Examples:
      | what                                     |
      | was answered in time                     |
      | was left by its caller at once           |

  Scenario: Lines that are no decisions are counted and passed over
    Given the logs of a request that was queued at its replica
    And half a line, a line of another program and a line of a later version
    Then its loss is put down to "queued or slow at its replica"
    And the tables say that 2 lines are no decisions

  Scenario: The tables name examples, routes, zones and seconds
    Given the logs of a request that left a replica that lost a member
    Then the tables name its id, its route, its zone and its second
