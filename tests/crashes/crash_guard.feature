Feature: Runs that a gateway reports as lost, and requests that it blocks

  Scenario Outline: A run without a complete response is reported
    The gateway reports the run for each kind of request, and also if the run
    ended because the caller disconnected, or the request's time ran out, while
    the replica sent nothing: a server that loses power closes no connection.
    Given a gateway with 3 replicas of each kind
    When <event>
    Then the gateway reports 1 lost run to its home coordinator

    Examples:
      | event                                                        |
      | a call that may run once is reset                            |
      | an idempotent call is reset and then completed               |
      | a stream is reset after 3 events and then continues          |
      | the caller of a call disconnects after 0.6 silent seconds    |
      | a call that may run once gets no response in its time        |

  Scenario Outline: A run that is no evidence against its server is not reported
    Given a gateway with 3 replicas of each kind
    When <event>
    Then the gateway reports 0 lost runs to its home coordinator

    Examples:
      | event                                                |
      | a call is refused as not run by every replica        |
      | an idempotent call fails with status 500             |
      | the caller of a call disconnects after 0.1 seconds   |
      | the caller of a stream that progresses disconnects   |
      | a call that was completed before is reset            |

  Scenario: A lost run is reported twice, and again to another home coordinator
    Given a gateway with 3 replicas of each kind
    When a call that may run once is reset
    Then the gateway reports the lost run to its home coordinator at once and again 1.5 seconds later, and not after that
    And the gateway reports the lost run to another home coordinator at once

  Scenario: Submissions of a request that lost a run are sent one at a time
    If they were sent in parallel, each submission could crash a server before
    the first loss is recorded.
    Given a gateway with 3 replicas of each kind
    When a call that may run once is reset
    Then 1 of 2 more submissions of that call is sent at once

  Scenario: A complete response after a lost run allows parallel submissions again
    Given a gateway with 3 replicas of each kind
    When an idempotent call is reset and then completed
    Then 2 of 2 more submissions of that call are sent at once

  Scenario: The number of completed requests and lost runs that a gateway keeps is bounded
    Given a gateway with 3 replicas of each kind
    When 5000 requests are completed and 5000 runs are lost
    Then the gateway keeps 2048 completed requests and 512 lost runs, in less than 1 MB
    And 31 seconds later no lost run is kept

  Scenario: A request that is blocked while it runs is not retried
    The request may have run, so its caller must not get a refusal as not run.
    Given a gateway with 3 replicas of each kind
    When an idempotent call runs, is blocked and then reset
    Then it was sent once and ends with status 502

  Scenario: A blocked stream that breaks after its first events is aborted
    Given a gateway with 3 replicas of each kind
    When a stream has 3 events, is blocked and then reset
    Then the response is aborted and does not look complete

  Scenario: A blocked request that waits for a replica is refused at once
    Given a gateway with 0 replicas of each kind
    When a call waits for a replica and is blocked
    Then it ends with status 503 and a retry time

  Scenario: A block expires at a gateway that receives no more updates
    Given a gateway with 3 replicas of each kind
    When a call is blocked for 20 seconds
    Then that call is refused while it is blocked, and sent after that

  Scenario: A block does not apply to a request with another path or another body
    Given a gateway with 3 replicas of each kind
    When a call is blocked for 20 seconds
    Then the same body on another path, and another body, are sent
