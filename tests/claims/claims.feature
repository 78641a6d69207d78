Feature: Requests that may run at most once

  Scenario: A request sent to nine entries at once with the same key runs once
    A caller's retries reach all nine entries at the same moment. One entry
    claims the key and runs the request; the others respond that it may be
    running, or with the first response. It must not run twice.
    Given a deployment in three zones
    When one key is sent to all entries at once
    And 5 s pass
    Then the servers ran the request once and one caller has the response

  Scenario: A resend through another zone gets the first response
    The response is lost on its way to the caller, who sends the request again
    in another zone. The claim holders stored the response, and it is replayed.
    Given a deployment in three zones
    When a request with a key has run through "buda-hall"
    And the same key is sent through "csepel-hall"
    And 2 s pass
    Then the resend gets the first response, marked as replayed

  Scenario: A resend is refused if the entry was killed before the backend responded
    An entry is killed before it has the response to a request that it sent. A
    resend must be refused as may_have_run, because the key is still claimed.
    Given a deployment in three zones
    When the entry is killed while its request runs
    And the same key is sent through another entry
    And 2 s pass
    Then the resend is refused as may_have_run, and the request ran once

  Scenario: A resend gets the stored response after the entry was killed
    The response reached the entry and the claim holders, but not the caller.
    The resend gets the response from the claim holders.
    Given a deployment in three zones
    When the entry is killed right after its request was answered
    And the same key is sent through another entry
    And 2 s pass
    Then the resend gets the first response, marked as replayed

  Scenario: An isolated zone refuses a request whose key it cannot claim
    An isolated zone cannot reach the claim holders of a majority of zones. The
    request must be refused at once as not run, with a retry delay: it could
    already run in another zone.
    Given a deployment in three zones
    When zone "buda-hall" is isolated
    And a new key is sent through "buda-hall"
    And 2 s pass
    Then the call is refused as not run with code "claim_unavailable"
    And the refusal has a retry delay

  Scenario: A key older than the retention of claims is refused
    A caller resends after an hour. Its first submission may have run and its
    claim may have expired, so the resend is refused as may_have_run.
    Given a deployment in three zones
    When a key that is 3600 s old is sent
    And 2 s pass
    Then the call is refused as may_have_run with code "key_too_old"

  Scenario: Claim holders that restarted do not grant a claim that they lost
    A request runs. Two of the three claim holders restart and lose the claim.
    The key is older than their restart, so they must not grant it again.
    Given a deployment in three zones
    When a request with a key has run through "buda-hall"
    And every control process outside "buda-hall" restarts
    And 3 s pass
    And the same key is sent through "csepel-hall"
    And 2 s pass
    Then the servers ran the request once

  Scenario: A request runs once although clocks differ by minutes
    The clock of a claim holder's VM jumps by five minutes, more than the
    permitted skew. That holder abstains, and the others, a majority, decide.
    Given a deployment in three zones
    When the clocks of all control processes of "pest-hall" jump by 300 s
    And a request with a key has run through "buda-hall"
    And the same key is sent through "csepel-hall"
    And 2 s pass
    Then the servers ran the request once

  Scenario: The claim of a request that has certainly not run is released
    The only servers refuse the connection. The request is refused as not run.
    Its claim must be released, so that a resend can run when a server is back.
    Given a deployment in three zones
    When no plain server can be reached and a key is sent
    And the servers are back and the same key is sent again
    Then the first request was refused as not run and the second one ran

  Scenario: A full claim holder drops response bodies but no unexpired claim
    A holder receives more claims and larger responses than it may store. It
    drops the oldest response bodies and refuses new claims when it is full,
    because dropping an unexpired claim could let its request run twice.
    Given a holder that receives 25000 claims with responses of 1000 bytes
    Then the holder stores 20000 claims and at most 2 MiB of responses
    And each claim that the holder granted is still stored

  Scenario: A second, different request with the same key is refused
    A key is used again with another body. Replaying the first response would
    give the caller the response to another request.
    Given a deployment in three zones
    When a request with a key has run through "buda-hall"
    And the same key is sent with another body
    And 2 s pass
    Then the call is refused as not_run with code "key_reused"

  Scenario Outline: An idempotency key must contain the time of its creation
    A key without this time could be older than the retention of claims, and no
    holder could detect that.
    Then the key "<key>" is <read>

    Examples:
      | key                                  | read    |
      | 01J0000000000000000000000A           | taken   |
      | 0190163d-8694-739b-aea5-966c26f8ad91 | taken   |
      | 7ea5966c-26f8-4d91-aea5-966c26f8ad91 | refused |
      | order-17                             | refused |
      | 81J0000000000000000000000A           | refused |
