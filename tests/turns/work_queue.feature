Feature: The work of a process waits in lanes by urgency

  Scenario: Urgent work is done before all that waits
    Given a queue with ordinary work a, background work b, urgent work c
    Then the work is done in the order c, a, b

  Scenario: Work of a lane is done in the order of its arrival
    Given a queue with ordinary work a, urgent work b, ordinary work c
    And a queue that has also urgent work d
    Then the work is done in the order b, d, a, c

  Scenario: Each turn does other work though urgent work fills it
    A flood of urgent work must not keep reports from being handled.
    Given a queue with urgent work a, urgent work b, ordinary work c
    And a queue that has also ordinary work d, ordinary work e, ordinary work f
    And a queue that has also ordinary work g
    When each piece of work takes 0.02 seconds
    Then the first turn does a, b, c, d, e, f
    And the next turn does g

  Scenario: A turn with work that is not urgent ends in time
    What has arrived meanwhile may be urgent.
    Given a queue with 100 pieces of ordinary work
    When each piece of work takes 0.003 seconds
    Then each turn but the last does 4 pieces of work

  Scenario: Urgent work that arrives during a turn is next
    Given a queue with 100 pieces of ordinary work
    When one piece of work is taken and urgent work u is added
    Then the work taken next is u

  Scenario: Background work waits behind ordinary work
    Given a queue with background work a, ordinary work b
    When nothing is taken for 0.5 seconds
    Then the work is done in the order b, a

  Scenario: Background work that has waited too long goes before ordinary work
    A flood of reports must not keep servers from being given orders.
    Given a queue with background work a, ordinary work b, urgent work c
    When nothing is taken for 0.51 seconds
    Then the work is done in the order c, a, b

  Scenario: A steady flood puts background work off no longer than its limit
    A flood of reports must not keep servers from being given orders.
    Given a queue with background work a
    When ordinary work of 0.004 seconds arrives every 0.004 seconds
    Then background work a is done within 0.52 seconds

  Scenario: The wait of work is that since it was added
    Given a queue with ordinary work a
    When nothing is taken for 0.3 seconds
    Then work a of the ordinary lane has waited 0.3 seconds
