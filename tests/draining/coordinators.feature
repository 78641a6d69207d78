Feature: Planned stops of coordinators

  Scenario: A change that waits for its majority at SIGTERM is acknowledged
    A coordinator whose ticks end before its calls never sends a lost message
    again.
    When a coordinator stops while a change waits for lost messages
    Then the call is answered with 200
    And the coordinator has ended within its grace time

  Scenario: A read that waits for its majority at SIGTERM is answered
    When a coordinator stops while a read waits for lost messages
    Then the call is answered with 200
    And the coordinator has ended within its grace time

  Scenario: A change whose body still comes at SIGTERM is acknowledged
    When a coordinator stops while the body of a change still comes
    Then the call is answered with 200
    And the coordinator has ended within its grace time

  Scenario: A body that never ends does not outlast the grace time
    When a coordinator stops while the body of a change stands still
    Then the call is answered with 503 and Retry-After
    And a line of the log names the call as "connection_refused"
    And the coordinator has ended within its grace time

  Scenario: A change that stays undecided gets an answer that says so
    When a coordinator stops while a change waits for messages that never come
    Then the call is answered with 503 and Retry-After
    And the answer says that the change may have been committed
    And a line of the log names the call as "operator_call_undecided"
    And the coordinator has ended within its grace time

  Scenario: Calls that come while a change is owed are refused at once
    When calls come to a coordinator that stops while a change waits
    Then each of them is answered with 503 and Retry-After within 0.2 s
    And the call is answered with 200

  Scenario: A connection to the metrics port does not delay the end
    The caller does not read what it has asked for.
    When a coordinator stops while a caller of its metrics port does not read
    Then the coordinator has ended within 1 s

  Scenario: A second SIGTERM changes nothing
    When a coordinator gets SIGTERM twice while a change waits
    Then the call is answered with 200
    And the coordinator has ended within its grace time
