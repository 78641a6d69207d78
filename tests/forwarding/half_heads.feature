Feature: Responses that a replica cuts off

  Scenario Outline: A response cut off at any byte is complete only if its framing says so
    A head that is not whole never counts as a response, and the next request
    goes over a new connection.
    Then a response with <response> that is cut off at each byte by a <end> is complete only if it is whole, directly

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
    Then two responses to HEAD with a length use one connection, directly

  Scenario: A part of a head behind a whole response is not taken for the next one
    Then a part of a head that arrives unasked ends a connection that is kept, directly

  Scenario Outline: An entry takes no response to a call that was cut off as complete
    The usual HTTP client ends a response without a length at a reset, too.
    Then an entry takes a call's response with <response> that is cut off at each byte by a <end> as complete only if it is whole

    Examples:
      | response                  | end   |
      | a length                  | close |
      | a length                  | reset |
      | chunks and a trailer      | close |
      | chunks and a trailer      | reset |
      | 100 before the final head | close |
      | 100 before the final head | reset |
      | 103 before the final head | close |
      | 103 before the final head | reset |
      | HTTP/1.0 and a length     | close |
      | HTTP/1.0 and a length     | reset |
      | HTTP/1.0 and no length    | close |
      | HTTP/1.0 and no length    | reset |
      | no length                 | close |
      | no length                 | reset |
      | status 204                | close |
      | status 204                | reset |
      | status 304 and a length   | close |
      | status 304 and a length   | reset |

  Scenario Outline: An entry takes no stream that was cut off as complete
    Then an entry takes a stream with <response> that is cut off at each byte by a <end> as complete only with its last frame

    Examples:
      | response                  | end   |
      | a length                  | close |
      | a length                  | reset |
      | chunks                    | close |
      | chunks                    | reset |
      | no length                 | close |
      | no length                 | reset |

  Scenario Outline: A coordinator takes no response to an order or report that was cut off
    Then an order or report whose response with <response> is cut off at each byte by a <end> has a response only if it is whole

    Examples:
      | response                  | end   |
      | a length                  | close |
      | a length                  | reset |
      | chunks and a trailer      | close |
      | chunks and a trailer      | reset |
      | 100 before the final head | close |
      | 100 before the final head | reset |
      | 103 before the final head | close |
      | 103 before the final head | reset |
      | HTTP/1.0 and a length     | close |
      | HTTP/1.0 and a length     | reset |
      | HTTP/1.0 and no length    | close |
      | HTTP/1.0 and no length    | reset |
      | no length                 | close |
      | no length                 | reset |
      | status 204                | close |
      | status 204                | reset |
      | status 304 and a length   | close |
      | status 304 and a length   | reset |

  Scenario Outline: A caller gets no response that was cut off as complete
    Through a real gateway, whose replicas all cut off at the same byte.
    Then callers of a gateway get a <kind> that its replicas cut off at each byte as complete only if it is whole, directly

    Examples:
      | kind   |
      | call   |
      | stream |

  Scenario: A response that has no body declares none
    A length of 0 would say that the body that HEAD or status 304 leaves out is empty.
    Then callers of a gateway get responses without a body, and no length
