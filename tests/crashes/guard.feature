Feature: What a gateway takes for a request that may have ended its server

  Scenario Outline: A run that gave no whole answer is told
    Whatever its kind, and also if the caller or the time ended it while its
    replica was silent: a server that goes dark closes nothing.
    Given a gateway with 3 replicas of each kind
    When <what>
    Then the gateway tells its home of 1 lost run

    Examples:
      | what                                                        |
      | a call that may run once is reset                           |
      | an idempotent call is reset and then answered               |
      | a stream is reset after 3 events and then goes on elsewhere |
      | the caller of a call leaves after 0.6 silent seconds        |
      | a call that may run once is not answered in its time        |

  Scenario Outline: A run that says nothing about its server is not told
    Given a gateway with 3 replicas of each kind
    When <what>
    Then the gateway tells its home of 0 lost runs

    Examples:
      | what                                               |
      | a call is refused as not run by every replica      |
      | an idempotent call fails with status 500           |
      | the caller of a call leaves after 0.1 seconds      |
      | a stream that gives events is left by its caller   |
      | a call that was answered before is reset           |

  Scenario: A lost run is told twice, and again to another home
    Given a gateway with 3 replicas of each kind
    When a call that may run once is reset
    Then it is told to a home at once, once more 1.5 seconds later, no more
    And it is told to another home at once

  Scenario: Submissions of a request that lost a run are sent one at a time
    In parallel, each could end a server before the first loss is known.
    Given a gateway with 3 replicas of each kind
    When a call that may run once is reset
    Then 1 of 2 more submissions of it is sent at once

  Scenario: An answer after a lost run allows parallel submissions again
    Given a gateway with 3 replicas of each kind
    When an idempotent call is reset and then answered
    Then 2 of 2 more submissions of it are sent at once

  Scenario: What a gateway keeps is bounded
    Given a gateway with 3 replicas of each kind
    When 5000 requests are answered and 5000 runs are lost
    Then it keeps 2048 answered contents and 512 lost runs, in less than 1 MB
    And 31 seconds later no lost run is kept

  Scenario: A request that is blocked while it runs is not tried again
    It may have run, so its caller must not be told that it has not.
    Given a gateway with 3 replicas of each kind
    When an idempotent call runs, is blocked and then reset
    Then it was sent once and ends with status 502

  Scenario: A stream that is blocked after its first events ends as cut
    Given a gateway with 3 replicas of each kind
    When a stream has 3 events, is blocked and then reset
    Then the response is aborted and does not look complete

  Scenario: A blocked request that waits for a replica is refused at once
    Given a gateway with 0 replicas of each kind
    When a call waits for a replica and is blocked
    Then it ends with status 503 and a retry time

  Scenario: A block ends by itself at a gateway that hears nobody any more
    Given a gateway with 3 replicas of each kind
    When a call is blocked for 20 seconds
    Then it is refused until then, and sent after it

  Scenario: Another caller's request, or one with another body, is not blocked
    Given a gateway with 3 replicas of each kind
    When a call is blocked for 20 seconds
    Then the same body on another path, and another body, are sent
