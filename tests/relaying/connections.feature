Feature: Connections through a relay

  Scenario Outline: A response through a relay is complete only if its framing says so
    Given a replica that responds with <response>
    When a request is sent to the replica through a relay
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

  Scenario: Bytes after a response through a relay are not taken for another response
    Given a replica that responds with a length and a second response
    When two requests are sent to the replica through a relay
    Then the second request goes over a new connection

  Scenario Outline: A number that is no status fails an attempt through a relay at once
    Given a replica that responds with status <status>
    When a request is sent to the replica through a relay
    Then the result is failure

    Examples:
      | status |
      | 000    |
      | 101    |
      | 999    |

  Scenario Outline: Bytes without end are cut off behind a relay
    Given a replica that sends <part> without end, <pace>
    When a request is sent to the endless replica through a relay
    Then it fails as <reason> and its connection is closed
    And memory stayed flat

    Examples:
      | part               | pace | reason           |
      | a status line      | fast | head_too_long    |
      | a header           | fast | head_too_long    |
      | headers            | fast | head_too_long    |
      | interim responses  | fast | head_too_long    |
      | a chunk extension  | slow | framing_too_long |
      | a trailer          | fast | framing_too_long |
      | bytes of a body    | fast | answer_too_long  |
      | chunks of a body   | fast | answer_too_long  |

  Scenario: A relay reuses its connection to a replica
    Given a replica that responds with a length
    When two requests are sent to the replica through a relay
    Then both go over one connection to the replica

  Scenario: A request that a relay could not connect to its replica has not run
    Given a replica that does not listen
    When a request is sent to the replica through a relay
    Then the result is not_run

  Scenario Outline: A request that a relay refused has not run
    Given a relay that refuses requests because it is <reason>
    Then a request through it has not run and the replica gets no connection

    Examples:
      | reason              |
      | relay_refused       |
      | relay_no_zone       |

  Scenario: A relay that does not listen has run nothing
    Then a request through a relay that does not listen has not run

  Scenario: A relay that does not reply has run nothing
    Then a request through a relay that does not reply has not run

  Scenario: A request whose relay was lost between its acceptance and the request has not run
    Then a request whose relay is lost before it is sent has not run

  Scenario: A request whose relay is lost after it was sent may have run
    Then a request whose relay ends before the response may have run

  Scenario: The replica stops a request whose caller left the gateway before the relay
    Then the replica's connection closes when the request is cancelled

  Scenario: A relay ends an exchange whose gateway has gone silent
    Then the replica's connection closes after the exchange's limit

  Scenario: A relay does not read ahead of a gateway that does not read
    Then a relay holds back a replica whose response the gateway does not read

  Scenario: A relay does not read ahead of a replica that does not read
    Then a relay holds back a gateway whose request the replica does not read

  Scenario: A relay does not reuse a connection with more bytes than the response
    Then a connection on which the replica sent bytes after its response is closed

  Scenario: A relay does not reuse a connection that has not taken the whole request
    Then a connection on which a part of the request is not written is closed

  Scenario: A relay accepts a limited number of exchanges
    Then a relay at its limit refuses a further exchange as not run

  Scenario: A long body through a relay arrives unchanged
    Then a body of 4000000 bytes reaches the replica through a relay unchanged

  Scenario: A response before the end of the body ends the replica's connection
    Then the relay does not reuse a connection whose request body was not read

  Scenario: A relay that is stopping finishes its exchanges and accepts no others
    Then an exchange that began before the relay stopped completes

  Scenario: Malformed input closes a relay's connection and is logged
    Then bytes that are no frame close the connection of a relay
