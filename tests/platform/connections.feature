Feature: Connections to replicas

  Scenario Outline: An answer is whole only if its end says so
    Given a replica that answers with <answer>
    When it is asked
    Then the exchange ends with <end>

    Examples:
      | answer                          | end     |
      | a length                        | whole   |
      | chunks                          | whole   |
      | chunks without an end           | failure |
      | too few bytes                   | failure |
      | no length and a close           | whole   |
      | no length and a reset           | failure |
      | bytes that are no answer        | failure |

  Scenario: Bytes after an answer reach no other request
    A faulty replica sends a second answer behind the first one. The next
    request on that connection would take it for its own.
    Given a replica that answers with a length and a second answer
    When it is asked twice
    Then the second request goes over a new connection

  Scenario: A connection is kept no longer than its replica does
    Given a replica that keeps connections for 1 second
    When it is asked twice with 0.7 seconds in between
    Then the second request goes over a new connection

  Scenario: A replica that is not there has not run the request
    Given no replica listens
    When it is asked
    Then the exchange ends with not_run
