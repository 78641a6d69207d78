Feature: Evicted connections get a response and free what they used

  Scenario: A stalled body that is evicted gets a refusal that its caller can read
    Given a listener whose clients may use 8 MiB
    When a body that has stalled is evicted for one that makes progress
    Then its caller reads a whole response with status 503, Retry-After and a close
    And the other body is handled

  Scenario: A connection frees what it used, however it ends
    Given a listener whose clients may use 8 MiB
    Then it uses nothing after a caller has <ended>
      | ended                            |
      | closed within a head             |
      | closed within a body             |
      | reset within a body              |
      | closed behind a queued request   |
      | sent a malformed head            |
      | sent a head that is too long     |
      | got its response and closed      |
      | had a handler that failed        |

  Scenario: An evicted caller that takes nothing is not waited for
    Its connection would keep its place for ever.
    Then an evicted connection with unsent bytes is closed after the time to read on
