Feature: Forwarded requests

  Scenario: A call that may run once is not sent again after a reset
    The connection to a replica is reset after it accepted an urgent alert,
    which may have run. A second alert would send two crews, so the caller must
    not get a status that means "not run".
    Given a gateway with 3 plain replicas
    When a non-idempotent call is reset
    Then it was sent once and ends with status 502

  Scenario: A call that a replica refused as not run is sent to another one
    Given a gateway with 3 plain replicas
    When a non-idempotent call is refused as not run and then completed
    Then it was sent to two replicas, once each, and ends with status 200

  Scenario: A call that every replica refused gets a retry time
    All replicas are full and state that they did not run the alert, so the
    caller may be told to retry it.
    Given a gateway with 2 plain replicas
    When a non-idempotent call is refused by every replica
    Then it ends with status 503 and a retry time

  Scenario: Callers that are refused together get different retry times
    If all callers of a refused burst retried at the same moment, they would
    find the replicas full again.
    Given a gateway with 0 plain replicas
    When 100 non-idempotent calls arrive at once
    Then their retry times differ by 0.3 seconds or more

  Scenario: The response to another request reaches no caller
    A late second response to a previous request arrives where the response to
    this one is due. The attempt id tells them apart.
    Given a gateway with 3 plain replicas
    When an idempotent call gets the response to another request
    Then it was sent to two replicas, once each, and ends with status 200

  Scenario: A successful response without a signature is treated as a failure
    Given a gateway with 3 plain replicas
    When an idempotent call gets a successful response without a signature
    Then it was sent to two replicas, once each, and ends with status 200

  Scenario: An idempotent call without a response is sent to another replica
    Given a gateway with 3 plain replicas
    When an idempotent call gets no response for 0.3 seconds
    Then it was sent to two replicas, once each

  Scenario: A stream is resumed on another replica without gap or repeat
    A replica is lost in the middle of an event, when the caller has
    events 1 to 3. The next replica is requested to resume after 3 but starts
    with 2 again.
    Given a gateway with 3 model replicas
    When a stream breaks in event 4 and another replica resumes it from event 2
    Then its caller got events 1 to 6 once and a complete response

  Scenario: A stream is not forwarded beyond a missing event
    Given a gateway with 3 model replicas
    When a stream skips from event 2 to event 4
    Then its caller got events 1 to 2 once

  Scenario Outline: A stream whose next replica fails does not look complete
    A replica breaks off after two events, and the next one, requested to resume
    the stream, sends a complete error response. Its end must not be taken for
    the end of the stream, which would be truncated but look complete.
    Given a gateway with 3 model replicas
    When a stream breaks after event 2 and the next replica responds <status>
    Then the response is aborted and does not look complete
    And its caller got events 1 to 2 once

    Examples:
      | status |
      | 500    |
      | 504    |
      | 404    |

  Scenario: A stream without attempts left does not look complete
    Given a gateway with 3 model replicas
    When a stream breaks twice after event 2
    Then the response is aborted and does not look complete

  Scenario: All streams are moved from a stalled replica
    A member of the group is lost, but its head still accepts requests. After
    some passes without output all its streams are moved to other replicas, and
    no new requests are sent to it.
    Given a gateway with 3 model replicas
    When a replica with 3 streams stops sending output
    Then within 0.4 seconds all streams move to other replicas
    And new requests avoid that replica

  Scenario: A stall does not end streams if there is no other replica
    A stalled replica may recover, so with no other replica its streams wait.
    Given a gateway with 1 model replicas
    When a replica with 2 streams stops sending output
    Then within 1 seconds no response has ended

  Scenario: The prefill of a long prompt is not taken for a stall
    Another caller's prompt of 6,000 tokens is prefilled between two passes of
    the replica. By the engine's profile this takes 150 ms.
    Given a gateway with 3 model replicas
    When a stream has a gap of 0.15 seconds after a prompt of 6000 tokens
    Then it was sent once

  Scenario: The backlog after a restart of all gateways is not taken for a stall
    All gateways restart after a power failure and send their backlog at once.
    Each has information about its own requests only. A batch that prefills the
    backlog of all gateways sends events every 0.27 seconds. Moving streams would
    have the prompts prefilled again on another replica with a backlog.
    Given a gateway with 3 model replicas
    And the gateway has just started
    When a stream sends an event every 0.27 seconds for 2 seconds
    Then it stays on its replica
    And it still moves away within 1 second from a replica without output

  Scenario: A queue at a replica is not taken for a stall
    In a burst, a replica is busy with requests of other gateways and queues the
    request of this one for 1 second. Moving it would put it at the end of
    another queue and have a working replica avoided by the next requests.
    Given a gateway with 3 model replicas
    And other gateways have 9 requests at each replica
    When a stream waits 1 second for its first event
    Then it was never moved from its replica

  Scenario: A stalled replica without other requests is left soon
    No other gateway has requests at the replica, so no other can detect the
    stall.
    Given a gateway with 3 model replicas
    When a stream waits 0.8 seconds for its first event
    Then it was sent again to another replica

  Scenario: A stalled replica that sends output is used again at once
    The replica stalled for a moment. One stream stayed on it, as it had no
    attempt left, and now gets an event.
    Given a gateway with 3 model replicas
    When a replica was avoided for a stall and then sends an event
    Then the replica is no longer avoided

  Scenario: A stall that another gateway reported is not reported again
    Otherwise each of nine gateways would report it to the others and receive it
    back as new from each, and every new report has the members of the group
    probed.
    Given a gateway with 3 model replicas
    When another gateway reports a stall of a replica that is not used here
    Then that replica is avoided here and its stall is not reported again

  Scenario: A gateway checks its streams when one may have stalled
    Checks at a fixed rate, such as 50 times a second, are wasteful. A check is
    only needed when a stream has been without output for long enough, or while
    a request waits.
    Given a gateway with 3 model replicas
    When a stream has just sent an event
    Then no check is due before its replica may count as stalled
    And a check is due at once while a request waits for a replica

  Scenario: A reported stall moves no streams from a replica with output
    Given a gateway with 3 model replicas
    When another gateway reports a stall of a replica that has just sent output
    Then its streams stay on that replica

  Scenario: A replica that cannot be reached is avoided for a while
    Its zone is partitioned without any error. Each request sent to it would
    lose the time of a connection attempt before it is sent to another replica.
    Given a gateway with 3 model replicas
    When a connection to a replica times out
    Then new requests avoid that replica
    And its stall is reported to other gateways

  Scenario: Retries stay within their share when every replica fails
    All replicas reset all idempotent calls. Unlimited retries would double the
    load while replicas are failing.
    Given a gateway with 3 plain replicas
    When 300 idempotent calls are all reset
    Then at most 70 were sent a second time

  Scenario: Among requests of one priority, resumed streams go first
    The streams of a lost replica compete with new requests for other replicas.
    Their callers see an event gap meanwhile. The operators' priorities still
    come first.
    Then a resumed stream ranks before a new request
    And a new request of priority 0 ranks before a stream of priority 1

  Scenario: Many gateways that lose replicas at once stay within the limit
    A fabric domain fails, and streams at all gateways stop within seconds. Each
    gateway has saved retries; together they must stay within the limit that the
    operators set for all gateways.
    Given 71 gateways that share 0.2 retries a request and a burst of 284 retries
    When 1776 requests arrive at them unevenly and all fail
    Then they retry at most 639 times, and at least 300 times

  Scenario: Gateways without the number of gateways retry little
    Gateways that have all just started do not have that number yet.
    Given 71 new gateways that share 0.2 retries a request and a burst of 284 retries
    When 1776 requests arrive at them unevenly and all fail
    Then they retry at most 639 times, and at least 300 times

  Scenario: A caller that disconnects frees the replica at once
    Given a gateway with 3 model replicas
    When a caller disconnects in the middle of its stream
    Then the replica's connection is closed at once

  Scenario: A request past its deadline is refused at once
    Given a gateway with 3 plain replicas
    When a non-idempotent call gets no response before its deadline
    Then it ends with status 504 within 0.05 seconds after its deadline

  Scenario: Without any replica a request soon gets a retry time
    The request can't be served, so it isn't held until its deadline.
    Given a gateway with 0 plain replicas
    When a non-idempotent call arrives
    Then it ends with status 503 within 0.1 seconds and is never sent

  Scenario Outline: A gateway stays within its share of a replica's connections
    A replica resets connections above the limit that all gateways share.
    Given one of 9 gateways with 2 <kind> replicas that accept <limit> connections
    When 40 requests for them arrive within 0.2 seconds
    Then no replica runs more than <max> of its requests at once
    And each replica has run <max> of its requests at once

    Examples:
      | kind  | limit | max |
      | plain | 20    | 2   |
      | model | 30    | 3   |
      | model | 5     | 1   |
      | plain | 0     | 8   |
      | model | 300   | 10  |

  Scenario: A server that several refusals name as at fault is reported once
    Every request that a broken group refuses names the same lost member.
    Given a gateway with 3 model replicas
    When two requests are refused by heads that name "m9" as at fault
    Then "m9" is reported as at fault once

  Scenario: A replica that names itself as at fault is not reported
    A full replica still responds and must not be probed as lost.
    Given a gateway with 3 model replicas
    When a request is refused by a head that names itself as at fault
    Then no server is reported as at fault

  Scenario: A late response to an earlier request ends no estimated pause
    Given a gateway with 1 plain replicas
    When a request is refused without a time, the next one gets a late response
    Then the replica is still likely to refuse
