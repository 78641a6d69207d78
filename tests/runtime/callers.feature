Feature: Connections to callers

  Scenario: Chunks for a caller that reads slowly keep their order
    A connection is full, so the sending task waits with a chunk. The connection
    becomes writable and the next chunk arrives before the task runs again.
    If that chunk were written at once, it would overtake the waiting chunk.
    Given a caller whose connection is full after the first chunk
    When two more chunks arrive, one before and one after it is writable again
    Then the caller receives all chunks in order

  Scenario: A response that cannot be written affects no other response
    A replica's header has a byte that the HTTP server refuses to write. Chunks
    are written while the reducer's effects are applied; an exception there
    would skip the remaining effects, also those for other callers.
    Given a caller whose connection refuses the head of a response
    When the response arrives
    Then nothing is raised, the response is aborted, and the reason is logged

  Scenario: A caller that connects to a starting gateway waits until it is served
    All gateways lose power and restart. Each gateway opens its port at once,
    a second before its other modules are loaded. A caller that connects in that
    second is served afterwards; if refused, the caller would use up its only
    other attempt.
    Given a port that was opened before anything else
    When a request is sent before the listener starts
    Then the response has status 200

  Scenario Outline: A response that is stopped between its head and its body is not whole
    A status of 200 with an empty body would look like a success.
    Then a response with <framing> that is stopped behind its head is not whole

    Examples:
      | framing |
      | length  |
      | chunks  |

  Scenario Outline: What follows a request does not get into its response
    A rejection that is written at once would be a part of the body.
    Then a head that is <problem> behind a request leaves its response whole

    Examples:
      | problem   |
      | malformed |
      | too long  |

  Scenario Outline: A caller that sends more than is read receives its response
    Closing a socket with unread bytes resets it, and what is on its way is lost.
    Then a caller that keeps sending <what> receives its whole response

    Examples:
      | what                     |
      | a body                   |
      | a head that is malformed |
      | a head that is too long  |

  Scenario: A queued request does not cut off the response that closes its connection
    Then a caller with requests in the queue receives the response that closes

  Scenario Outline: A caller that reads slowly receives the response that closes its connection
    Reading on ends after a time, also if the response is not sent yet.
    Then a caller that reads slowly receives its whole response behind <what>

    Examples:
      | what                    |
      | a body that is not read |
      | a queued request        |

  Scenario: The idle time does not end a connection on which a head arrives
    Then a request whose head takes longer than the idle time is served

  Scenario: The time for a head does not run while another response is sent
    Then a part of a head behind a response that takes long does not end it
    And a head that does not end behind a whole response gets status 408 alone
