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

  Scenario Outline: A number that is no status fails its attempt at once
    A status below 100 was taken for that of an interim response.
    Given a replica that responds with status <status>
    When a request is sent to the replica
    Then the result is failure

    Examples:
      | status |
      | 000    |
      | 099    |
      | 101    |
      | 600    |
      | 999    |

  Scenario Outline: An order or probe gets no response with a number that is no status
    Given a replica that responds with status <status>
    When a coordinator calls the replica
    Then the call has no response because of bad_status

    Examples:
      | status |
      | 000    |
      | 101    |
      | 999    |

  Scenario: An interim response is followed by the final one
    Given a replica that responds with an interim response
    When a request is sent to the replica
    Then the result is complete

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

  Scenario Outline: Bytes without end are cut off
    A replica in trouble may send bytes that are no response until its connection
    is closed. They must not fill the gateway's memory.
    Given a replica that sends <part> without end, <pace>
    When a request is sent to the endless replica
    Then it fails as <reason> and its connection is closed
    And memory stayed flat

    Examples:
      | part               | pace | reason           |
      | a status line      | fast | head_too_long    |
      | a header           | fast | head_too_long    |
      | a header           | slow | head_too_long    |
      | headers            | fast | head_too_long    |
      | interim responses  | fast | head_too_long    |
      | a chunk extension  | fast | framing_too_long |
      | a chunk extension  | slow | framing_too_long |
      | a trailer          | fast | framing_too_long |
      | bytes of a body    | fast | answer_too_long  |
      | chunks of a body   | fast | answer_too_long  |
      | a body with length | fast | answer_too_long  |

  Scenario: Bytes without end after a response close the connection
    Nothing waits for them, so they are not read at all.
    Given a replica that sends bytes after its response without end, fast
    When a request is sent to the endless replica
    Then the request is complete and its connection is closed
    And memory stayed flat
