Feature: Calls that may run at most once

  Scenario: The same key sent to nine entries at once runs once
    A caller's retries reach all nine entries at the same moment. One claims
    the key and runs it; the others say that it may be running, or give the
    first answer. Nobody runs it twice.
    Given a deployment in three zones
    When one key is sent to all entries at once
    And 5 s pass
    Then it ran once by the servers' record and one caller has the answer

  Scenario: A resend through another zone gets the first answer
    The answer is lost on its way to the caller, who asks again in another
    zone. The holders of the claim kept the answer and it is given again.
    Given a deployment in three zones
    When a key has run through "buda-hall"
    And the same key is sent through "csepel-hall"
    And 2 s pass
    Then the resend gets the first answer, marked as replayed

  Scenario: The entry is killed before the backend answers
    The entry that runs a call dies before it has the answer. A resend meets
    the claim and is told that the call may have run, which is the truth.
    Given a deployment in three zones
    When the entry dies while its call runs
    And the same key is sent through another entry
    And 2 s pass
    Then the resend is told that it may have run, and it ran once

  Scenario: The entry is killed right after the backend answered
    The answer reached the entry and the holders, not the caller. The resend
    gets it from them.
    Given a deployment in three zones
    When the entry dies right after its call was answered
    And the same key is sent through another entry
    And 2 s pass
    Then the resend gets the first answer, marked as replayed

  Scenario: A cut-off zone refuses what it cannot claim
    In a zone that is cut off no majority of zones can be asked. The call is
    refused at once as not run, with a time to come back; to run it could
    double one that runs elsewhere.
    Given a deployment in three zones
    When zone "buda-hall" is cut off
    And a new key is sent through "buda-hall"
    And 2 s pass
    Then the call is refused as not run with code "claim_unavailable"
    And it may be sent again later

  Scenario: A key older than what is remembered is refused
    A caller resends after an hour. Its first submission may have run and be
    forgotten, so the answer is that it may have run, not a second run.
    Given a deployment in three zones
    When a key that is 3600 s old is sent
    And 2 s pass
    Then the call is refused as may_have_run with code "key_too_old"

  Scenario: Holders that restarted do not grant what they forgot
    A key runs. Two of its three holders restart and forget the claim. The key
    is older than their restart, so they do not grant it again.
    Given a deployment in three zones
    When a key has run through "buda-hall"
    And every control process but those of "buda-hall" restarts
    And 3 s pass
    And the same key is sent through "csepel-hall"
    And 2 s pass
    Then it ran once by the servers' record

  Scenario: Clocks that differ by minutes do not run a key twice
    The clock of a holder's VM jumps by five minutes, further than allowed for.
    It abstains, and the majority of the others decides.
    Given a deployment in three zones
    When the clocks of all control processes of "pest-hall" jump by 300 s
    And a key has run through "buda-hall"
    And the same key is sent through "csepel-hall"
    And 2 s pass
    Then it ran once by the servers' record

  Scenario: A call that was certainly not run gives its claim back
    The only servers refuse the connection. The call is refused as not run and
    its claim is given back, so that a resend can run when a server is back.
    Given a deployment in three zones
    When no plain server can be reached and a key is sent
    And the servers are back and the same key is sent again
    Then the first was refused as not run and the second ran

  Scenario: A holder's memory is bounded, and fullness never forgets a claim
    A holder is given more claims and larger answers than it may keep. Old
    answers lose their bodies; new claims are refused when all room is taken,
    because to forget a young one could let it run twice.
    Given a holder that is given 25000 claims with answers of 1000 bytes
    Then it keeps 20000 claims and at most 2 MiB of answers
    And each claim it granted is still held

  Scenario: One key for two different requests is refused
    A key is used again with another body. To give it the first answer would
    give a caller the answer of another request.
    Given a deployment in three zones
    When a key has run through "buda-hall"
    And the same key is sent with another body
    And 2 s pass
    Then the call is refused as not_run with code "key_reused"

  Scenario Outline: A key must carry its time
    A key without its time could be older than what is remembered, and nobody
    could tell.
    Then the key "<key>" is <read>

    Examples:
      | key                                  | read    |
      | 01J0000000000000000000000A           | taken   |
      | 0190163d-8694-739b-aea5-966c26f8ad91 | taken   |
      | 7ea5966c-26f8-4d91-aea5-966c26f8ad91 | refused |
      | order-17                             | refused |
      | 81J0000000000000000000000A           | refused |
