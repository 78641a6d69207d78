Feature: Planned stops of entries and control processes

  Scenario: A call whose body still comes at SIGTERM is answered
    The entry has no pending request while the body comes.
    When an entry stops while the body of a call still comes
    Then the call gets its whole response with status 200
    And the entry has ended within its grace time

  Scenario: A call that may not end in time is refused once its body has come
    Its deadline lies beyond the grace time, and no call has ended before.
    When an entry stops while the body of a call of unknown length still comes
    Then the call is refused as entry_stopping with 503 and Retry-After
    And the entry has ended within its grace time

  Scenario: A body that never ends is refused at the end of the grace time
    When an entry stops while the body of a call stands still
    Then the call is refused as entry_stopping with 503 and Retry-After
    And the entry has ended within its grace time

  Scenario: A caller that is refused while it sends gets its whole refusal
    A socket that is closed with unread bytes resets the connection.
    When a caller goes on sending its body until it is refused by a stop
    Then the call is refused as entry_stopping with 503 and Retry-After
    And the connection was not reset
    And the entry has ended within its grace time

  Scenario: A stream on a kept connection is complete, and the next one refused
    When an entry stops while callers stream on kept connections
    Then no stream is cut and each connection is closed
    And the entry has ended within its grace time

  Scenario: A request that comes after SIGTERM is refused at once
    When a request comes on a kept connection of an entry that is stopping
    Then the call is refused as entry_stopping with 503 and Retry-After
    And the call gets its whole response with status 200

  Scenario: A response whose last bytes wait for a slow reader arrives
    The backend has responded, and the process has no pending request.
    When an entry stops while a caller reads a long response late
    Then the call gets its whole response with status 200
    And the entry has ended within its grace time

  Scenario: A call that outlasts the grace time ends with a response and a line
    When an entry stops while a call takes longer than its grace time
    Then the call is answered with 504, entry_stopping and may_have_run
    And one line of the log names the call and its end
    And the backend has seen that the call was cancelled
    And the entry has ended within its grace time

  Scenario: An operator's change that waits at SIGTERM gets an answer
    When an entry stops while a change waits for control processes
    Then the change is answered as one whose outcome is unknown
    And the entry has ended within its grace time

  Scenario: A caller that does not read its metrics does not outlast the grace time
    When an entry stops while a caller of its metrics does not read
    Then the entry has ended within its grace time

  Scenario: A second SIGTERM changes nothing
    When an entry gets SIGTERM twice while the body of a call still comes
    Then the call gets its whole response with status 200
    And the entry has ended within its grace time

  Scenario: A connection to the port of a control process does not delay its end
    The caller does not read what it has asked for.
    When a control process stops while a caller of its metrics does not read
    Then the process has ended within 1 s
