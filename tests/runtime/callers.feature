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
