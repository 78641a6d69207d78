Feature: Responses through a relay that a replica cuts off

  Scenario Outline: A response cut off at any byte is complete only if its framing says so
    A head that is not whole never counts as a response, and the next request
    goes over a new connection.
    Then a response with <response> that is cut off at each byte by a <end> is complete only if it is whole, through a relay

    Examples:
      | response                                 | end   |
      | a length                                 | close |
      | a length                                 | reset |
      | a length of zero                         | close |
      | a length of zero                         | reset |
      | chunks and a trailer                     | close |
      | chunks and a trailer                     | reset |
      | 100 before the final head                | close |
      | 100 before the final head                | reset |
      | 103 before the final head                | close |
      | 103 before the final head                | reset |
      | HTTP/1.0 and a length                    | close |
      | HTTP/1.0 and a length                    | reset |
      | HTTP/1.0 and no length                   | close |
      | HTTP/1.0 and no length                   | reset |
      | no length                                | close |
      | no length                                | reset |
      | status 204                               | close |
      | status 204                               | reset |
      | status 304 and a length                  | close |
      | status 304 and a length                  | reset |
      | a length, to HEAD                        | close |
      | a length, to HEAD                        | reset |
      | chunks, to HEAD                          | close |
      | chunks, to HEAD                          | reset |
      | no length, to HEAD                       | close |
      | no length, to HEAD                       | reset |
      | a body, to HEAD                          | close |
      | a body, to HEAD                          | reset |
      | an upgrade and a second head             | close |
      | an upgrade and a second head             | reset |
      | 101 without an upgrade and a second head | close |
      | 101 without an upgrade and a second head | reset |
      | a second response that nobody asked for  | close |
      | a second response that nobody asked for  | reset |

  Scenario: A response to HEAD ends with its head, whatever length it declares
    Then two responses to HEAD with a length use one connection, through a relay

  Scenario: A part of a head behind a whole response is not taken for the next one
    Then a part of a head that arrives unasked ends a connection that is kept, through a relay

  Scenario Outline: What a replica does before its request is sent is not lost
    The relay reports it together with its consent. A request that waits for
    more would wait until its time is over.
    Then a request whose replica sent a <early> before it reached the relay fails

    Examples:
      | early                      |
      | close                      |
      | reset                      |
      | part of a head             |
      | whole response and a close |

  Scenario Outline: A caller gets no response that was cut off as complete
    Through real gateways, while all replicas cut off at the same byte.
    Then callers of a gateway get a <kind> that its replicas cut off at each byte as complete only if it is whole, through a relay

    Examples:
      | kind   |
      | call   |
      | stream |
