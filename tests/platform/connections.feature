Feature: Connections to replicas

  Scenario Outline: A response is complete only if it ends as its framing requires
    Given a replica that responds with <response>
    When a request is sent to the replica
    Then the result is <result>

    Examples:
      | response                        | result   |
      | a length                        | complete |
      | chunks                          | complete |
      | chunks without an end           | failure  |
      | too few bytes                   | failure  |
      | no length and a close           | complete |
      | no length and a reset           | failure  |
      | bytes that are not HTTP         | failure  |

  Scenario: Bytes after a response are not taken for another response
    A faulty replica sends a second response behind the first one. On the same
    connection the next request would receive the second response.
    Given a replica that responds with a length and a second response
    When two requests are sent to the replica
    Then the second request goes over a new connection

  Scenario: A connection is not reused after the replica's keep-alive time
    Given a replica that keeps connections for 1 second
    When two requests are sent to the replica 0.7 seconds apart
    Then the second request goes over a new connection

  Scenario: A request whose connection could not be opened has not run
    Given a replica that does not listen
    When a request is sent to the replica
    Then the result is not_run
